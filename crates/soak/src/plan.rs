//! The plan of a soak, generated from a seed.

use std::time::Duration;

/// The shortest and longest deadline that a plan may have, in seconds.
const DEADLINE_RANGE_SECONDS: (f64, f64) = (1.0, 3.5);
/// The longest deadline, in seconds, that the platform allows for between SIGTERM and SIGKILL; longer ones
/// are capped.
const MAX_SHUTDOWN_DEADLINE_SECONDS: f64 = 3.0;
/// Seconds that the platform adds to the capped deadline before it sends SIGKILL.
const KILL_MARGIN_SECONDS: f64 = 0.7;
/// Seconds without faults at the start of the soak.
const FAULT_FREE_SECONDS: f64 = 1.0;
/// The shortest duration of a fault, and the most that is added to it at random, in seconds.
const FAULT_DURATION_SECONDS: (f64, f64) = (0.05, 2.5);
/// Mean seconds between two faults per node: low enough for several faults to overlap at any time.
const SECONDS_PER_NODE_FAULT: f64 = 3.0;
/// The minimum number of faults in a plan.
const MIN_FAULTS: usize = 4;
/// Plans of [`Plan::with_signal_series`] have crowds if their seed is a multiple of this.
const CROWD_SEED_MULTIPLE: u64 = 3;
/// Plans of [`Plan::with_signal_series`] have one signal series for this many seconds of their duration, and at least
/// one.
const SECONDS_PER_SIGNAL_SERIES: f64 = 2.0;
/// Plans with crowds have one crowd for this many seconds of their duration, and at least one.
const SECONDS_PER_CROWD: f64 = 4.0;
/// The minimum number of backends. Larger fleets have up to one more for every [`NODES_PER_BACKEND`] nodes,
/// at random.
const MIN_BACKENDS: usize = 4;
const NODES_PER_BACKEND: usize = 4;
const CLIENTS_PER_NODE: usize = 8;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// A graceful shutdown (SIGTERM, then SIGKILL as early as the platform may send it), and the start of a
    /// new process.
    Restart,
    /// SIGKILL, and the start of a new process.
    Crash,
    /// The process is paused briefly (SIGSTOP, SIGCONT).
    Pause,
    /// SIGHUP with a configuration that has different addresses of discovery and the counter.
    Reload,
    /// SIGHUP with an invalid configuration file.
    InvalidReload,
    /// The discovery agent does not respond.
    SilentDiscovery,
    /// Connections to the discovery agent are reset.
    ResetDiscovery,
    /// A node cannot reach the counter.
    CounterUnreachable,
    /// The counter responds slowly to all nodes.
    SlowCounter,
    /// One in three responses of a backend is invalid, late, an error or missing.
    SickBackend,
    /// A backend accepts requests and responds to none.
    HungBackend,
    /// A backend is drained, removed from the endpoint list, and restarted.
    DrainBackend,
    /// The connections of a backend are reset, and new ones are refused.
    DownBackend,
    /// A system call of a node fails.
    SystemCall,
    /// Socket reads and writes of a node transfer only a few bytes per call.
    ShortTransfers,
    /// A node is delayed after it has read its monotonic clock.
    ProcessingDelay,
    /// The wall clock of a node is stepped.
    ClockStep,
    /// Several signals in quick succession: reloads of configurations that are invalid or unreadable, and a
    /// shutdown.
    SignalSeries,
    /// A flood of connections, more than a node has descriptors for: idle, with an incomplete request head,
    /// or with bytes that arrive as the node closes them.
    Crowd,
}

impl FaultKind {
    /// The kinds that any plan may have.
    const ALL: [Self; 17] = [
        Self::Restart,
        Self::Crash,
        Self::Pause,
        Self::Reload,
        Self::InvalidReload,
        Self::SilentDiscovery,
        Self::ResetDiscovery,
        Self::CounterUnreachable,
        Self::SlowCounter,
        Self::SickBackend,
        Self::HungBackend,
        Self::DrainBackend,
        Self::DownBackend,
        Self::SystemCall,
        Self::ShortTransfers,
        Self::ProcessingDelay,
        Self::ClockStep,
    ];

    /// The relative frequency of this kind.
    fn weight(self) -> u32 {
        match self {
            Self::Restart => 6,
            Self::SystemCall | Self::DrainBackend | Self::SickBackend => 4,
            Self::HungBackend | Self::Reload => 3,
            Self::SlowCounter | Self::DownBackend | Self::InvalidReload => 1,
            _ => 2,
        }
    }

    /// Chooses a kind at random, by weight.
    fn draw(rng: &mut fastrand::Rng) -> Self {
        let mut remaining = rng.u32(0..Self::ALL.into_iter().map(Self::weight).sum());
        let is_chosen = |kind: &Self| {
            let found = remaining < kind.weight();
            remaining = remaining.saturating_sub(kind.weight());
            found
        };
        Self::ALL.into_iter().find(is_chosen).unwrap_or(Self::Restart)
    }

