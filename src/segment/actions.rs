//! What a machine is told and what it wants done.

use super::entry::{Entry, Position};
use super::set::{Replica, ReplicaSet};

/// Entries sent by a primary; without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// The primary's set.
    pub set: ReplicaSet,
    /// For whom this is: another disk of the same store must not answer.
    pub to: Replica,
    /// Position before the first entry.
    pub previous: Position,
    /// Consecutive entries.
    pub entries: Vec<Entry>,
    /// Highest committed sequence number.
    pub commit: u64,
    /// Whether everything up to `previous` is compacted away at the primary.
    pub reset: bool,
}

/// The answer to an `Append`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Who answers.
    pub from: Replica,
    /// The set that the answering replica goes by.
    pub set: ReplicaSet,
    /// Everything up to here is on disk and equal to the primary's log.
    pub matched: Option<u64>,
    /// If not matched: from where to try again.
    pub retry_after: u64,
}

/// A change of what is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adopt this set.
    Adopt(ReplicaSet),
    /// Remember that this set was proposed.
    Propose(ReplicaSet),
    /// Drop entries from this sequence number on.
    Truncate(u64),
    /// Drop everything; the log goes on after this position.
    Reset(Position),
    /// Add an entry at the end.
    Append(Entry),
}

/// Wants entries of the log sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Epoch in which this was decided; in another one it means nothing.
    pub epoch: u64,
    /// To whom.
    pub to: Replica,
    /// Position before the first entry.
    pub previous: Position,
    /// Last entry that may be sent; fewer may.
    pub through: u64,
    /// Highest committed sequence number.
    pub commit: u64,
    /// Whether `previous` is where the log begins.
    pub reset: bool,
}

/// What follows from an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Must be on disk, in this order, before anything else of the step is done.
    pub changes: Vec<Change>,
    /// Entries to send.
    pub sends: Vec<Transfer>,
    /// Replica set to put into the platform's service in place of the current one.
    pub swap: Option<ReplicaSet>,
}

impl Actions {
    /// Adds what another event led to.
    pub fn merge(&mut self, other: Actions) {
        self.changes.extend(other.changes);
        self.sends.extend(other.sends);
        self.swap = other.swap.or(self.swap.take());
    }
}
