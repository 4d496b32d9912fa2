//! Call pacing: how many calls to the counter this gateway makes.
//!
//! Calls are paid from a token bucket. Its rate rises by each quick response and falls by slow and failed
//! ones, as a congestion window does, since a crowded counter works in vain on calls that nobody waits for
//! any more. Where calls are scarce they go to the requests with the highest priority.
//!
//! Inputs: status and seconds of each call, the counter's timeout in seconds, the priority of a request
//! (units times the priority weight of the plan).

use super::token_bucket::TokenBucket;
use super::tuning::{
    CALL_BURST_SECONDS, CALL_RATE_FAILURE_FACTOR, CALL_RATE_INCREASE, CALL_RATE_SLOW_FACTOR, EWMA_GAIN,
    INITIAL_FLEET_CALL_RATE, MIN_CALL_BURST, MIN_CALL_COST, MIN_CALL_RATE, RESTORED_CALL_RATE_FRACTION,
    SLOW_CALL_FRACTION,
};
use crate::interface::{Status, Time};

/// Lower bound of a priority, against divisions by zero.
const MIN_PRIORITY: f64 = 1e-9;

/// The budget of calls.
#[derive(Debug)]
pub(super) struct CallPacer {
    budget: TokenBucket,
    /// Calls a second that refill the budget.
    pub(super) rate: f64,
    /// When the rate was last lowered.
    lowered_at: Time,
    /// Mean priority of the requests that want a call.
    mean_priority: f64,
}

impl CallPacer {
    /// The pacer of one of `instances` gateways.
    pub(super) fn new(instances: u32) -> Self {
        let rate = (INITIAL_FLEET_CALL_RATE / f64::from(instances)).max(MIN_CALL_RATE);
        Self { budget: TokenBucket::default(), rate, lowered_at: 0.0, mean_priority: 0.0 }
    }

    /// Whether a request of this priority may make a call. One below the mean must find more calls saved up,
    /// by the square of the ratio.
    pub(super) fn allows(&mut self, now: Time, priority: f64) -> bool {
        self.mean_priority += EWMA_GAIN * (priority - self.mean_priority);
        let relative_cost = (self.mean_priority / priority.max(MIN_PRIORITY)).powi(2);
        let cost = relative_cost.clamp(MIN_CALL_COST, MIN_CALL_BURST);
        let burst = MIN_CALL_BURST.max(CALL_BURST_SECONDS * self.rate);
        self.budget.refill(now, self.rate, burst) >= cost
    }

    /// Pays for a call.
    pub(super) fn withdraw(&mut self) {
        self.budget.level -= 1.0;
    }

    /// Adapts the rate to a call that ended after `elapsed` seconds.
    pub(super) fn observe(&mut self, now: Time, status: Status, elapsed: f64, timeout: f64) {
        // A response that cannot be read, or a broken connection, does not show a crowded counter.
        let responded = matches!(status, Status::Ok | Status::Error | Status::Reset);
        let quick = responded && elapsed < SLOW_CALL_FRACTION * timeout;
        if quick && self.budget.level < 1.0 {
            self.rate += CALL_RATE_INCREASE * self.rate.sqrt();
        } else if !quick && now - elapsed >= self.lowered_at {
            // Once for all calls that were in flight at that moment: they met the same queue.
            self.lowered_at = now;
            let factor = if status == Status::Ok { CALL_RATE_SLOW_FACTOR } else { CALL_RATE_FAILURE_FACTOR };
            self.rate = (self.rate * factor).max(MIN_CALL_RATE);
        }
    }

    /// Raises the rate after an outage: the counter bore `rate_before` then, and was not crowded.
    pub(super) fn restore(&mut self, rate_before: f64) {
        self.rate = self.rate.max(RESTORED_CALL_RATE_FRACTION * rate_before);
    }
}
