//! Token buckets.

use std::time::Duration;

use crate::clock::Time;

/// Maximum wait that is told to who finds too few tokens, in seconds.
const MAX_WAIT_S: f64 = 60.0;
/// Lowest rate with which waits are computed, in tokens per second.
const MIN_RATE_PER_S: f64 = 0.01;

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    updated: Time,
}

impl Bucket {
    /// Creates a bucket that holds `tokens` at `now`.
    pub fn new(tokens: f64, now: Time) -> Self {
        Self { tokens, updated: now }
    }

    /// Takes one token, or returns the time until one is available.
    pub fn take(&mut self, rate_per_s: f64, burst: f64, now: Time) -> Result<(), Duration> {
        self.take_above(0.0, rate_per_s, burst, now)
    }

    /// As `take`, but leaves `reserve` tokens.
    pub fn take_above(
        &mut self,
        reserve: f64,
        rate_per_s: f64,
        burst: f64,
        now: Time,
    ) -> Result<(), Duration> {
        self.refill(rate_per_s, burst, now);
        if self.tokens >= 1.0 + reserve {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 + reserve - self.tokens) / rate_per_s.max(MIN_RATE_PER_S);
        Err(Duration::from_secs_f64(wait.min(MAX_WAIT_S)))
    }

    /// Removes tokens that were used elsewhere; they may be owed, but no more than `burst`.
    pub fn remove(&mut self, tokens: f64, rate_per_s: f64, burst: f64, now: Time) {
        self.refill(rate_per_s, burst, now);
        self.tokens = (self.tokens - tokens).max(-burst);
    }

    /// Tokens that are available at `now`.
    pub fn available(&mut self, rate_per_s: f64, burst: f64, now: Time) -> f64 {
        self.refill(rate_per_s, burst, now);
        self.tokens.max(0.0)
    }

    /// Leaves at most `tokens` in the bucket.
    pub fn drain(&mut self, tokens: f64, now: Time) {
        self.tokens = self.tokens.min(tokens);
        self.updated = now;
    }

    fn refill(&mut self, rate_per_s: f64, burst: f64, now: Time) {
        let elapsed_s = self.updated.until(now).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * rate_per_s).min(burst.max(1.0));
        self.updated = now;
    }
}
