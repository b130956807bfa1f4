//! Messages about segments, jobs and claims.

use crate::batch::record::{Attempt, Name, Record};
use crate::error::{Error, Kind, Result};
use crate::segment;

/// A message about segments, jobs or claims.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// Payload of a batch message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Acknowledgement without data.
    #[prost(message, tag = "1")]
    Done(()),
    /// Request for the identity of a store's disk.
    #[prost(message, tag = "2")]
    Identify(()),
    /// Identity of a store's disk.
    #[prost(uint64, tag = "3")]
    Identity(u64),
    /// Replication of log entries from a primary.
    #[prost(message, tag = "4")]
    Append(Append),
    /// Response to `Append`.
    #[prost(message, tag = "5")]
    Appended(Appended),
    /// Operation on a segment.
    #[prost(message, tag = "6")]
    Request(Request),
    /// Response of a segment.
    #[prost(message, tag = "7")]
    Response(Response),
    /// Online demand of the sending entry VM, for preempting batch items.
    #[prost(message, tag = "8")]
    Waiting(Waiting),
}

/// A replica of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Replica {
    /// VM of the store.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Identity of the store's disk.
    #[prost(fixed64, tag = "2")]
    pub disk: u64,
}

/// Replica set of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Set {
    /// Epoch, incremented with each change of the set.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Replicas, the primary first.
    #[prost(message, repeated, tag = "2")]
    pub replicas: Vec<Replica>,
}

/// An entry of a segment's log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Sequence number in the log.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Epoch of the primary that assigned the sequence number.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Encoded record.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: bytes::Bytes,
}

/// Replication of log entries from a primary.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Append {
    /// Segment number.
    #[prost(uint32, tag = "1")]
    pub segment: u32,
    /// Replica set of the primary.
    #[prost(message, required, tag = "2")]
    pub set: Set,
    /// Replica that is to append the entries.
    #[prost(message, required, tag = "3")]
    pub to: Replica,
    /// Sequence number of the entry before `entries`.
    #[prost(uint64, tag = "4")]
    pub previous_seq: u64,
    /// Epoch of the entry before `entries`.
    #[prost(uint64, tag = "5")]
    pub previous_epoch: u64,
    /// Entries to append.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<Entry>,
    /// Highest committed sequence number.
    #[prost(uint64, tag = "7")]
    pub commit: u64,
    /// Whether the primary's log begins at these entries, so that a replica that
    /// lacks earlier ones starts over from here.
    #[prost(bool, tag = "8")]
    pub reset: bool,
}

/// Response to `Append`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Appended {
    /// Replica that responds.
    #[prost(message, required, tag = "1")]
    pub from: Replica,
    /// Replica set adopted by the responding replica.
    #[prost(message, required, tag = "2")]
    pub set: Set,
    /// Sequence number up to which the logs match and are on disk.
    #[prost(uint64, optional, tag = "3")]
    pub matched: Option<u64>,
    /// Sequence number after which to retry if the logs don't match.
    #[prost(uint64, tag = "4")]
    pub retry_after: u64,
}

/// Operation on a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// Segment number.
    #[prost(uint32, tag = "1")]
    pub segment: u32,
    /// Whether a replica other than the primary may respond.
    #[prost(bool, tag = "8")]
    pub any_member: bool,
    /// Operation.
    #[prost(oneof = "Operation", tags = "2, 3, 4, 5, 6, 7")]
    pub operation: Option<Operation>,
}

/// Operation on a segment.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Operation {
    /// Commit a record.
    #[prost(message, tag = "2")]
    Commit(Record),
    /// Lease items to run.
    #[prost(message, tag = "3")]
    Lease(Lease),
    /// Renew leases; the response lists the attempts to stop.
    #[prost(message, tag = "4")]
    Renew(Renew),
    /// Read a job's progress.
    #[prost(message, tag = "5")]
    Status(Name),
    /// List an organisation's jobs.
    #[prost(string, tag = "6")]
    List(String),
    /// Read a page of results.
    #[prost(message, tag = "7")]
    Results(Results),
}

/// Request to lease items.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lease {
    /// Name of the worker that will run the items; it differs after each restart.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Target that the worker can send items to.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Maximum number of items.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Number of this request, ascending from one.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
}

/// Renewal of a worker's leases; in a `Reply`, the attempts that it must stop.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Renew {
    /// Attempts that are running or whose outcome isn't committed yet.
    #[prost(message, repeated, tag = "1")]
    pub attempts: Vec<Attempt>,
    /// Name of the worker that holds the leases.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// Lease requests up to this number are closed: none of their items will be
    /// started any more, except those in `attempts`.
    #[prost(uint64, tag = "3")]
    pub closed: u64,
}

/// Request for a page of results.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Results {
    /// Name of the job.
    #[prost(message, required, tag = "1")]
    pub name: Name,
    /// Number of results to skip.
    #[prost(uint32, tag = "2")]
    pub after: u32,
    /// Maximum number of results.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
}

/// Response of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    /// Reply to the operation.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub reply: Option<Reply>,
}

