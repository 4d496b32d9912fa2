//! The local fallback limit of a customer while its count is not known.

use super::Gateway;
use super::bucket::TokenBucket;
use super::tuning::*;
use super::window::phase;
use crate::interface::*;

impl Gateway {
    /// While the counter is unavailable: an even share of rate and burst, less what is owed already. What a
    /// gateway takes of its burst stays taken until the count knows of it. A share under one request holds
    /// one: dealt strictly it serves too few, but under a ceiling, where it must.
    pub(super) fn fallback_covers(&mut self, key: &CustomerId, plan: &Plan, units: f64) -> bool {
        let now = self.now;
        let customer = self.customers.get_mut(key).expect("asked for known customers only");
        let spread = f64::from(customer.spread);
        let (rate, most) = (plan.rate / spread, (plan.burst / spread).max(units));
        let taken = (customer.uncounted.level - rate * (now - customer.uncounted.at)).max(0.0);
        let covers = customer.fallback.refill(now, rate, most - taken) >= units;
        let thin = plan.burst < spread * units;
        if plan.ceiling_rate > 0.0 {
            (thin || covers) && self.ceiling_share_covers(key, plan, units)
        } else {
            covers
        }
    }

    /// Rule 5: a share of what stands between ceiling and quota, as the count may have granted all the quota
    /// already. It is dealt in whole requests: each falls due to the next of the customer's gateways in turn
    /// and holds for burst over rate, so all together stay within the room even where one holds less.
    pub(super) fn ceiling_share_covers(&mut self, key: &CustomerId, plan: &Plan, units: f64) -> bool {
        let most = self.settings.max_request_units.max(1.0);
        let customer = self.customers.get_mut(key).expect("asked for known customers only");
        let rate = plan.rate.min(CEILING_SHARE * (plan.ceiling_rate - plan.rate)).max(1e-9);
        let burst = plan.burst.min(CEILING_SHARE * (plan.ceiling_burst - plan.burst)).max(0.0);
        let (spread, deal) = (f64::from(customer.spread), most / rate);
        let phase = f64::from(customer.position % customer.spread) + phase(key);
        let dealt = |at: Time| ((at / deal - phase) / spread).floor() * most;
        let (new, valid) = (
            dealt(self.now) - dealt(customer.ceiling_share.at),
            dealt(self.now) - dealt(self.now - burst / rate),
        );
        customer.ceiling_share =
            TokenBucket { level: (customer.ceiling_share.level + new).min(valid), at: self.now };
        customer.ceiling_share.level >= units
    }
}
