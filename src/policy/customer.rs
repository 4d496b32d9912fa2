//! A customer's quota as this gateway knows it. Quantities are quota units.

use super::lease::PendingCall;
use super::settlement::CountHistory;
use super::token_bucket::{DecayingSum, TokenBucket};
use crate::interface::{RequestId, Time};
use std::collections::VecDeque;

/// What a gateway knows of a customer.
#[derive(Debug, Default)]
pub(super) struct Customer {
    /// Index of its plan.
    pub(super) plan: usize,
    /// How many gateways serve the customer.
    pub(super) instances: u32,
    /// This gateway's position among those.
    pub(super) position: u32,
    /// Units of the quota that are leased to this gateway and not spent yet.
    pub(super) lease: f64,
    /// The window that the lease belongs to.
    pub(super) lease_window: u64,
    /// Its last lease was not granted in full.
    pub(super) partly_granted: bool,
    /// Units spent without a lease.
    pub(super) uncounted: Uncounted,
    /// Recent demand.
    pub(super) demand: DecayingSum,
    /// The local fallback limit.
    pub(super) fallback: TokenBucket,
    /// Under a ceiling, this gateway's part of the headroom above the quota. All units spent draw it down, so
    /// that an outage grants nothing twice.
    pub(super) ceiling_headroom: TokenBucket,
    /// The quota's level as the count last showed it.
    pub(super) level: Option<TokenBucket>,
    /// What the count has shown.
    pub(super) count: CountHistory,
    /// The call for a lease that is in flight.
    pub(super) pending_call: Option<PendingCall>,
    /// Requests that wait for that call.
    pub(super) waiting: VecDeque<RequestId>,
    /// Attempts in flight.
    pub(super) open_attempts: u32,
    pub(super) last_used: Time,
}

impl Customer {
    /// Whether nothing of it is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.open_attempts == 0 && self.pending_call.is_none()
    }

    /// The number of gateways that serve the customer, for calculations.
    pub(super) fn instances_f64(&self) -> f64 {
        f64::from(self.instances)
    }
}

/// Units spent that the count does not know of yet; the next call adds them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Uncounted {
    pub(super) units: f64,
    /// When the first of them were spent.
    pub(super) since: Time,
}

impl Uncounted {
    /// Adds units spent at `now`; negative ones were counted and not spent.
    pub(super) fn add(&mut self, now: Time, units: f64) {
        if self.units == 0.0 {
            self.since = now;
        }
        self.units += units;
    }
}
