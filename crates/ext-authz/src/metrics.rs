//! Counters of the services and clients; the engine has metrics of its own.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Defines the counters and their snapshot. The string is the key of a counter in `GET /stats`.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $key:literal,)*) => {
        /// Counters that any task may increment.
        #[derive(Debug, Default)]
        pub struct Metrics { $($(#[$doc])* pub $name: AtomicU64,)* }

        /// The counters' values at one moment.
        #[derive(Debug, Clone, Serialize)]
        pub struct MetricsSnapshot { $($(#[$doc])* #[serde(rename = $key)] pub $name: u64,)* }

        impl Metrics {
            /// The current values.
            pub fn snapshot(&self) -> MetricsSnapshot {
                MetricsSnapshot { $($name: self.$name.load(Relaxed),)* }
            }
        }
    };
}

counters! {
    /// Checks with missing or invalid attributes.
    invalid_checks = "bad_checks",
    /// Checks rejected because the engine's queue was full.
    queue_full = "queue_full",
    /// Access log entries without a ticket.
    entries_without_ticket = "entries_without_ticket",
    /// Connections closed at once because the connection limit was reached.
    connections_rejected = "connections_refused",
    /// Connections that ended, sent other bytes or timed out before the HTTP/2 preface was complete.
    connections_without_preface = "connections_mute",
    /// Calls sent to the counter.
    counter_calls = "counter_calls",
    /// Counter calls answered in time.
    counter_responses = "counter_answered",
    /// Counter calls that timed out.
    counter_timeouts = "counter_given_up",
    /// Counter calls that were not sent, or whose connection ended before the response.
    counter_lost = "counter_lost",
    /// Counter calls answered with an error or a wrong type.
    counter_errors = "counter_errors",
    /// Connections established to the counter.
    counter_connections = "counter_connections",
    /// Endpoint lists received.
    endpoint_lists = "lists",
    /// Entries of endpoint lists that were discarded as invalid, duplicate or in excess of the limit.
    unusable_endpoints = "list_entries_unusable",
}

impl Metrics {
    /// Increments a counter by one.
    pub fn increment(&self, counter: impl Fn(&Self) -> &AtomicU64) {
        self.add(counter, 1);
    }

    /// Increments a counter by `amount`.
    pub fn add(&self, counter: impl Fn(&Self) -> &AtomicU64, amount: u64) {
        counter(self).fetch_add(amount, Relaxed);
    }
}
