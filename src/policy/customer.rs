//! What is known of a customer, and the calls to its count.

use super::bucket::TokenBucket;
use crate::interface::*;
use std::collections::VecDeque;

/// A customer's quota as this gateway knows it.
#[derive(Debug, Default)]
pub(super) struct Customer {
    pub(super) plan: usize,
    /// How many gateways carry the customer.
    pub(super) spread: u32,
    /// This gateway's position among those.
    pub(super) position: u32,
    /// Units of the quota that are leased to this gateway and not spent yet.
    pub(super) lease: f64,
    /// The window that the lease belongs to.
    pub(super) window: u64,
    /// Units spent without a lease since then; the next call to the count adds them.
    pub(super) uncounted: TokenBucket,
    /// Decaying sum of the units asked for.
    pub(super) demand: TokenBucket,
    /// The local fallback limit: this gateway's even share of the level last known.
    pub(super) fallback: TokenBucket,
    /// Under a ceiling, this gateway's share of the room above the quota; all local spending draws it down,
    /// so that an outage grants nothing twice.
    pub(super) ceiling_share: TokenBucket,
    /// The window last called for, and its count then.
    pub(super) last_count: (u64, f64),
    /// What the window's first call found beyond that.
    pub(super) missing_at_start: f64,
    /// Its last lease was not granted in full.
    pub(super) partly_granted: bool,
    /// Since when the count has shown less than before.
    pub(super) emptied_since: Time,
    /// The quota's level as the count last showed it.
    pub(super) level: Option<TokenBucket>,
    /// The call for a lease that is out.
    pub(super) pending_call: Option<u64>,
    /// Nothing waits for that call any more.
    pub(super) call_late: bool,
    /// Requests that wait for that call.
    pub(super) waiting: VecDeque<RequestId>,
    pub(super) open_attempts: u32,
    pub(super) last_used: Time,
}

impl Customer {
    /// Adds units that were spent without a lease.
    pub(super) fn add_uncounted(&mut self, units: f64, now: Time) {
        if self.uncounted.level == 0.0 {
            self.uncounted.at = now;
        }
        self.uncounted.level += units;
    }
}

/// What a count is called for.
#[derive(Debug)]
pub(super) enum Purpose {
    /// A lease of `want` units, and to count the `uncounted` ones; what the call adds beyond both is the
    /// estimate for thin shares.
    Lease { want: f64, uncounted: f64 },
    /// To know the total of a window.
    Read,
    /// To put the total right.
    Correct,
}

/// A call to the counter that is out.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) customer: CustomerId,
    pub(super) window: u64,
    /// Units that it adds.
    pub(super) step: f64,
    pub(super) purpose: Purpose,
}
