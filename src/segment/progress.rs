//! Replication progress of a follower.

use std::time::Duration;

use super::set::Replica;
use crate::clock::Time;

/// Time after which an unanswered message is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Replication progress of one replica, as tracked by the primary.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) replica: Replica,
    /// Sequence number up to which its log is on disk and equal to the primary's.
    pub(super) matched: Option<u64>,
    /// Sequence number after which the next message begins.
    pub(super) next_after: u64,
    /// Deadline of the outstanding message, if there is one.
    pub(super) response_deadline: Option<Time>,
    /// When the replica last responded.
    pub(super) last_response: Time,
    /// Commit sequence number last sent to the replica.
    pub(super) sent_commit: u64,
}

impl Progress {
    pub(super) fn new(replica: Replica, last: u64, now: Time) -> Self {
        Self {
            replica,
            matched: None,
            next_after: last,
            response_deadline: None,
            last_response: now,
            sent_commit: 0,
        }
    }

    pub(super) fn idle(&self, now: Time) -> bool {
        self.response_deadline.is_none_or(|deadline| deadline.passed(now))
    }

    pub(super) fn record_send(&mut self, now: Time) {
        self.response_deadline = Some(now.after(RESEND_TIMEOUT));
    }
}
