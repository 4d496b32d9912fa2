//! Call pacing: how many calls to the counter this gateway makes.
//!
//! Each call takes a token from a bucket. The rate of the bucket rises with each fast response and falls with
//! slow and failed calls, like a congestion window: an overloaded counter would waste its work on calls that
//! have already timed out. If calls are scarce, the requests with the highest priority get them.
//!
//! Inputs: status and duration (seconds) of each call, the counter's timeout in seconds, the priority of a
//! request (units times the priority weight of the plan).

use super::token_bucket::TokenBucket;
use super::tuning::{
    CALL_BURST_SECONDS, CALL_RATE_FAILURE_FACTOR, CALL_RATE_INCREASE, CALL_RATE_SLOW_FACTOR, EWMA_GAIN,
    INITIAL_FLEET_CALL_RATE, MIN_CALL_BURST, MIN_CALL_RATE, MIN_CALL_TOKENS, RESTORED_CALL_RATE_FRACTION,
    SLOW_CALL_FRACTION,
};
use crate::interface::{Status, Time};

/// Lower bound of a priority, which prevents divisions by zero.
const MIN_PRIORITY: f64 = 1e-9;

/// The budget of calls.
#[derive(Debug)]
pub(super) struct CallPacer {
    budget: TokenBucket,
    /// Calls per second that refill the budget.
    pub(super) rate: f64,
    /// When the rate was last lowered.
    lowered_at: Time,
    /// Moving average of the priority of requests that need a call.
    mean_priority: f64,
}

impl CallPacer {
    /// Creates the pacer of one of `instances` gateways.
    pub(super) fn new(instances: u32) -> Self {
        let rate = (INITIAL_FLEET_CALL_RATE / f64::from(instances)).max(MIN_CALL_RATE);
        Self { budget: TokenBucket::default(), rate, lowered_at: 0.0, mean_priority: 0.0 }
    }

    /// Returns whether a request of this priority may make a call. The lower its priority is relative to the
    /// mean, the more tokens the bucket must hold: their number grows with the square of the ratio.
    pub(super) fn allows(&mut self, now: Time, priority: f64) -> bool {
        self.mean_priority += EWMA_GAIN * (priority - self.mean_priority);
        let ratio_squared = (self.mean_priority / priority.max(MIN_PRIORITY)).powi(2);
        let needed = ratio_squared.clamp(MIN_CALL_TOKENS, MIN_CALL_BURST);
        let burst = MIN_CALL_BURST.max(CALL_BURST_SECONDS * self.rate);
        self.budget.refill(now, self.rate, burst) >= needed
    }

    /// Takes the token of a call from the budget.
    pub(super) fn withdraw(&mut self) {
        self.budget.level -= 1.0;
    }

    /// Adapts the rate to a call that ended after `elapsed` seconds.
    pub(super) fn observe(&mut self, now: Time, status: Status, elapsed: f64, timeout: f64) {
        // An unreadable response or a broken connection is no sign of an overloaded counter.
        let responded = matches!(status, Status::Ok | Status::Error | Status::Reset);
        let fast = responded && elapsed < SLOW_CALL_FRACTION * timeout;
        if fast && self.budget.level < 1.0 {
            self.rate += CALL_RATE_INCREASE * self.rate.sqrt();
        } else if !fast && now - elapsed >= self.lowered_at {
            // Lowered once for all calls in flight at the same time, as they waited in the same queue.
            self.lowered_at = now;
            let factor = if status == Status::Ok { CALL_RATE_SLOW_FACTOR } else { CALL_RATE_FAILURE_FACTOR };
            self.rate = (self.rate * factor).max(MIN_CALL_RATE);
        }
    }

    /// Raises the rate after an outage to a fraction of `rate_before`, which the counter handled before it.
    pub(super) fn restore(&mut self, rate_before: f64) {
        self.rate = self.rate.max(RESTORED_CALL_RATE_FRACTION * rate_before);
    }
}
