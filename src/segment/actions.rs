//! Messages between replicas and the actions that a machine requests.

use super::entry::{Entry, Position};
use super::set::{Replica, ReplicaSet};

/// Append message from a primary; without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Replica set of the primary.
    pub set: ReplicaSet,
    /// Receiving replica; a replacement disk of the same store must not accept the message.
    pub to: Replica,
    /// Position that precedes the first entry.
    pub previous: Position,
    /// Consecutive entries after `previous`.
    pub entries: Vec<Entry>,
    /// Highest committed sequence number.
    pub commit: u64,
    /// Whether the primary has compacted its log up to `previous`.
    pub reset: bool,
}

/// Response to an `Append`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Replica that responds.
    pub from: Replica,
    /// Replica set adopted by the responding replica.
    pub set: ReplicaSet,
    /// Sequence number up to which the log is on disk and equal to the primary's.
    pub matched: Option<u64>,
    /// If `matched` is none, the sequence number after which to retry.
    pub retry_after: u64,
}

/// A change of the stored state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adopt this replica set.
    Adopt(ReplicaSet),
    /// Store this replica set as proposed.
    Propose(ReplicaSet),
    /// Remove all entries from this sequence number on.
    Truncate(u64),
    /// Remove all entries; the log continues after this position.
    Reset(Position),
    /// Append an entry to the log.
    Append(Entry),
}

/// A request to send log entries to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Epoch of the request; it must be discarded in any other epoch.
    pub epoch: u64,
    /// Receiving replica.
    pub to: Replica,
    /// Position that precedes the first entry.
    pub previous: Position,
    /// Sequence number of the last entry to send; sending fewer is allowed.
    pub through: u64,
    /// Highest committed sequence number.
    pub commit: u64,
    /// Whether the log begins at `previous`, because of compaction.
    pub reset: bool,
}

/// Actions to perform after an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Changes to write to disk, in order, before any of the other actions.
    pub changes: Vec<Change>,
    /// Entries to send to other replicas.
    pub sends: Vec<Transfer>,
    /// Replica set that should replace the current one in the platform's service.
    pub swap: Option<ReplicaSet>,
}

impl Actions {
    /// Appends the actions of a later event.
    pub fn merge(&mut self, other: Actions) {
        self.changes.extend(other.changes);
        self.sends.extend(other.sends);
        self.swap = other.swap.or(self.swap.take());
    }
}
