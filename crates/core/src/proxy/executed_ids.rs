//! Ids of requests that may have been executed, and must not be executed a second time.
//!
//! A request leaves the request table with its response or its client. Its id is kept here for as long as an attempt of
//! it may still take effect, so that a request which comes again under its id is not executed again.

use std::collections::{HashSet, VecDeque};
use weirusher::{Class, Idempotency, RequestId, Time};

/// Maximum number of ids. Beyond it the oldest ones are forgotten.
const MAX_IDS: usize = 16_384;
/// Shortest time in seconds for which an id is kept.
const MIN_RETENTION: f64 = 6.0;
/// Longest time in seconds for which an id is kept.
const MAX_RETENTION: f64 = 60.0;

/// The ids, oldest first.
#[derive(Debug)]
pub(super) struct ExecutedIds {
    /// Seconds for which an id is kept.
    retention: f64,
    ids: HashSet<RequestId>,
    expiries: VecDeque<(Time, RequestId)>,
}

impl ExecutedIds {
    /// Creates an empty set for requests of these classes. Ids are kept for the longest deadline and deduplication
    /// window of the classes that are not idempotent.
    pub fn new(classes: &[Class]) -> Self {
        let retention = |class: &Class| match class.idempotency {
            Idempotency::Idempotent => 0.0,
            Idempotency::NonIdempotent => class.deadline,
            Idempotency::Keyed { window, .. } => class.deadline.max(window),
        };
        let longest = classes.iter().map(retention).fold(MIN_RETENTION, f64::max);
        Self { retention: longest.min(MAX_RETENTION), ids: HashSet::new(), expiries: VecDeque::new() }
    }

    /// Whether a request with this id may have been executed.
    pub fn contains(&mut self, now: Time, id: &RequestId) -> bool {
        self.forget_expired(now);
        self.ids.contains(id)
    }

    /// Adds the id of a request that may have been executed.
    pub fn insert(&mut self, now: Time, id: RequestId) {
        self.forget_expired(now);
        if self.expiries.len() >= MAX_IDS {
            self.forget_oldest();
        }
        if self.ids.insert(id.clone()) {
            self.expiries.push_back((now + self.retention, id));
        }
    }

    fn forget_expired(&mut self, now: Time) {
        while self.expiries.front().is_some_and(|(expiry, _)| *expiry <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.expiries.pop_front() {
            self.ids.remove(&id);
        }
    }
}
