//! The endpoint list: which backends are running, draining or removed.
//!
//! A snapshot replaces the list, a delta changes the entries that it names. A stale snapshot is the first
//! event of a gateway that has just started; it starts the watch of the list and the periodic removal of idle
//! customers.
//!
//! A backend that the list names at another location is another process under the same id. Whether an attempt
//! in flight reached the earlier or the later one cannot be told, so its location is unknown from then on.
//!
//! Inputs: the kind of the list and its entries.

use super::Gateway;
use super::backend::InitialState;
use super::request::Execution;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use super::tuning::IDLE_CUSTOMER_SECONDS;
use crate::interface::{Action, Endpoint, EndpointListKind, Location};

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
            let moved = backend.update(entry, InitialState { latency: self.latency.mean, slow_start });
            if moved && let Some(backend) = self.backends.find(&entry.id) {
                self.forget_attempt_locations(backend);
            }
        }
        self.backends.refresh_running();
    }

    /// Records that the locations of the attempts in flight at this backend are unknown.
    fn forget_attempt_locations(&mut self, backend: usize) {
        let attempts = self.requests.values_mut().flat_map(|open| &mut open.attempts);
        for attempt in attempts {
            if attempt.backend == backend && attempt.execution == Execution::InFlight {
                attempt.location = Location::UNKNOWN;
            }
        }
    }
}
