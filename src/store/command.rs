//! Commands to the engine and its outputs.

use tokio::sync::oneshot;

use crate::error::Result;
use crate::segment::{Append, Appended, Replica, ReplicaSet, SegmentId};
use crate::wire::batch::{Operation, Reply};

/// Channel for the reply to a request.
pub type Responder = oneshot::Sender<Result<Reply>>;

/// A command to the engine.
pub enum Command {
    /// Append message from a primary; the response is sent once it is durable.
    Append(SegmentId, Append, oneshot::Sender<Appended>),
    /// A replica's response to an append message.
    Appended(SegmentId, Appended),
    /// Replica set read from the platform's service.
    Adopt(SegmentId, ReplicaSet),
    /// Live stores that may join a segment's replica set.
    SetSpares(SegmentId, Vec<Replica>),
    /// A request to a segment; if the flag is set, any member may answer a read.
    Ask(SegmentId, Operation, bool, Responder),
    /// Requests the adopted replica set of each segment.
    Sets(oneshot::Sender<Vec<ReplicaSet>>),
    /// Runs periodic work of all segments.
    Tick,
    /// Stops the engine.
    Stop,
}

/// An action that the engine requests.
#[derive(Debug)]
pub enum Output {
    /// Send entries to a replica.
    Send(SegmentId, Append),
    /// Write a replica set to the platform's service by compare-and-swap.
    Swap(SegmentId, ReplicaSet),
    /// A disk operation failed and the segments were reloaded; with the reason.
    DiskFailed(String),
}
