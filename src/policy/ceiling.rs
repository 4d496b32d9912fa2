//! The hard ceiling of a plan: how much gateways may grant beyond what the count knows of.
//!
//! The count may have granted all of the quota already, so only the headroom between quota and ceiling may be
//! used without it. The headroom is dealt in whole requests: each is assigned to the next of the customer's
//! gateways in turn and expires after the time of the headroom's own burst, so that all gateways together
//! stay within it even where a share is under one request.
//!
//! Inputs: the plan's rates (units a second) and bursts (units), the position of this gateway among those
//! that serve the customer.

use super::Gateway;
use super::token_bucket::TokenBucket;
use super::tuning::CEILING_HEADROOM_FRACTION;
use super::window::phase;
use crate::interface::{CustomerId, Plan, Time};

/// Lower bound of the rate of a headroom, against divisions by zero.
const MIN_HEADROOM_RATE: f64 = 1e-9;

impl Gateway {
    /// Whether this gateway's part of the headroom covers a request of `units`.
    pub(super) fn ceiling_covers(&mut self, customer_id: &CustomerId, plan: &Plan, units: f64) -> bool {
        let request_units = self.settings.max_request_units.max(1.0);
        let customer = self.customers.known(customer_id);
        let rate =
            plan.rate.min(CEILING_HEADROOM_FRACTION * (plan.ceiling_rate - plan.rate)).max(MIN_HEADROOM_RATE);
        let burst = plan.burst.min(CEILING_HEADROOM_FRACTION * (plan.ceiling_burst - plan.burst)).max(0.0);
        let seconds_per_request = request_units / rate;
        let instances = f64::from(customer.instances);
        let phase = f64::from(customer.position % customer.instances) + phase(customer_id);
        // Units assigned to this gateway since the origin of time.
        let assigned = |at: Time| ((at / seconds_per_request - phase) / instances).floor() * request_units;
        let new = assigned(self.now) - assigned(customer.ceiling_headroom.at);
        let unexpired = assigned(self.now) - assigned(self.now - burst / rate);
        let level = (customer.ceiling_headroom.level + new).min(unexpired);
        customer.ceiling_headroom = TokenBucket { level, at: self.now };
        level >= units
    }
}
