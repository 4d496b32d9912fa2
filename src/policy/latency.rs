//! Latency over all backends, in seconds, estimated from this gateway's attempts.

use super::tuning::{EWMA_GAIN, MIN_LATENCY_SECONDS, OVERLOAD_TIMEOUT_FRACTION};
use crate::interface::Status;

/// Moving estimates over all attempts; 0 until the first attempt has ended.
#[derive(Debug, Default)]
pub(super) struct LatencyEstimate {
    pub(super) mean: f64,
    /// Lost responses and single slow backends hardly affect the median, but a slow fleet does.
    pub(super) median: f64,
    /// Fraction of the recent attempts that timed out.
    timeout_fraction: f64,
}

impl LatencyEstimate {
    /// Updates the estimates with an attempt that was served or timed out after `elapsed` seconds.
    /// `median_gain` is the step of the median, on a logarithmic scale.
    pub(super) fn observe(&mut self, status: Status, elapsed: f64, median_gain: f64) {
        self.mean += if self.mean == 0.0 { elapsed } else { EWMA_GAIN * (elapsed - self.mean) };
        let timed_out = f64::from(u8::from(status == Status::Timeout));
        self.timeout_fraction += EWMA_GAIN * (timed_out - self.timeout_fraction);
        // Timeouts of few attempts are lost responses, not an overload: in an overload most attempts time
        // out, and the responses that arrive are slow.
        if status == Status::Ok || self.timeout_fraction > OVERLOAD_TIMEOUT_FRACTION {
            let median = if self.median == 0.0 { elapsed } else { self.median };
            self.median = median * (elapsed.max(MIN_LATENCY_SECONDS) / median).powf(median_gain);
        }
    }
}
