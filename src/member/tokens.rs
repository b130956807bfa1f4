//! Tokens that tell a VM when what it hears was asked for.
//!
//! A token is the issuer's own clock. Who answers it echoes it, so the issuer
//! counts the answer from the moment of issue, however long it was under way.

use std::time::Duration;

use crate::clock::Time;

/// Unit of spans in beats, in milliseconds: a contact bound fits a byte.
const UNIT_MS: u64 = 12;

/// Issues and reads tokens of one process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tokens {
    /// Differs with each start, so that tokens of an earlier one are stale.
    offset: u32,
}

impl Tokens {
    pub(super) fn new(offset: u32) -> Self {
        Self { offset }
    }

    /// The token for `now`.
    pub(super) fn issue(self, now: Time) -> u32 {
        (now.as_millis() as u32).wrapping_add(self.offset)
    }

    /// When an echoed token was issued, if that is at most `bound` ago.
    pub(super) fn read(self, echo: u32, now: Time, bound: Duration) -> Option<Time> {
        let age = self.issue(now).wrapping_sub(echo);
        let issued = now.as_millis().checked_sub(u64::from(age))?;
        (u128::from(age) <= bound.as_millis()).then(|| Time::from_millis(issued))
    }
}

/// A span until `deadline` in units, rounded down.
pub(super) fn units(now: Time, deadline: Time) -> u32 {
    let millis = now.until(deadline).as_millis() as u64;
    u32::try_from(millis / UNIT_MS).unwrap_or(u32::MAX)
}

/// A span in units as time.
pub(super) fn span(units: u32) -> Duration {
    Duration::from_millis(u64::from(units) * UNIT_MS)
}
