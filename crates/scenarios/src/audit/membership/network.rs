//! Which gateways run, and whose messages reach whom.

use std::collections::HashSet;

/// A gateway's process. Times are in seconds.
#[derive(Clone, Copy, Default)]
pub(super) struct Process {
    pub running: bool,
    pub paused: bool,
    /// When it last started, or continued after a pause.
    pub since_seconds: f64,
    /// The last incarnation that it reported.
    pub incarnation: u64,
    /// The one that it reported before its last long pause; 0: there was none.
    pub incarnation_before_pause: u64,
    pub paused_at_seconds: f64,
    /// When a second process was started under its number.
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
    /// The group of each gateway: groups do not reach each other.
    pub groups: Vec<usize>,
    /// Gateways with another key or another fleet size, which take no part.
    outsiders: HashSet<usize>,
    /// Directions that are blocked: from, to.
    blocked: HashSet<(usize, usize)>,
}

impl Network {
    /// There are `size` gateways, which all run since `now`, in one group. Directions that are blocked stay so.
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
        let takes_part = |gateway: usize| self.processes[gateway].is_up() && !self.is_outsider(gateway);
        from != to
            && takes_part(from)
            && takes_part(to)
            && self.groups.get(from) == self.groups.get(to)
            && !self.blocked.contains(&(from, to))
    }

    pub fn is_reached_directly(&self, gateway: usize) -> bool {
        (0..self.size).any(|from| self.reaches_directly(from, gateway))
    }

    pub fn reaches_any_directly(&self, gateway: usize) -> bool {
        (0..self.size).any(|to| self.reaches_directly(gateway, to))
    }

    /// Whose messages reach a gateway, by sender: gateways pass messages on, so any chain of open directions counts.
    pub fn reaching(&self, to: usize) -> Vec<bool> {
        let mut reached: Vec<bool> = (0..self.size).map(|from| self.reaches_directly(from, to)).collect();
        // Without a blocked direction, whoever reaches a member of a group reaches all of it directly.
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
