//! Messages about segments, jobs and claims.

use crate::batch::record::{Attempt, Name, Record};
use crate::error::{Error, Kind, Result};
use crate::segment;

/// A message of this area.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What is said.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// What the message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Nothing; an answer that only confirms.
    #[prost(message, tag = "1")]
    Done(()),
    /// Asks a store for its disk's identity.
    #[prost(message, tag = "2")]
    Identify(()),
    /// A store's disk identity.
    #[prost(uint64, tag = "3")]
    Identity(u64),
    /// Entries from a primary.
    #[prost(message, tag = "4")]
    Append(Append),
    /// Answer to entries.
    #[prost(message, tag = "5")]
    Appended(Appended),
    /// Something asked of a segment.
    #[prost(message, tag = "6")]
    Request(Request),
    /// What the segment answers.
    #[prost(message, tag = "7")]
    Response(Response),
    /// Online requests wait, or no longer wait, for an upstream.
    #[prost(message, tag = "8")]
    Waiting(Waiting),
}

/// A replica of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Replica {
    /// The store.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Identity of its disk.
    #[prost(fixed64, tag = "2")]
    pub disk: u64,
}

/// A replica set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Set {
    /// Rises with each change.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The replicas, the primary first.
    #[prost(message, repeated, tag = "2")]
    pub replicas: Vec<Replica>,
}

/// An entry of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Place in the log.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Epoch of the primary that numbered it.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The record.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: bytes::Bytes,
}

/// Entries from a primary.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Append {
    /// Which segment.
    #[prost(uint32, tag = "1")]
    pub segment: u32,
    /// The primary's set.
    #[prost(message, required, tag = "2")]
    pub set: Set,
    /// For whom this is.
    #[prost(message, required, tag = "3")]
    pub to: Replica,
    /// Sequence number before the first entry.
    #[prost(uint64, tag = "4")]
    pub previous_seq: u64,
    /// Epoch of that entry.
    #[prost(uint64, tag = "5")]
    pub previous_epoch: u64,
    /// The entries.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<Entry>,
    /// Highest committed sequence number.
    #[prost(uint64, tag = "7")]
    pub commit: u64,
    /// Whether the log begins here.
    #[prost(bool, tag = "8")]
    pub reset: bool,
}

/// Answer to entries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Appended {
    /// Who answers.
    #[prost(message, required, tag = "1")]
    pub from: Replica,
    /// The set it goes by.
    #[prost(message, required, tag = "2")]
    pub set: Set,
    /// Everything up to here is equal and on disk.
    #[prost(uint64, optional, tag = "3")]
    pub matched: Option<u64>,
    /// If not matched: from where to try again.
    #[prost(uint64, tag = "4")]
    pub retry_after: u64,
}

/// Something asked of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// Which segment.
    #[prost(uint32, tag = "1")]
    pub segment: u32,
    /// Whether a member that isn't the primary may answer.
    #[prost(bool, tag = "8")]
    pub any_member: bool,
    /// What is asked.
    #[prost(oneof = "Operation", tags = "2, 3, 4, 5, 6, 7")]
    pub operation: Option<Operation>,
}

/// What is asked.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Operation {
    /// To commit a record.
    #[prost(message, tag = "2")]
    Commit(Record),
    /// For items to run.
    #[prost(message, tag = "3")]
    Lease(Lease),
    /// To keep leases, and which of them to stop.
    #[prost(message, tag = "4")]
    Renew(Renew),
    /// For a job's progress.
    #[prost(message, tag = "5")]
    Status(Name),
    /// For an organisation's jobs.
    #[prost(string, tag = "6")]
    List(String),
    /// For a page of results.
    #[prost(message, tag = "7")]
    Results(Results),
}

/// Asks for items to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lease {
    /// The VM that will run them.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// What it can run.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Most items it wants.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Number of this ask, from one, rising.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
}

/// Attempts that a worker still runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Renew {
    /// The attempts.
    #[prost(message, repeated, tag = "1")]
    pub attempts: Vec<Attempt>,
    /// Who holds them.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// No item of asks up to this number will be started any more, but for the
    /// attempts above.
    #[prost(uint64, tag = "3")]
    pub closed: u64,
}

/// Asks for a page of results.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Results {
    /// Which job.
    #[prost(message, required, tag = "1")]
    pub name: Name,
    /// Results to skip.
    #[prost(uint32, tag = "2")]
    pub after: u32,
    /// Most results wanted.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
}

/// What a segment answers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    /// The answer.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub reply: Option<Reply>,
}

/// What a segment answers.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// It holds.
    #[prost(message, tag = "1")]
    Done(()),
    /// The job exists.
    #[prost(message, tag = "2")]
    Accepted(Accepted),
    /// Items to run.
    #[prost(message, tag = "3")]
    Leased(Leased),
    /// Attempts to stop.
    #[prost(message, tag = "4")]
    Stop(Renew),
    /// Progress of a job or of several, as JSON.
    #[prost(bytes = "bytes", tag = "5")]
    Json(bytes::Bytes),
    /// Results.
    #[prost(message, tag = "6")]
    Page(Page),
    /// Nobody claimed it before.
    #[prost(message, tag = "7")]
    Granted(()),
    /// Claimed by another.
    #[prost(message, tag = "8")]
    Claimed(()),
    /// It ran; this was its answer.
    #[prost(message, tag = "9")]
    Finished(Finished),
    /// Ask this store instead; empty if none is known.
    #[prost(string, tag = "10")]
    Redirect(String),
}

/// The job exists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// Whether this request made it.
    #[prost(bool, tag = "1")]
    pub created: bool,
    /// Items in the job.
    #[prost(uint32, tag = "2")]
    pub total: u32,
}

/// Items to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leased {
    /// The items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<LeasedItem>,
}

/// An item to run once.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeasedItem {
    /// The attempt.
    #[prost(message, required, tag = "1")]
    pub attempt: Attempt,
    /// Path to send it to.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Request body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Whether it may be sent more than once.
    #[prost(bool, tag = "4")]
    pub idempotent: bool,
}

/// A page of results.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Page {
    /// JSON lines.
    #[prost(bytes = "bytes", tag = "1")]
    pub lines: bytes::Bytes,
    /// Results up to the end of this page.
    #[prost(uint32, tag = "2")]
    pub next: u32,
    /// Whether the job has no more to come.
    #[prost(bool, tag = "3")]
    pub complete: bool,
}

/// A kept answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finished {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Media type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
}

/// Online requests, as another entry VM sees them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Waiting {
    /// Its upstreams with online requests.
    #[prost(message, repeated, tag = "1")]
    pub demands: Vec<Demand>,
}

/// Online requests of one VM at one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Which upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests that wait.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Requests that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

impl Message {
    /// Wraps what is said.
    pub fn frame(body: Body) -> super::Body {
        super::Body::Batch(Message { body: Some(body) })
    }

    /// Unwraps what another process said.
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
    /// The message for an `Append` of a segment.
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
    fn from(answer: segment::Appended) -> Self {
        Self {
            from: (&answer.from).into(),
            set: (&answer.set).into(),
            matched: answer.matched,
            retry_after: answer.retry_after,
        }
    }
}

impl From<Appended> for segment::Appended {
    fn from(answer: Appended) -> Self {
        Self {
            from: answer.from.into(),
            set: answer.set.into(),
            matched: answer.matched,
            retry_after: answer.retry_after,
        }
    }
}