    /// The name of the kind in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Restart => "restart",
            Self::Crash => "crash",
            Self::Pause => "pause",
            Self::Reload => "reload",
            Self::InvalidReload => "bad_reload",
            Self::SilentDiscovery => "silent_discovery",
            Self::ResetDiscovery => "reset_discovery",
            Self::CounterUnreachable => "cut_counter",
            Self::SlowCounter => "slow_counter",
            Self::SickBackend => "sick_backend",
            Self::HungBackend => "hung_backend",
            Self::DrainBackend => "drain_backend",
            Self::DownBackend => "down_backend",
            Self::SystemCall => "system_call",
            Self::ShortTransfers => "short_transfers",
            Self::ProcessingDelay => "held_up",
            Self::ClockStep => "clock_step",
            Self::SignalSeries => "signal_series",
            Self::Crowd => "crowd",
        }
    }
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// When the fault begins, as a time since the start of the clients.
    pub at: Duration,
    /// How long the fault lasts, if its kind has a duration.
    pub duration: Duration,
    /// What fails.
    pub kind: FaultKind,
    /// The seed from which the target and the details are chosen.
    pub seed: u64,
}

impl PlannedFault {
    /// A fault of a random kind at a random time within `seconds`.
    fn draw(rng: &mut fastrand::Rng, seconds: f64) -> Self {
        let kind = FaultKind::draw(rng);
        Self::draw_of_kind(kind, rng, seconds)
    }

    /// A fault of this kind at a random time within `seconds`. The product of two random numbers makes short
    /// faults the most frequent.
    fn draw_of_kind(kind: FaultKind, rng: &mut fastrand::Rng, seconds: f64) -> Self {
        let at =
            Duration::from_secs_f64(FAULT_FREE_SECONDS + rng.f64() * (seconds - FAULT_FREE_SECONDS).max(0.1));
        let (shortest, max_added) = FAULT_DURATION_SECONDS;
        let duration = Duration::from_secs_f64(shortest + max_added * rng.f64() * rng.f64());
        Self { at, duration, kind, seed: rng.u64(..) }
    }
}

/// Everything that a soak does: the size of the fleet, its clients, and its faults.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The seed that the plan was generated from.
    pub seed: u64,
    /// The number of gateway processes.
    pub nodes: usize,
    /// The number of backends.
    pub backends: usize,
    /// The number of clients, each of which has one connection at a time.
    pub clients: usize,
    /// How long clients start new requests.
    pub duration: Duration,
    /// The deadline of every request class, in seconds.
    pub deadline: f64,
    /// The faults, ordered by the times at which they begin.
    pub faults: Vec<PlannedFault>,
    /// Whether some clients send on one connection without long pauses until it ends, even if a response asks
    /// them to close it.
    pub persistent_clients: bool,
}

impl Plan {
    /// Generates a plan for this many gateway processes, whose clients start requests for `seconds`.
    pub fn new(seed: u64, nodes: usize, seconds: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (shortest, longest) = DEADLINE_RANGE_SECONDS;
        let deadline = shortest + rng.f64() * (longest - shortest);
        let backends = MIN_BACKENDS + rng.usize(0..=nodes / NODES_PER_BACKEND);
        let count = ((nodes as f64 * seconds / SECONDS_PER_NODE_FAULT) as usize).max(MIN_FAULTS);
        let mut faults: Vec<PlannedFault> =
            (0..count).map(|_| PlannedFault::draw(&mut rng, seconds)).collect();
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            nodes,
            backends,
            clients: nodes * CLIENTS_PER_NODE,
            duration: Duration::from_secs_f64(seconds),
            deadline,
            faults,
            persistent_clients: false,
        }
    }

    /// The plan of [`Plan::new`], with signal series and persistent clients in addition, and with crowds for
    /// some seeds.
    pub fn with_signal_series(seed: u64, nodes: usize, seconds: f64) -> Self {
        let mut plan = Self::new(seed, nodes, seconds);
        let mut rng = fastrand::Rng::with_seed(!seed);
        let count = |seconds_per_fault: f64| ((seconds / seconds_per_fault) as usize).max(1);
        let crowds = if seed.is_multiple_of(CROWD_SEED_MULTIPLE) { count(SECONDS_PER_CROWD) } else { 0 };
        for (kind, count) in
            [(FaultKind::SignalSeries, count(SECONDS_PER_SIGNAL_SERIES)), (FaultKind::Crowd, crowds)]
        {
            plan.faults.extend((0..count).map(|_| PlannedFault::draw_of_kind(kind, &mut rng, seconds)));
        }
        plan.faults.sort_by_key(|fault| fault.at);
        plan.persistent_clients = true;
        plan
    }

    /// The time from SIGTERM to the earliest time at which the platform may send SIGKILL.
    pub fn kill_after(&self) -> Duration {
        Duration::from_secs_f64(self.deadline.min(MAX_SHUTDOWN_DEADLINE_SECONDS) + KILL_MARGIN_SECONDS)
    }
}
