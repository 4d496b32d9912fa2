//! What a soak does, drawn from its seed.

use std::time::Duration;

/// The shortest and longest deadline of a deployment, in seconds.
const DEADLINE_RANGE: (f64, f64) = (1.0, 3.5);
/// After SIGTERM the platform waits for the deadline, at most this many seconds,
const MAX_SHUTDOWN_DEADLINE: f64 = 3.0;
/// and this many more before SIGKILL.
const KILL_MARGIN: f64 = 0.7;
/// Seconds without faults at the start.
const FAULT_FREE: f64 = 1.0;
/// The shortest fault, and the most that the draw adds to it, in seconds.
const FAULT_DURATION: (f64, f64) = (0.05, 2.5);
/// On average each process has a fault every so many seconds: several faults overlap at any time.
const FAULT_INTERVAL: f64 = 3.0;
/// The least number of faults.
const MIN_FAULTS: usize = 4;
/// Of the plans with hostile clients and signals, one in so many has crowds.
const CROWD_INTERVAL: u64 = 3;
/// Seconds for each series of signals, and for each crowd, of one such plan; there is one at least.
const SERIES_INTERVAL: f64 = 2.0;
const CROWD_SECONDS: f64 = 4.0;
/// The least number of backends. Larger fleets may have one more for each [`NODES_PER_BACKEND`] nodes.
const MIN_BACKENDS: usize = 4;
const NODES_PER_BACKEND: usize = 4;
const CLIENTS_PER_NODE: usize = 8;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// A graceful shutdown (SIGTERM, and SIGKILL as early as the platform may), and a new process.
    Restart,
    /// SIGKILL, and a new process.
    Crash,
    /// The process is stopped for a moment (SIGSTOP, SIGCONT).
    Pause,
    /// SIGHUP with a configuration that has other addresses of discovery and counter.
    Reload,
    /// SIGHUP with a file that is no valid configuration.
    InvalidReload,
    /// Discovery's agent answers nothing.
    SilentDiscovery,
    /// Connections to discovery's agent are reset.
    ResetDiscovery,
    /// A node cannot reach the counter.
    CounterUnreachable,
    /// The counter is slow for all nodes.
    SlowCounter,
    /// Some responses of a backend are invalid, late or missing.
    SickBackend,
    /// A backend responds to nothing.
    HungBackend,
    /// A backend is drained, removed from the list, and restarted.
    DrainBackend,
    /// A backend's connections break, and new ones are refused.
    DownBackend,
    /// A system call of a node fails.
    SystemCall,
    /// Reads and writes of a node transfer few bytes at once.
    ShortTransfers,
    /// A node is delayed after it has read its clock.
    ProcessingDelay,
    /// The wall clock of a node is stepped.
    ClockStep,
    /// Several signals in quick succession, with configurations that are invalid or cannot be read, and a shutdown among them.
    SignalSeries,
    /// More connections than a node has descriptors: idle, in the middle of a head, or with bytes as they are closed.
    Crowd,
}

impl FaultKind {
    /// The kinds that are drawn for every plan.
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

    /// How often it is drawn, relative to the others.
    fn weight(self) -> u32 {
        match self {
            Self::Restart => 6,
            Self::SystemCall | Self::DrainBackend | Self::SickBackend => 4,
            Self::HungBackend | Self::Reload => 3,
            Self::SlowCounter | Self::DownBackend | Self::InvalidReload => 1,
            _ => 2,
        }
    }

    fn draw(rng: &mut fastrand::Rng) -> Self {
        let mut remaining = rng.u32(0..Self::ALL.into_iter().map(Self::weight).sum());
        let is_drawn = |kind: &Self| {
            let found = remaining < kind.weight();
            remaining = remaining.saturating_sub(kind.weight());
            found
        };
        Self::ALL.into_iter().find(is_drawn).unwrap_or(Self::Restart)
    }

    /// Its name in reports.
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

/// A fault of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// When it begins, since the start of the clients.
    pub at: Duration,
    /// How long it lasts, where its kind has a duration.
    pub duration: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// Its target and details are drawn from this.
    pub seed: u64,
}

impl PlannedFault {
    fn draw(rng: &mut fastrand::Rng, seconds: f64) -> Self {
        let kind = FaultKind::draw(rng);
        Self::draw_of_kind(kind, rng, seconds)
    }

    fn draw_of_kind(kind: FaultKind, rng: &mut fastrand::Rng, seconds: f64) -> Self {
        let at = Duration::from_secs_f64(FAULT_FREE + rng.f64() * (seconds - FAULT_FREE).max(0.1));
        let (shortest, added) = FAULT_DURATION;
        let duration = Duration::from_secs_f64(shortest + added * rng.f64() * rng.f64());
        Self { at, duration, kind, seed: rng.u64(..) }
    }
}

/// A soak.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// The number of gateway processes.
    pub nodes: usize,
    /// The number of backends.
    pub backends: usize,
    /// The number of clients, each with one connection at a time.
    pub clients: usize,
    /// For how long clients begin requests.
    pub duration: Duration,
    /// The deadline of all classes, in seconds.
    pub deadline: f64,
    /// The faults, in the order of their begin.
    pub faults: Vec<PlannedFault>,
    /// Some clients send on one connection without a pause until it ends, whatever the gateway says.
    pub persistent_clients: bool,
}

impl Plan {
    /// Draws a plan for this many gateway processes, whose clients begin requests for `seconds`.
    pub fn new(seed: u64, nodes: usize, seconds: f64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (shortest, longest) = DEADLINE_RANGE;
        let deadline = shortest + rng.f64() * (longest - shortest);
        let backends = MIN_BACKENDS + rng.usize(0..=nodes / NODES_PER_BACKEND);
        let count = ((nodes as f64 * seconds / FAULT_INTERVAL) as usize).max(MIN_FAULTS);
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

    /// The same with series of signals, with clients that use their connections until the kill, and with crowds in some plans.
    pub fn hostile(seed: u64, nodes: usize, seconds: f64) -> Self {
        let mut plan = Self::new(seed, nodes, seconds);
        let mut rng = fastrand::Rng::with_seed(!seed);
        let count = |interval: f64| ((seconds / interval) as usize).max(1);
        let crowds = if seed.is_multiple_of(CROWD_INTERVAL) { count(CROWD_SECONDS) } else { 0 };
        for (kind, count) in [(FaultKind::SignalSeries, count(SERIES_INTERVAL)), (FaultKind::Crowd, crowds)] {
            plan.faults.extend((0..count).map(|_| PlannedFault::draw_of_kind(kind, &mut rng, seconds)));
        }
        plan.faults.sort_by_key(|fault| fault.at);
        plan.persistent_clients = true;
        plan
    }

    /// From SIGTERM to the earliest SIGKILL of the platform.
    pub fn kill_after(&self) -> Duration {
        Duration::from_secs_f64(self.deadline.min(MAX_SHUTDOWN_DEADLINE) + KILL_MARGIN)
    }
}
