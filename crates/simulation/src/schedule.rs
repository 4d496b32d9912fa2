//! A schedule: a fleet, its quota, the customers' demand, and which faults happen when. Times are seconds.

use fastrand::Rng;
use serde::Serialize;

/// Gateways of a random schedule, each entry as likely as another.
const RANDOM_FLEET_SIZES: [u32; 10] = [2, 4, 4, 4, 4, 4, 8, 20, 20, 100];
/// Seconds that a random schedule takes, and that it is left without faults at its start and at its end.
const RANDOM_DURATION: f64 = 30.0;
const FAULT_FREE_MARGIN: f64 = 2.0;
/// The shortest random fault in seconds, and the ratio of the longest to it.
const SHORTEST_FAULT: f64 = 0.05;
const FAULT_DURATION_RATIO: f64 = 200.0;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum FaultKind {
    /// The counter cannot be reached.
    Unreachable,
    /// The counter counts and answers nothing.
    Silent,
    /// The counter counts and answers so many seconds late.
    Slow(f64),
    /// The counter counts and closes connections.
    Reset,
    /// The counter counts and answers with another type.
    WrongType,
    /// The counter loses all counts, at once.
    CountsLost,
    /// The counter cannot be reached, and comes back without its counts.
    ReplacedEmpty,
    /// A gateway is killed and started anew.
    GatewayRestart(usize),
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fault {
    /// Seconds from the start.
    pub at: f64,
    /// Seconds that it lasts.
    pub duration: f64,
    /// What goes wrong.
    pub kind: FaultKind,
}

/// How much of its rate a customer asks for.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum DemandPattern {
    /// This multiple of its rate, all the time.
    Steady(f64),
    /// One of two multiples of its rate, chosen anew in each period.
    Alternating {
        /// The smaller multiple.
        low: f64,
        /// The larger multiple.
        high: f64,
        /// Seconds between two choices.
        period: f64,
    },
}

/// A customer's demand.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Demand {
    /// How much it asks for.
    pub pattern: DemandPattern,
    /// How unevenly its requests are distributed over the gateways: 0 is evenly.
    pub skew: f64,
    /// Seconds after which the requests are distributed anew.
    pub redistribute_after: f64,
}

/// A token bucket's limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// A schedule.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Schedule {
    /// Seeds all randomness.
    pub seed: u64,
    /// Seconds that are simulated.
    pub duration: f64,
    /// Gateways, all of which carry each customer.
    pub gateways: u32,
    /// The quota of each customer.
    pub quota: Quota,
    /// The hard ceiling of each customer, if there is one.
    pub ceiling: Option<Quota>,
    /// By customer.
    pub demand: Vec<Demand>,
    /// In any order.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// The random schedule of a seed: mostly four gateways, some 20, a few 100.
    ///
    /// # Panics
    /// Never: each choice is among several values.
    pub fn random(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let gateways = RANDOM_FLEET_SIZES[rng.usize(0..RANDOM_FLEET_SIZES.len())];
        let rate = 2.0 + 8.0 * rng.f64();
        let burst = (rate * (1.2 + 3.8 * rng.f64())).ceil();
        let has_ceiling = rng.u8(0..4) == 0;
        let ceiling = has_ceiling.then_some(Quota { rate: 2.0 * rate, burst: 2.0 * burst });
        let demand = (0..rng.usize(1..=2)).map(|_| Demand::random(&mut rng)).collect();
        let faults = (0..rng.usize(1..=6)).map(|_| Fault::random(&mut rng, gateways)).collect();
        let quota = Quota { rate, burst };
        Self { seed, duration: RANDOM_DURATION, gateways, quota, ceiling, demand, faults }
    }

    /// A regular schedule: `customers` that ask for four times their rate, and nine faults of two seconds, eight seconds
    /// apart.
    pub fn periodic(kind: FaultKind, gateways: u32, customers: usize, seed: u64) -> Self {
        let demand = Demand { pattern: DemandPattern::Steady(4.0), skew: 0.0, redistribute_after: 1e9 };
        let fault = |n| Fault { at: 5.0 + 8.0 * f64::from(n), duration: 2.0, kind };
        Self {
            seed,
            duration: 80.0,
            gateways,
            quota: Quota { rate: 10.0, burst: 20.0 },
            ceiling: None,
            demand: vec![demand; customers],
            faults: (0..9).map(fault).collect(),
        }
    }
}

impl Demand {
    fn random(rng: &mut Rng) -> Self {
        let pattern = match rng.u8(0..3) {
            0 => DemandPattern::Steady(0.2 + 0.6 * rng.f64()),
            1 => DemandPattern::Steady(1.5 + 3.0 * rng.f64()),
            _ => DemandPattern::Alternating {
                low: 0.1,
                high: 1.0 + 4.0 * rng.f64(),
                period: 0.5 + 6.0 * rng.f64(),
            },
        };
        let skew = if rng.bool() { 0.0 } else { 2.0 * rng.f64() };
        Self { pattern, skew, redistribute_after: 1.0 + 10.0 * rng.f64() }
    }
}

impl Fault {
    fn random(rng: &mut Rng, gateways: u32) -> Self {
        let at = FAULT_FREE_MARGIN + (RANDOM_DURATION - 2.0 * FAULT_FREE_MARGIN) * rng.f64();
        // Most are short: those fall between the moments at which gateways decide.
        let duration = SHORTEST_FAULT * FAULT_DURATION_RATIO.powf(rng.f64());
        let kind = match rng.u8(0..10) {
            0 | 1 => FaultKind::Unreachable,
            2 | 3 => FaultKind::Silent,
            4 => FaultKind::Slow(0.02 + 0.1 * rng.f64()),
            5 => FaultKind::Reset,
            6 => FaultKind::WrongType,
            7 => FaultKind::CountsLost,
            8 => FaultKind::ReplacedEmpty,
            _ => FaultKind::GatewayRestart(rng.usize(0..gateways as usize)),
        };
        Self { at, duration, kind }
    }
}
