//! How far a replica follows the primary.

use std::time::Duration;

use super::set::Replica;
use crate::clock::Time;

/// Time after which an unanswered send is repeated.
const RESEND: Duration = Duration::from_millis(1_000);

/// The primary's knowledge of one other replica.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) replica: Replica,
    /// Everything up to here is on its disk and equal to the primary's log.
    pub(super) matched: Option<u64>,
    /// Where the next send begins.
    pub(super) after: u64,
    /// Until when an answer is waited for.
    pub(super) pending: Option<Time>,
    /// When it last answered.
    pub(super) heard: Time,
    /// Committed sequence number that it was last told.
    pub(super) told: u64,
}

impl Progress {
    pub(super) fn new(replica: Replica, last: u64, now: Time) -> Self {
        Self { replica, matched: None, after: last, pending: None, heard: now, told: 0 }
    }

    pub(super) fn idle(&self, now: Time) -> bool {
        self.pending.is_none_or(|deadline| deadline.passed(now))
    }

    pub(super) fn sent(&mut self, now: Time) {
        self.pending = Some(now.after(RESEND));
    }
}
