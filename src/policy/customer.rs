//! The state that a gateway keeps of each customer. Quantities are quota units.
//!
//! The number of customers is limited. When it is reached, customers are removed whose state has become that
//! of a new customer again: they have nothing in flight, what they spent without a lease has been refilled,
//! and so has their headroom under a ceiling. So no customer gains by being removed. While there are none,
//! requests of further customers are rejected.

use super::count_reading::CountHistory;
use super::lease::PendingCall;
use super::token_bucket::{DecayingSum, TokenBucket};
use super::tuning::CUSTOMER_SWEEP_INTERVAL_SECONDS;
use crate::interface::{CustomerId, RequestId, Settings, Time};
use std::collections::{HashMap, VecDeque};

/// Largest table that is allocated as a whole.
const MAX_PREALLOCATED: usize = 1 << 17;

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
    /// Returns whether the customer has neither an attempt, a call for a lease nor a waiting request.
    fn is_idle(&self) -> bool {
        self.attempts_in_flight == 0 && self.pending_call.is_none() && self.waiting.is_empty()
    }

    /// Returns whether a new customer would be granted no more.
    fn is_like_new(&self, now: Time, settings: &Settings) -> bool {
        let plan = &settings.plans[self.plan];
        let refill_seconds = if plan.rate > 0.0 { plan.burst / plan.rate } else { 0.0 };
        self.is_idle()
            && now - self.last_used >= refill_seconds.max(plan.headroom_refill_seconds())
            && self.level.is_none_or(|level| level.level + plan.rate * (now - level.at) >= plan.burst)
            && self.has_full_fallback(now, plan, settings.max_request_units)
    }

    /// Returns this gateway's share of `units`, divided evenly among the gateways that serve the customer.
    pub(super) fn even_share(&self, units: f64) -> f64 {
        units / f64::from(self.instances)
    }
}

/// The customers that have sent requests recently.
#[derive(Debug)]
pub(super) struct CustomerTable {
    customers: HashMap<CustomerId, Customer>,
    max_customers: usize,
    /// When the table was last searched for customers that can be removed.
    swept_at: Time,
}

impl CustomerTable {
    /// Creates a table of at most `max_customers`. One of a moderate size is allocated as a whole, so that
    /// it never stands in memory twice.
    pub(super) fn new(max_customers: usize) -> Self {
        let capacity = if max_customers <= MAX_PREALLOCATED { max_customers } else { 0 };
        Self { customers: HashMap::with_capacity(capacity), max_customers, swept_at: f64::NEG_INFINITY }
    }

    /// Returns whether the table has the customer or a place for it. If it is full, customers that are like
    /// new are removed.
    pub(super) fn has_place(&mut self, now: Time, id: &CustomerId, settings: &Settings) -> bool {
        if self.customers.len() < self.max_customers || self.customers.contains_key(id) {
            return true;
        }
        if now - self.swept_at >= CUSTOMER_SWEEP_INTERVAL_SECONDS {
            self.swept_at = now;
            self.customers.retain(|_, customer| !customer.is_like_new(now, settings));
        }
        self.customers.len() < self.max_customers
    }

    /// Returns a customer, or `None` if its state has been removed.
    pub(super) fn find(&mut self, id: &CustomerId) -> Option<&mut Customer> {
        self.customers.get_mut(id)
    }

    /// Returns a customer that has an open request or a call in flight; its state is never removed.
    pub(super) fn existing(&mut self, id: &CustomerId) -> &mut Customer {
        self.customers
            .get_mut(id)
            .expect("a customer with an open request or a call in flight is not removed")
    }

    /// Returns the customer; a new one is created by `new` and inserted.
    pub(super) fn find_or_insert_with(
        &mut self,
        id: &CustomerId,
        new: impl FnOnce() -> Customer,
    ) -> &mut Customer {
        self.customers.entry(id.clone()).or_insert_with(new)
    }

    /// Removes the customers that have been idle for `idle_seconds` at `now`.
    pub(super) fn remove_idle(&mut self, now: Time, idle_seconds: f64) {
        self.customers.retain(|_, customer| now - customer.last_used < idle_seconds || !customer.is_idle());
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
