//! How much may be out: the limit on all servers together, and the slow start of each.

use super::Gateway;
use super::bucket::add_decaying;
use super::tuning::*;

impl Gateway {
    /// Whether one more attempt may go out. Little's law: as much as keeps answers within the wanted share of
    /// the aim, whoever loads the servers, and room for chance, which fades as answers slow down, later where
    /// few are out. A fraction lets in by chance, so that many gateways of little load keep it together.
    pub(super) fn has_capacity(&mut self, share: f64) -> bool {
        let least = MIN_ATTEMPTS_PER_SERVER * self.running.len() as f64 / f64::from(self.settings.instances);
        let ease = (LATENCY_SHARE * self.aim() / self.median_latency.max(1e-3)).min(LIMIT_GROWTH);
        let mean = (self.mean_inflight + least) * ease;
        let fade = (1.0 - 1.0 / ease + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        self.inflight + self.draw() <= share * (mean + fade * (1.0 + CONCURRENCY_DEVIATIONS * mean.sqrt()))
    }

    /// A server in slow start has a budget from what servers carry on average, of those `among` which a
    /// gateway chooses, and the capacity that it surely has; as every gateway does so, they stay under the
    /// multiple together, each from a phase of its own. It harms a fleet that is all cold: its climb is slow.
    pub(super) fn slow_start_budget(&mut self, place: usize, among: usize) -> f64 {
        // The most of late: when all are refused the rate falls, and the budget must not fall with it.
        add_decaying(&mut self.peak_units, self.now, 0.0, PEAK_MEMORY);
        self.peak_units.level = self.peak_units.level.max(self.sent_units.level / RATE_MEMORY);
        let mean = self.peak_units.level / among as f64 * self.listed_share();
        let backend = &mut self.backends[place];
        let age = self.now - backend.started;
        if backend.started <= 0.0 || age >= self.settings.slow_start_seconds {
            return f64::INFINITY;
        }
        let warmth = self.settings.slow_start_min_capacity
            + (1.0 - self.settings.slow_start_min_capacity)
                * (age / self.settings.slow_start_seconds).max(0.0);
        let rate = warmth * self.settings.overload_multiple * SLOW_START_SHARE * mean;
        backend.slow_start.refill(self.now, rate, (rate * self.settings.overload_seconds / 2.0).max(1.0))
    }

    /// Running servers as a share of the most of late. Guards against a list that shrinks as servers restart:
    /// those that are left carry more, and one in slow start can do no more than before.
    fn listed_share(&mut self) -> f64 {
        let running = self.running.len() as f64;
        add_decaying(&mut self.peak_running, self.now, 0.0, PEAK_MEMORY);
        self.peak_running.level = self.peak_running.level.max(running);
        running / self.peak_running.level
    }
}
