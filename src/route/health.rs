//! Outlier ejection: failing upstreams get no requests for a while and then
//! ramp up to full weight.

use std::time::Duration;

use crate::clock::Time;

/// Consecutive failures after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time an upstream takes to ramp up to full weight after an ejection.
const RAMP_UP: Duration = Duration::from_secs(10);
/// Weight at the start of the ramp-up, in thousandths.
const RAMP_UP_START_MILLI: u64 = 100;
/// Weight of a healthy upstream, in thousandths.
const FULL_MILLI: u64 = 1_000;

/// Health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Time,
    ramp_up_end: Time,
}

impl Health {
    /// Records a complete response.
    pub fn succeeded(&mut self, now: Time) {
        self.failures = 0;
        if self.ramp_up_end.passed(now) {
            self.ejections = 0;
        }
    }

    /// Records a failure after which the upstream may still work; enough of
    /// them in a row eject it.
    pub fn failed(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.eject(now);
        }
    }

    /// Ejects the upstream immediately, because it refused or broke a connection.
    pub fn eject(&mut self, now: Time) {
        if self.ejected(now) {
            return;
        }
        let ejection = FIRST_EJECTION * (1 << self.ejections.min(5));
        self.ejected_until = now.after(ejection.min(MAX_EJECTION));
        self.ramp_up_end = self.ejected_until.after(RAMP_UP);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Whether the upstream is ejected and gets no requests.
    pub fn ejected(&self, now: Time) -> bool {
        !self.ejected_until.passed(now)
    }

    /// Weight in thousandths: zero while ejected, then rising linearly to full.
    pub fn weight_milli(&self, now: Time) -> u64 {
        if self.ejected(now) {
            return 0;
        }
        let remaining = now.until(self.ramp_up_end).as_micros() as u64;
        let span = RAMP_UP.as_micros() as u64;
        let gained = span.saturating_sub(remaining) * (FULL_MILLI - RAMP_UP_START_MILLI) / span;
        RAMP_UP_START_MILLI + gained
    }
}
