//! When servers started, by the gateway's own clock.
//!
//! A list tells each start as a wall clock's time, and no two wall clocks need agree: either may be stepped. What is sure
//! is the order of what was notified: a start that comes as news is no older than the last list that did not have it, and
//! no younger than the moment of the news; both within a tolerance, as news comes late.

use std::collections::HashMap;
use weirusher::{BackendId, Endpoint, EndpointListKind, Time};

/// Servers whose starts are remembered, listed or not: one that is named again is not new.
const MOST_KNOWN: usize = 8192;
/// By how much a server's capacity may be taken for more than it is where its start is told late or from another clock.
/// The decisions plan to use 0.4 of what a cold server bears; at 1.5 times that, 0.6 of it.
const CAPACITY_ERROR: f64 = 1.5;
/// Seconds by which a new start is later than the one before, at least.
const STEP: f64 = 1e-3;

#[derive(Debug)]
struct Start {
    /// As it was told.
    told: f64,
    /// By the gateway's clock.
    local: Time,
    /// When it was named last.
    named: Time,
}

/// The starts of servers.
#[derive(Debug, Default)]
pub struct ServerStarts {
    known: HashMap<BackendId, Start>,
    /// When the list that is held was known to be current.
    current: Option<Time>,
    /// Seconds by which a start may be older than its news says.
    tolerance: f64,
}

impl ServerStarts {
    /// For servers that start at `cold_from` of their capacity, and have all of it after `cold` seconds.
    ///
    /// News of a start comes some seconds late even where all clocks agree, and it is told truly then. So much is
    /// believed of it as keeps the capacity within a bound: a start taken to be older by `a` seconds is taken to have
    /// `(1 - cold_from) * a / cold` more of it, at the least `cold_from` in all.
    pub fn new(cold_from: f64, cold: f64) -> Self {
        let tolerance = (CAPACITY_ERROR - 1.0) * cold_from * cold / (1.0 - cold_from).max(f64::MIN_POSITIVE);
        Self { tolerance, ..Self::default() }
    }

    /// Discovery answered that there is nothing new.
    pub fn confirm(&mut self, now: Time) {
        if self.current.is_some() {
            self.current = Some(now);
        }
    }

    /// Turns the starts of a list's servers into times of the gateway's clock; 0 stays long ago.
    pub fn localize(&mut self, now: Time, kind: EndpointListKind, servers: &mut [Endpoint]) {
        for server in servers {
            if server.started > 0.0 {
                server.started = self.start(now, &server.id, server.started);
            }
        }
        // A list that is perhaps stale, or none, says nothing of what is not in it.
        if matches!(kind, EndpointListKind::Snapshot | EndpointListKind::Delta) {
            self.current = Some(now);
        }
        self.forget();
    }

    fn start(&mut self, now: Time, id: &BackendId, told: f64) -> Time {
        let before = match self.known.get_mut(id) {
            Some(known) if known.told == told => {
                known.named = now;
                return known.local;
            }
            known => known.map(|known| known.local),
        };
        let not_before = self.current.unwrap_or(f64::NEG_INFINITY) - self.tolerance;
        // A start that lies ahead is told from another clock: it was now at the latest.
        let mut local = told.max(not_before).min(now);
        if let Some(before) = before {
            local = local.max(before + STEP);
        }
        self.known.insert(id.clone(), Start { told, local, named: now });
        local
    }

    /// Forgets those that were named least lately, once there are too many.
    fn forget(&mut self) {
        if self.known.len() <= MOST_KNOWN {
            return;
        }
        let mut named: Vec<Time> = self.known.values().map(|start| start.named).collect();
        named.sort_unstable_by(f64::total_cmp);
        let keep_from = named[named.len() - MOST_KNOWN / 2];
        self.known.retain(|_, start| start.named >= keep_from);
    }
}

#[cfg(test)]
mod tests;
