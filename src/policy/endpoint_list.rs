//! The endpoint list: which backends run, drain or are gone.
//!
//! A snapshot replaces the list, a delta changes the entries that it names. A stale snapshot is the first
//! event of a gateway that has just started: from it on the list is watched, and idle customers are swept.
//!
//! Inputs: the kind of the list and its entries.

use super::Gateway;
use super::backend::Initial;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use super::tuning::IDLE_CUSTOMER_SECONDS;
use crate::interface::{Action, Endpoint, EndpointListKind, Lifecycle};

impl Gateway {
    /// Takes over a list, or the changes of one.
    pub(super) fn update_endpoints(&mut self, kind: EndpointListKind, endpoints: &[Endpoint]) {
        let without_watch = matches!(kind, EndpointListKind::StaleSnapshot | EndpointListKind::Failed);
        if self.settings.polls_endpoints && without_watch {
            self.actions.push(Action::WatchEndpoints);
        }
        if kind == EndpointListKind::StaleSnapshot {
            self.set_timer(self.now + IDLE_CUSTOMER_SECONDS, Timer::Sweep);
        }
        if kind == EndpointListKind::Snapshot {
            self.backends.all.iter_mut().for_each(|backend| backend.running = false);
        }
        for entry in endpoints {
            let slow_start = TokenBucket { level: self.draw(), at: self.now };
            let backend = self.backends.find_or_add(&entry.id);
            backend.update(entry, Initial { latency: self.latency.mean, slow_start });
            backend.running = entry.lifecycle == Lifecycle::Running;
        }
        self.backends.refresh_running();
    }
}
