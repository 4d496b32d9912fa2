//! What services and clients count, beside the engine's own metrics.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Defines the counters and their snapshot; the string is a counter's key on the admin page.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $key:literal,)*) => {
        /// Counters that any task may increment.
        #[derive(Debug, Default)]
        pub struct Metrics { $($(#[$doc])* pub $name: AtomicU64,)* }

        /// The counters' values at one moment.
        #[derive(Debug, Clone, Serialize)]
        pub struct MetricsSnapshot { $($(#[$doc])* #[serde(rename = $key)] pub $name: u64,)* }

        impl Metrics {
            /// The present values.
            pub fn snapshot(&self) -> MetricsSnapshot {
                MetricsSnapshot { $($name: self.$name.load(Relaxed),)* }
            }
        }
    };
}

counters! {
    /// Checks whose attributes cannot be used.
    invalid_checks = "bad_checks",
    /// Checks rejected because the engine's queue was full.
    queue_full = "queue_full",
    /// Access log entries without a ticket.
    entries_without_ticket = "entries_without_ticket",
    /// Connections closed at once because there were too many.
    connections_rejected = "connections_refused",
    /// Connections closed because they did not start with HTTP/2's preface in time.
    connections_without_preface = "connections_mute",
    /// Counter calls sent.
    counter_calls = "counter_calls",
    /// Counter calls answered in time.
    counter_responses = "counter_answered",
    /// Counter calls that timed out.
    counter_timeouts = "counter_given_up",
    /// Counter calls rejected, or lost with their connection.
    counter_lost = "counter_lost",
    /// Counter calls answered with an error or a wrong type.
    counter_errors = "counter_errors",
    /// Connections made to the counter.
    counter_connections = "counter_connections",
    /// Endpoint lists received.
    endpoint_lists = "lists",
    /// Entries of endpoint lists that could not be used.
    unusable_endpoints = "list_entries_unusable",
}

impl Metrics {
    /// Adds one to a counter.
    pub fn increment(&self, counter: impl Fn(&Self) -> &AtomicU64) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: impl Fn(&Self) -> &AtomicU64, amount: u64) {
        counter(self).fetch_add(amount, Relaxed);
    }
}