/// Reply to an `Operation`.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// The operation has been applied.
    #[prost(message, tag = "1")]
    Done(()),
    /// The job has been accepted, now or before.
    #[prost(message, tag = "2")]
    Accepted(Accepted),
    /// Leased items.
    #[prost(message, tag = "3")]
    Leased(Leased),
    /// Attempts to stop.
    #[prost(message, tag = "4")]
    Stop(Renew),
    /// Progress of a job or of several, as JSON.
    #[prost(bytes = "bytes", tag = "5")]
    Json(bytes::Bytes),
    /// A page of results.
    #[prost(message, tag = "6")]
    Page(Page),
    /// The claim is granted: no other claimant holds it.
    #[prost(message, tag = "7")]
    Granted(()),
    /// Another request holds the claim.
    #[prost(message, tag = "8")]
    Claimed(()),
    /// The claimed request has finished; its stored response.
    #[prost(message, tag = "9")]
    Finished(Finished),
    /// Name of the store to call instead; empty if none is known.
    #[prost(string, tag = "10")]
    Redirect(String),
}

/// Confirms that a job has been accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// Whether this request created the job.
    #[prost(bool, tag = "1")]
    pub created: bool,
    /// Number of items in the job.
    #[prost(uint32, tag = "2")]
    pub total: u32,
}

/// Leased items.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leased {
    /// Items to run.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<LeasedItem>,
}

/// An item leased for one attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeasedItem {
    /// Attempt that the lease is for.
    #[prost(message, required, tag = "1")]
    pub attempt: Attempt,
    /// Request path.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Request body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Whether the request may be sent more than once.
    #[prost(bool, tag = "4")]
    pub idempotent: bool,
}

/// A page of results.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Page {
    /// Results as JSON lines.
    #[prost(bytes = "bytes", tag = "1")]
    pub lines: bytes::Bytes,
    /// Number of results up to the end of this page.
    #[prost(uint32, tag = "2")]
    pub next: u32,
    /// Whether the job has no further results.
    #[prost(bool, tag = "3")]
    pub complete: bool,
}

/// A stored response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finished {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Media type of the body.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Response body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
}

/// Online demand of an entry VM, sent to other entry VMs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Waiting {
    /// Demand by upstream, for upstreams with online requests.
    #[prost(message, repeated, tag = "1")]
    pub demands: Vec<Demand>,
}

/// Online demand of one VM for one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of waiting requests.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Number of running requests.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

impl Message {
    /// Wraps a payload in a frame body.
    pub fn frame(body: Body) -> super::Body {
        super::Body::Batch(Message { body: Some(body) })
    }

    /// Extracts the payload of a frame body.
    pub fn unframe(body: super::Body) -> Result<Body> {
        match body {
            super::Body::Batch(Message { body: Some(body) }) => Ok(body),
            _ => Err(Error::new(Kind::Peer, "not a message about batches")),
        }
    }
}

impl From<&segment::Replica> for Replica {
    fn from(replica: &segment::Replica) -> Self {
        Self { vm: replica.vm.as_str().into(), disk: replica.disk }
    }
}

impl From<Replica> for segment::Replica {
    fn from(replica: Replica) -> Self {
        Self { vm: replica.vm.into(), disk: replica.disk }
    }
}

impl From<&segment::ReplicaSet> for Set {
    fn from(set: &segment::ReplicaSet) -> Self {
        Self { epoch: set.epoch, replicas: set.replicas.iter().map(Replica::from).collect() }
    }
}

impl From<Set> for segment::ReplicaSet {
    fn from(set: Set) -> Self {
        let replicas = set.replicas.into_iter().map(segment::Replica::from).collect();
        Self { epoch: set.epoch, replicas }
    }
}

impl From<segment::Entry> for Entry {
    fn from(entry: segment::Entry) -> Self {
        Self { seq: entry.position.seq, epoch: entry.position.epoch, payload: entry.payload }
    }
}

impl From<Entry> for segment::Entry {
    fn from(entry: Entry) -> Self {
        let position = segment::Position { seq: entry.seq, epoch: entry.epoch };
        Self { position, payload: entry.payload }
    }
}

impl Append {
    /// Builds the message for an append to `segment`.
    pub fn new(segment: segment::SegmentId, append: segment::Append) -> Self {
        Self {
            segment: segment.0,
            set: (&append.set).into(),
            to: (&append.to).into(),
            previous_seq: append.previous.seq,
            previous_epoch: append.previous.epoch,
            entries: append.entries.into_iter().map(Entry::from).collect(),
            commit: append.commit,
            reset: append.reset,
        }
    }
}

impl From<Append> for segment::Append {
    fn from(append: Append) -> Self {
        Self {
            set: append.set.into(),
            to: append.to.into(),
            previous: segment::Position { seq: append.previous_seq, epoch: append.previous_epoch },
            entries: append.entries.into_iter().map(segment::Entry::from).collect(),
            commit: append.commit,
            reset: append.reset,
        }
    }
}

impl From<segment::Appended> for Appended {
    fn from(appended: segment::Appended) -> Self {
        Self {
            from: (&appended.from).into(),
            set: (&appended.set).into(),
            matched: appended.matched,
            retry_after: appended.retry_after,
        }
    }
}

impl From<Appended> for segment::Appended {
    fn from(appended: Appended) -> Self {
        Self {
            from: appended.from.into(),
            set: appended.set.into(),
            matched: appended.matched,
            retry_after: appended.retry_after,
        }
    }
}
