//! What a count's total grants, and what is put right on it.

use super::Gateway;
use super::bucket::TokenBucket;
use super::customer::{Call, Purpose};
use super::tuning::*;
use super::window::{window, window_length};
use crate::interface::*;

impl Gateway {
    /// Reads a total: the window's limit is the burst plus what the rate has refilled since it began.
    ///
    /// Whoever finds a count at nothing is first in a window, or finds it emptied: it adds what was not
    /// left over, from the level it knows or from the window before. Where more is left than the burst, the
    /// rest lapses: it is added.
    pub(super) fn apply_total(&mut self, call: &Call, total: f64, plan: &Plan) {
        let quiet = self.counter_unavailable();
        let (window, age) = window(plan, &call.customer, self.now);
        let customer = self.customers.get_mut(&call.customer).expect("settled for known customers only");
        let limit = plan.burst + plan.rate * age;
        let prior = total - call.step;
        match call.purpose {
            Purpose::Correct => {}
            Purpose::Read if call.window + 1 == window => {
                let turn = plan.burst + plan.rate * window_length(plan) - total;
                let exact = plan.burst - (turn + plan.rate * age).min(plan.burst);
                // Nothing there, where something was told: it was emptied, and what is known here counts.
                let missing = if prior > 1e-6 { exact } else { customer.missing_at_start };
                customer.level.iter_mut().for_each(|l| l.level = l.level.min(plan.burst - missing));
                if missing > LAPSE_SLACK.0 * plan.burst {
                    self.add_to_count(&call.customer, window, missing, Purpose::Correct, plan);
                }
            }
            Purpose::Read => {}
            Purpose::Lease { want, uncounted } => {
                let shift = (window - call.window.min(window)) as f64 * plan.rate * window_length(plan);
                let before = limit + shift - prior;
                // Its own debt comes off before anything lapses; others bring theirs after that.
                let due = if quiet { uncounted + customer.uncounted.level.max(0.0) } else { 0.0 };
                let mut left = before.min(plan.burst + due);
                let first = prior.abs() < 1e-6;
                let known = customer.level.filter(|l| self.now - l.at < age.max(REFRESH));
                let unlapsed = left;
                // A count grows, but for what is given back: told much less than before, it was emptied.
                let lost =
                    if customer.last_count.0 == call.window { customer.last_count.1 - prior } else { 0.0 };
                let emptied = lost > EMPTIED_SHARE * plan.burst || first && lost > 0.0;
                if let (true, Some(mut known)) = (first || emptied, known) {
                    let (told, most) = (known.level, known.refill(self.now, plan.rate, plan.burst));
                    // The others have used what was refilled since; after an outage they will tell it.
                    let used = if quiet { most } else { told };
                    left = left.min(if emptied { used.min(before - lost) } else { most });
                    customer.missing_at_start = before.min(plan.burst) - left;
                }
                // Whoever came first is putting it right: others do so only where it stays so.
                let since = if customer.emptied_since > 0.0 { customer.emptied_since } else { self.now };
                let put_right = emptied && (first || self.now - since > 2.0 * self.settings.counter_timeout);
                customer.emptied_since = if emptied && !put_right { since } else { 0.0 };
                let lapsed = before - if put_right { left } else { unlapsed };
                let granted = want.min((left - uncounted + 1e-6).floor().max(0.0));
                customer.lease += granted;
                customer.partly_granted = granted < want;
                // An estimate, so the ask itself does not pay for it, nor the customer for more than a burst.
                let (thin, room) = (call.step - want - uncounted, left - uncounted - granted + plan.burst);
                let counted = thin.min(room.max(0.0));
                let level = left - uncounted - granted - counted;
                customer.level = Some(TokenBucket { level, at: self.now });
                let spread = f64::from(customer.spread);
                customer.fallback.refill(self.now, plan.rate / spread, f64::INFINITY);
                if quiet {
                    customer.fallback.level = customer.fallback.level.min((level + uncounted - due) / spread);
                } else if plan.burst >= spread * self.settings.max_request_units.max(1.0) {
                    // What was spent while this call was out is not on the count yet.
                    customer.fallback.level = level / spread - customer.uncounted.level.max(0.0);
                }
                let mut correction = granted - want + counted - thin;
                // Exactly where others go by it: at a turn, and while what they owe is still to come off it.
                let slack = if first || quiet { 0.0 } else { LAPSE_SLACK.1 * plan.burst };
                if lapsed > slack || put_right {
                    correction += lapsed;
                }
                let seen = if emptied && !put_right { lost } else { 0.0 };
                customer.last_count = (call.window, total + correction + seen);
                if correction.abs() > 1e-6 {
                    self.add_to_count(&call.customer, call.window, correction, Purpose::Correct, plan);
                }
                if first && !emptied && call.window > 0 {
                    self.add_to_count(&call.customer, call.window - 1, 0.0, Purpose::Read, plan);
                }
            }
        }
    }
}
