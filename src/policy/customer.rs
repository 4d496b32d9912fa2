//! The state that a gateway keeps of each customer. Quantities are quota units.

use super::count_reading::CountHistory;
use super::lease::PendingCall;
use super::token_bucket::{DecayingSum, TokenBucket};
use crate::interface::{CustomerId, RequestId, Time};
use std::collections::{HashMap, VecDeque};

/// State of one customer at this gateway.
#[derive(Debug, Default)]
pub(super) struct Customer {
    /// Index of its plan.
    pub(super) plan: usize,
    /// How many gateways serve the customer.
    pub(super) instances: u32,
    /// This gateway's position among those gateways, from 0.
    pub(super) position: u32,
    /// Units of the quota that are leased to this gateway and not spent yet.
    pub(super) lease: f64,
    /// The window that the lease belongs to.
    pub(super) lease_window: u64,
    /// The last lease was not granted in full.
    pub(super) not_fully_granted: bool,
    /// Units spent without a lease.
    pub(super) uncounted: Uncounted,
    /// Recent demand.
    pub(super) demand: DecayingSum,
    /// The local fallback limit.
    pub(super) fallback: TokenBucket,
    /// Under a ceiling, this gateway's part of the headroom above the quota. Every unit spent is taken from
    /// it, so that an outage grants no unit twice.
    pub(super) ceiling_headroom: TokenBucket,
    /// Level of the quota according to the last known count.
    pub(super) level: Option<TokenBucket>,
    /// Previous totals of the count.
    pub(super) count: CountHistory,
    /// The call for a lease that is in flight.
    pub(super) pending_call: Option<PendingCall>,
    /// Requests that wait for that call.
    pub(super) waiting: VecDeque<RequestId>,
    /// Attempts in flight.
    pub(super) attempts_in_flight: u32,
    pub(super) last_used: Time,
}

impl Customer {
    /// Returns whether the customer has neither an attempt nor a call for a lease in flight.
    fn is_idle(&self) -> bool {
        self.attempts_in_flight == 0 && self.pending_call.is_none()
    }

    /// Returns this gateway's share of `units`, divided evenly among the gateways that serve the customer.
    pub(super) fn even_share(&self, units: f64) -> f64 {
        units / f64::from(self.instances)
    }
}

/// The customers that have sent requests recently.
#[derive(Debug, Default)]
pub(super) struct CustomerTable(HashMap<CustomerId, Customer>);

impl CustomerTable {
    /// Returns a customer, or `None` if its state has been removed.
    pub(super) fn find(&mut self, id: &CustomerId) -> Option<&mut Customer> {
        self.0.get_mut(id)
    }

    /// Returns a customer that has an open request or a call in flight; its state is never removed.
    pub(super) fn existing(&mut self, id: &CustomerId) -> &mut Customer {
        self.0.get_mut(id).expect("a customer with an open request or a call in flight is not removed")
    }

    /// Returns the customer; a new one is created by `new` and inserted.
    pub(super) fn find_or_insert_with(
        &mut self,
        id: &CustomerId,
        new: impl FnOnce() -> Customer,
    ) -> &mut Customer {
        self.0.entry(id.clone()).or_insert_with(new)
    }

    /// Removes the customers that have been idle for `idle_seconds` at `now`.
    pub(super) fn remove_idle(&mut self, now: Time, idle_seconds: f64) {
        self.0.retain(|_, customer| now - customer.last_used < idle_seconds || !customer.is_idle());
    }
}

/// Units spent that are not on the count yet; the next call adds them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Uncounted {
    pub(super) units: f64,
    /// When the first of them were spent.
    pub(super) since: Time,
}

impl Uncounted {
    /// Adds units spent at `now`; a negative number stands for units that were counted but not spent.
    pub(super) fn add(&mut self, now: Time, units: f64) {
        if self.units == 0.0 {
            self.since = now;
        }
        self.units += units;
    }
}
