//! Actual state of the gateways' processes and of the network between them.

use std::collections::HashSet;

/// A gateway's process. Times are in seconds.
#[derive(Clone, Copy, Default)]
pub(super) struct Process {
    pub running: bool,
    pub paused: bool,
    /// When the process last started or resumed.
    pub since_seconds: f64,
    /// The highest incarnation that it has reported.
    pub incarnation: u64,
    /// The highest incarnation reported before its last long pause; 0 if there was none.
    pub incarnation_before_pause: u64,
    pub paused_at_seconds: f64,
    /// When a second process was started with its number.
    pub duplicate_since_seconds: Option<f64>,
    /// When its last report was requested.
    pub last_report_seconds: f64,
}

impl Process {
    pub fn is_up(&self) -> bool {
        self.running && !self.paused
    }
}

/// The gateways and the network between them.
#[derive(Default)]
pub(super) struct Network {
    pub size: usize,
    pub processes: Vec<Process>,
    /// Partition group of each gateway; gateways in different groups cannot reach each other.
    pub groups: Vec<usize>,
    /// Gateways with another key or another fleet size, whose messages the others ignore.
    outsiders: HashSet<usize>,
    /// Blocked directions, as (from, to).
    blocked: HashSet<(usize, usize)>,
}

impl Network {
    /// Sets up `size` gateways that all run since `now`, in one group. Blocked directions stay blocked.
    pub fn start(&mut self, size: usize, outsiders: Vec<usize>, now: f64) {
        let process = Process { running: true, since_seconds: now, ..Process::default() };
        self.size = size;
        self.processes = vec![process; size];
        self.groups = vec![0; size];
        self.outsiders = outsiders.into_iter().collect();
    }

    pub fn set_blocked(&mut self, from: usize, to: usize, blocked: bool) {
        if blocked {
            self.blocked.insert((from, to));
        } else {
            self.blocked.remove(&(from, to));
        }
    }

    pub fn is_outsider(&self, gateway: usize) -> bool {
        self.outsiders.contains(&gateway)
    }

    fn reaches_directly(&self, from: usize, to: usize) -> bool {
        let is_active_member = |gateway: usize| self.processes[gateway].is_up() && !self.is_outsider(gateway);
        from != to
            && is_active_member(from)
            && is_active_member(to)
            && self.groups.get(from) == self.groups.get(to)
            && !self.blocked.contains(&(from, to))
    }

    pub fn is_reached_directly(&self, gateway: usize) -> bool {
        (0..self.size).any(|from| self.reaches_directly(from, gateway))
    }

    pub fn reaches_any_directly(&self, gateway: usize) -> bool {
        (0..self.size).any(|to| self.reaches_directly(gateway, to))
    }

    /// Whether each gateway's messages reach `to`. Gateways relay messages, so any chain of open directions counts.
    pub fn senders_reaching(&self, to: usize) -> Vec<bool> {
        let mut reached: Vec<bool> = (0..self.size).map(|from| self.reaches_directly(from, to)).collect();
        // If no direction is blocked, every member of a group reaches all others of the group directly.
        let mut hops: Vec<usize> =
            (0..self.size).filter(|from| !self.blocked.is_empty() && reached[*from]).collect();
        while let Some(hop) = hops.pop() {
            for from in (0..self.size).filter(|from| *from != to) {
                if !reached[from] && self.reaches_directly(from, hop) {
                    reached[from] = true;
                    hops.push(from);
                }
            }
        }
        reached
    }
}
