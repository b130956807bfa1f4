//! Order in which items get slots and lose them.
//!
//! When upstreams are lost or online load rises, batch items arrive faster than
//! they can run. In the order of their due times alone they would then all end
//! a little late: each late item delays the next. So items that can still end
//! in time go first, by due time; the others run when no such item waits, and
//! are the first that online requests preempt.

use std::time::Duration;

use super::record::Item;
use super::run::Progress;
use crate::clock::Time;
use crate::serve::upstream::Timing;

/// Urgency of an item. Lower ranks get slots first and lose them last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    late: bool,
    due: Time,
}

impl Rank {
    /// Rank of an item of a job due at `due` that would end at `ends_at`.
    pub fn new(due: Time, ends_at: Time) -> Self {
        Self { late: ends_at > due, due }
    }

    /// When the item is due.
    pub fn due(self) -> Time {
        self.due
    }

    /// Whether the item can't end in time any more.
    pub fn is_late(self) -> bool {
        self.late
    }
}

/// Expected time at which an item ends if it starts at `now` and isn't preempted.
pub fn expected_end(item: &Item, progress: &Progress, timing: Timing, now: Time) -> Time {
    let events = item.tokens as f64 / timing.event_tokens;
    let remaining = (events - progress.events.len() as f64).max(0.0);
    let span = Duration::try_from_secs_f64(remaining * timing.event_ms / 1e3);
    // An item whose size says nothing, as one of no tokens after others, has no known end.
    now.after(span.unwrap_or(Duration::MAX))
}
