//! Checks that grants stay within rate and burst over every interval.
//!
//! Grants in every interval [a, b] are at most burst + rate * (b - a) if and
//! only if a single token bucket, full at the start and refilled without
//! rounding, never runs short. One bucket therefore checks all intervals.

use crate::admission::share::{Slice, TOKEN};
use crate::clock::Time;

/// Bucket units per millionth of a token. One unit is what a rate of one
/// millionth of a token per second adds in a microsecond, so refills are exact.
const SCALE: u128 = 1_000_000;

/// The token bucket that all grants of an organisation must conform to.
#[derive(Clone, Debug)]
pub struct Conformance {
    limit: Slice,
    level: u128,
    updated_at: Time,
}

impl Conformance {
    /// Creates a full bucket.
    pub fn new(limit: Slice) -> Self {
        Self { limit, level: u128::from(limit.burst) * SCALE, updated_at: Time(0) }
    }

    /// Records one grant; returns false if it exceeds rate and burst.
    pub fn grant(&mut self, now: Time) -> bool {
        let elapsed = u128::from(now.0.saturating_sub(self.updated_at.0));
        self.updated_at = now;
        self.level += elapsed * u128::from(self.limit.rate);
        self.level = self.level.min(u128::from(self.limit.burst) * SCALE);
        let token = u128::from(TOKEN) * SCALE;
        let conforms = self.level >= token;
        self.level = self.level.saturating_sub(token);
        conforms
    }
}
