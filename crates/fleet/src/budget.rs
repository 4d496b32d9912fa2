//! Bytes and datagrams a second, as token buckets.

use crate::Millis;

/// A token bucket in whole milliseconds. It may be overdrawn, and is paid back before it gives again.
#[derive(Debug, Clone)]
pub struct Bucket {
    /// Tokens a second.
    rate: i64,
    burst: i64,
    /// Thousandths of a token.
    level: i64,
    at: Millis,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate: u32, burst: u32, now: Millis) -> Self {
        let (rate, burst) = (i64::from(rate), i64::from(burst));
        Self { rate, burst, level: burst * 1000, at: now }
    }

    /// Tokens at `now`; below zero where it is overdrawn.
    pub fn level(&mut self, now: Millis) -> i64 {
        let passed = i64::try_from(now.saturating_sub(self.at)).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(passed.saturating_mul(self.rate)).min(self.burst * 1000);
        self.at = self.at.max(now);
        self.level.div_euclid(1000)
    }

    /// Takes tokens, whether or not they are there.
    pub fn draw(&mut self, tokens: usize) {
        self.level -= i64::try_from(tokens).unwrap_or(i64::MAX / 1000) * 1000;
    }

    /// Takes one token if it is there.
    pub fn take(&mut self, now: Millis) -> bool {
        let there = self.level(now) >= 1;
        if there {
            self.draw(1);
        }
        there
    }
}
