//! Tokens that tie an answer to the time of its request.
//!
//! A token is the issuer's clock reading. The receiver echoes it in its answer, so the issuer
//! counts the answer's validity from when the token was issued, however long the exchange took.

use std::time::Duration;

use crate::clock::Time;

/// Unit of durations in heartbeats, in milliseconds. `CONTACT_VALIDITY` fits into one byte.
const UNIT_MS: u64 = 12;

/// Issues and resolves the tokens of one process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tokens {
    /// Differs with each start, so that tokens from before a restart are recognized as stale.
    offset: u32,
}

impl Tokens {
    pub(super) fn new(offset: u32) -> Self {
        Self { offset }
    }

    /// Issues the token for `now`.
    pub(super) fn issue(self, now: Time) -> u32 {
        (now.as_millis() as u32).wrapping_add(self.offset)
    }

    /// When an echoed token was issued, or `None` if that is more than `max_age` ago.
    pub(super) fn issued_at(self, echo: u32, now: Time, max_age: Duration) -> Option<Time> {
        let age = self.issue(now).wrapping_sub(echo);
        let issued = now.as_millis().checked_sub(u64::from(age))?;
        (u128::from(age) <= max_age.as_millis()).then(|| Time::from_millis(issued))
    }
}

/// Converts the time until `deadline` to wire units, rounded down.
pub(super) fn to_units(now: Time, deadline: Time) -> u32 {
    let millis = now.until(deadline).as_millis() as u64;
    u32::try_from(millis / UNIT_MS).unwrap_or(u32::MAX)
}

/// Converts wire units to a duration.
pub(super) fn from_units(units: u32) -> Duration {
    Duration::from_millis(u64::from(units) * UNIT_MS)
}
