//! The hard ceiling of a plan: how much gateways may grant in excess of the units on the count.
//!
//! All of the quota may have been granted by leases already, so only the headroom between quota and ceiling
//! may be used without a lease. The headroom is divided into whole requests. Each one is assigned to the
//! next of the customer's gateways in turn, and expires after the time in which the headroom refills its own
//! burst. So all gateways together stay within the headroom even if a gateway's share is below one request.
//!
//! Inputs: the plan's rates (units per second) and bursts (units), the position of this gateway among those
//! that serve the customer.

use super::Gateway;
use super::token_bucket::TokenBucket;
use super::tuning::CEILING_HEADROOM_FRACTION;
use super::window::phase;
use crate::interface::{CustomerId, Plan, Time};

/// Lower bound of the rate of a headroom, which prevents divisions by zero.
const MIN_HEADROOM_RATE: f64 = 1e-9;

/// The units between the quota of a plan and its ceiling.
struct Headroom {
    /// Units per second.
    rate: f64,
    burst: f64,
}

impl Plan {
    fn headroom(&self) -> Headroom {
        let rate =
            self.rate.min(CEILING_HEADROOM_FRACTION * (self.ceiling_rate - self.rate)).max(MIN_HEADROOM_RATE);
        let burst = self.burst.min(CEILING_HEADROOM_FRACTION * (self.ceiling_burst - self.burst)).max(0.0);
        Headroom { rate, burst }
    }

    /// Returns the seconds in which an empty headroom is full again; 0 without a ceiling.
    pub(super) fn headroom_refill_seconds(&self) -> Time {
        let Headroom { rate, burst } = self.headroom();
        if self.ceiling_rate > 0.0 { burst / rate } else { 0.0 }
    }
}

impl Gateway {
    /// Returns whether this gateway's part of the headroom covers a request of `units`.
    pub(super) fn ceiling_covers(&mut self, customer_id: &CustomerId, plan: &Plan, units: f64) -> bool {
        let request_units = self.settings.max_request_units.max(1.0);
        let customer = self.customers.existing(customer_id);
        let Headroom { rate, burst } = plan.headroom();
        let seconds_per_request = request_units / rate;
        let instances = f64::from(customer.instances);
        let phase = f64::from(customer.position % customer.instances) + phase(customer_id);
        // Units assigned to this gateway since time 0.
        let assigned = |at: Time| ((at / seconds_per_request - phase) / instances).floor() * request_units;
        let new = assigned(self.now) - assigned(customer.ceiling_headroom.at);
        let unexpired = assigned(self.now) - assigned(self.now - burst / rate);
        let level = (customer.ceiling_headroom.level + new).min(unexpired);
        customer.ceiling_headroom = TokenBucket { level, at: self.now };
        level >= units
    }
}
