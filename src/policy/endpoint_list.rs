//! The endpoint list: which backends are running, draining or removed.
//!
//! A snapshot replaces the list, a delta changes the entries that it names. A stale snapshot is the first
//! event of a gateway that has just started; it starts the watch of the list and the periodic removal of idle
//! customers.
//!
//! Inputs: the kind of the list and its entries.

use super::Gateway;
use super::backend::InitialState;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use super::tuning::IDLE_CUSTOMER_SECONDS;
use crate::interface::{Action, Endpoint, EndpointListKind, Lifecycle};

impl Gateway {
    /// Applies a complete list or a change of the list.
    pub(super) fn update_endpoints(&mut self, kind: EndpointListKind, endpoints: &[Endpoint]) {
        let without_watch = matches!(kind, EndpointListKind::StaleSnapshot | EndpointListKind::Failed);
        if self.settings.polls_endpoints && without_watch {
            self.actions.push(Action::WatchEndpoints);
        }
        if kind == EndpointListKind::StaleSnapshot {
            self.set_timer(self.now + IDLE_CUSTOMER_SECONDS, Timer::RemoveIdle);
        }
        if kind == EndpointListKind::Snapshot {
            self.backends.all.iter_mut().for_each(|backend| backend.running = false);
        }
        for entry in endpoints {
            let slow_start = TokenBucket { level: self.random_fraction(), at: self.now };
            let backend = self.backends.find_or_add(&entry.id);
            backend.update(entry, InitialState { latency: self.latency.mean, slow_start });
            backend.running = entry.lifecycle == Lifecycle::Running;
        }
        self.backends.refresh_running();
    }
}
