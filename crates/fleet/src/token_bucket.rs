//! A token bucket that limits bytes or datagrams per second.

use crate::Millis;

/// Levels are kept in thousandths of a token, so that refilling by the millisecond needs no fractions.
const MILLITOKENS: i64 = 1000;

/// The refill rate and capacity of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Tokens added per second.
    pub per_second: u32,
    /// Capacity of the bucket, in tokens.
    pub burst: u32,
}

/// A token bucket with millisecond resolution. It may be overdrawn; the debt is refilled before tokens are
/// available again.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: i64,
    burst: i64,
    /// The current level, in thousandths of a token.
    level: i64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Millis) -> Self {
        let (per_second, burst) = (i64::from(rate.per_second), i64::from(rate.burst));
        Self { per_second, burst, level: burst * MILLITOKENS, refilled_at: now }
    }

    /// The level at `now` in tokens; negative if the bucket is overdrawn.
    pub fn level(&mut self, now: Millis) -> i64 {
        let elapsed = i64::try_from(now.saturating_sub(self.refilled_at)).unwrap_or(i64::MAX);
        let refilled = self.level.saturating_add(elapsed.saturating_mul(self.per_second));
        self.level = refilled.min(self.burst * MILLITOKENS);
        self.refilled_at = self.refilled_at.max(now);
        self.level.div_euclid(MILLITOKENS)
    }

    /// Takes tokens, even if that overdraws the bucket.
    pub fn spend(&mut self, tokens: usize) {
        self.level -= i64::try_from(tokens).unwrap_or(i64::MAX / MILLITOKENS) * MILLITOKENS;
    }

    /// Takes one token if one is available.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let available = self.level(now) >= 1;
        if available {
            self.spend(1);
        }
        available
    }
}
