//! What goes into the engine and comes out of it.

use tokio::sync::oneshot;

use crate::error::Result;
use crate::segment::{Append, Appended, Replica, ReplicaSet, SegmentId};
use crate::wire::batch::{Operation, Reply};

/// Where an answer goes.
pub type Responder = oneshot::Sender<Result<Reply>>;

/// What the engine is told.
pub enum Command {
    /// Entries from a primary.
    Append(SegmentId, Append, oneshot::Sender<Appended>),
    /// A replica's answer to entries.
    Appended(SegmentId, Appended),
    /// A set stands in the platform's service.
    Adopt(SegmentId, ReplicaSet),
    /// Live stores that could join a segment.
    SetSpares(SegmentId, Vec<Replica>),
    /// Something asked of a segment; the flag lets any member answer a read.
    Ask(SegmentId, Operation, bool, Responder),
    /// Which sets the segments go by.
    Sets(oneshot::Sender<Vec<ReplicaSet>>),
    /// Time has passed.
    Tick,
    /// The process ends.
    Stop,
}

/// What the engine wants done.
#[derive(Debug)]
pub enum Output {
    /// Send entries to a replica.
    Send(SegmentId, Append),
    /// Put a set into the platform's service.
    Swap(SegmentId, ReplicaSet),
    /// The disk failed; segments were read again.
    DiskFailed(String),
}
