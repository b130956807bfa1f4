//! Ejection of failing upstreams and their slow return.

use std::time::Duration;

use crate::clock::Time;

/// Failures in a row that eject an upstream.
const FAILURES: u32 = 3;
/// First ejection; each further one doubles.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// How long a returning upstream takes to its full weight.
const RETURN: Duration = Duration::from_secs(10);
/// Weight that a returning upstream begins with, in thousandths.
const RETURN_MILLI: u64 = 100;
/// Full weight, in thousandths.
const FULL_MILLI: u64 = 1_000;

/// What is known of one upstream's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Time,
    full_at: Time,
}

impl Health {
    /// Notes a whole answer.
    pub fn succeeded(&mut self, now: Time) {
        self.failures = 0;
        if self.full_at.passed(now) {
            self.ejections = 0;
        }
    }

    /// Notes an answer that failed in a way that needn't be the upstream's end.
    pub fn failed(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.eject(now);
        }
    }

    /// Ejects at once: the upstream refused a connection or broke one.
    pub fn eject(&mut self, now: Time) {
        if self.ejected(now) {
            return;
        }
        let span = FIRST_EJECTION * (1 << self.ejections.min(5));
        self.ejected_until = now.after(span.min(LONGEST_EJECTION));
        self.full_at = self.ejected_until.after(RETURN);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Whether it gets nothing.
    pub fn ejected(&self, now: Time) -> bool {
        !self.ejected_until.passed(now)
    }

    /// Weight in thousandths: zero while ejected, rising after its return.
    pub fn weight_milli(&self, now: Time) -> u64 {
        if self.ejected(now) {
            return 0;
        }
        let left = now.until(self.full_at).as_micros() as u64;
        let span = RETURN.as_micros() as u64;
        let back = span.saturating_sub(left) * (FULL_MILLI - RETURN_MILLI) / span;
        RETURN_MILLI + back
    }
}
