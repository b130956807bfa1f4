//! Whether grants stay within rate and burst over every interval.
//!
//! Grants in any interval [a, b] are at most burst + rate * (b - a) exactly
//! if one bucket, full at the start and refilled without rounding, never runs
//! short. So one bucket checks all intervals.

use crate::admission::share::{Slice, TOKEN};
use crate::clock::Time;

/// Fractions in one millionth of a token: what a rate of one millionth of a
/// token a second brings in a microsecond.
const FINE: u128 = 1_000_000;

/// The bucket that all grants of an organisation must fit.
#[derive(Clone, Debug)]
pub struct Conformance {
    whole: Slice,
    level: u128,
    at: Time,
}

impl Conformance {
    /// Makes a full bucket.
    pub fn new(whole: Slice) -> Self {
        Self { whole, level: u128::from(whole.burst) * FINE, at: Time(0) }
    }

    /// Counts one grant; false when it exceeds rate and burst.
    pub fn grant(&mut self, now: Time) -> bool {
        let span = u128::from(now.0.saturating_sub(self.at.0));
        self.at = now;
        self.level += span * u128::from(self.whole.rate);
        self.level = self.level.min(u128::from(self.whole.burst) * FINE);
        let token = u128::from(TOKEN) * FINE;
        let fits = self.level >= token;
        self.level = self.level.saturating_sub(token);
        fits
    }
}
