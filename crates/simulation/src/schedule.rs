//! Schedules: the number of gateways, the quota, the customers' demand and the faults of a run. Times are seconds.

use fastrand::Rng;
use serde::Serialize;

/// Numbers of gateways of random schedules; each entry is equally likely.
const RANDOM_FLEET_SIZES: [u32; 10] = [2, 4, 4, 4, 4, 4, 8, 20, 20, 100];
/// Duration of a random schedule in seconds.
const RANDOM_DURATION: f64 = 30.0;
/// Seconds at the start and at the end of a random schedule in which no fault begins.
const FAULT_START_MARGIN: f64 = 2.0;
/// Duration of the shortest random fault in seconds.
const SHORTEST_FAULT: f64 = 0.05;
/// Ratio of the longest random fault to the shortest.
const FAULT_DURATION_RATIO: f64 = 200.0;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum FaultKind {
    /// The counter cannot be reached.
    Unreachable,
    /// The counter counts calls, but never responds.
    Silent,
    /// The counter counts calls, and takes this many seconds for each response.
    Slow(f64),
    /// The counter counts a call, then closes the connection.
    Reset,
    /// The counter counts a call, then responds with an error, as it does for a key of the wrong type.
    WrongType,
    /// The counter loses all counts at the start of the fault.
    CountsLost,
    /// The counter cannot be reached, and has lost its counts when the fault ends.
    ReplacedEmpty,
    /// The gateway with this number is killed and restarted.
    GatewayRestart(usize),
}

/// A fault of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fault {
    /// Seconds from the start of the run to the start of the fault.
    pub at: f64,
    /// Duration in seconds.
    pub duration: f64,
    /// The kind of the fault.
    pub kind: FaultKind,
}

/// A customer's demand over time, as multiples of the rate of its quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum DemandPattern {
    /// A constant multiple of the rate.
    Steady(f64),
    /// One of two multiples of the rate, chosen at random for each period.
    Alternating {
        /// The smaller multiple.
        low: f64,
        /// The larger multiple.
        high: f64,
        /// Duration of a period in seconds.
        period: f64,
    },
}

/// A customer's demand.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Demand {
    /// The demand over time.
    pub pattern: DemandPattern,
    /// How unevenly its requests are distributed over the gateways; 0 is an even distribution.
    pub skew: f64,
    /// Seconds after which a new distribution over the gateways is drawn.
    pub redistribute_after: f64,
}

/// The parameters of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Quota {
    /// Refill rate in units a second.
    pub rate: f64,
    /// Capacity in units.
    pub burst: f64,
}

/// The input of a simulation run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Schedule {
    /// The seed of all random numbers.
    pub seed: u64,
    /// Simulated duration in seconds.
    pub duration: f64,
    /// Number of gateways; all of them serve every customer.
    pub gateways: u32,
    /// The quota of each customer.
    pub quota: Quota,
    /// The hard ceiling of each customer, if any.
    pub ceiling: Option<Quota>,
    /// The demand of each customer.
    pub demand: Vec<Demand>,
    /// The faults, in any order. They may overlap.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// The random schedule of a seed: it has four gateways with a probability of one half, otherwise 2, 8, 20 or 100.
    pub fn random(seed: u64) -> Self {
        // Each random choice has a non-empty range; `rng` would panic otherwise.
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

    /// A schedule with periodic faults: `customers` customers with a demand of four times their rate, and nine
    /// faults of 2 s each, the first at 5 s and then one every 8 s. Demand is never redistributed.
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
        let at = FAULT_START_MARGIN + (RANDOM_DURATION - 2.0 * FAULT_START_MARGIN) * rng.f64();
        // Log-uniform: most faults are short, so that many begin and end between two decisions of a gateway.
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
