//! Records of jobs and claims: the payloads of a segment's log.
//!
//! The effect of a record depends only on the records before it, so every
//! replica reaches the same state. Times in records are milliseconds since
//! the Unix epoch and are set by the primary.

/// One entry of a segment's log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Wall-clock time at which the primary received the record, in
    /// milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub now_ms: u64,
    /// Change that the record makes.
    #[prost(oneof = "Event", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub event: Option<Event>,
}

/// Change to the jobs and claims of a segment.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Event {
    /// Adds items to an upload that isn't complete yet.
    #[prost(message, tag = "2")]
    Stage(Stage),
    /// Completes an upload and creates its job.
    #[prost(message, tag = "3")]
    Seal(Seal),
    /// Leases items to a worker.
    #[prost(message, tag = "4")]
    Lease(Lease),
    /// Reports ended attempts.
    #[prost(message, tag = "5")]
    Settle(Settle),
    /// Cancels a job.
    #[prost(message, tag = "6")]
    Cancel(Name),
    /// Expires leases that their worker no longer renews.
    #[prost(message, tag = "7")]
    Expire(Expire),
    /// Ends jobs past their deadline and removes jobs, uploads and claims past
    /// their retention.
    #[prost(message, tag = "8")]
    Sweep(Sweep),
    /// Claims a request.
    #[prost(message, tag = "9")]
    Claim(Claim),
    /// Stores the answer of a claimed request.
    #[prost(message, tag = "10")]
    Finish(Finish),
    /// Releases the claim of a request that was not sent and will not be.
    #[prost(message, tag = "11")]
    Release(Claim),
}

/// Name of a job, unique within its organisation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Name {
    /// Organisation that owns the job.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Name that the organisation chose for the job.
    #[prost(string, tag = "2")]
    pub job: String,
}

/// One uploaded item.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Item {
    /// Identifier that the caller chose for the item.
    #[prost(string, tag = "1")]
    pub custom_id: String,
    /// Request body, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
}

/// Consecutive items of an upload.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Stage {
    /// Random identifier of the upload.
    #[prost(string, tag = "1")]
    pub upload: String,
    /// Index of the first item within the upload.
    #[prost(uint32, tag = "2")]
    pub first: u32,
    /// The items, in upload order.
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<Item>,
}

/// Completes an upload and creates its job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Seal {
    /// Name of the job.
    #[prost(message, required, tag = "1")]
    pub name: Name,
    /// Identifier of the upload.
    #[prost(string, tag = "2")]
    pub upload: String,
    /// SHA-256 of path and body. A different digest under the same name is a
    /// conflict.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// Number of items in the upload.
    #[prost(uint32, tag = "4")]
    pub total: u32,
    /// Path at the upstream that items are sent to.
    #[prost(string, tag = "5")]
    pub path: String,
    /// Model or service that runs the items, as `model:NAME` or `service:NAME`.
    #[prost(string, tag = "6")]
    pub target: String,
    /// Whether an item may be sent more than once.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// Time at which incomplete items fail, in milliseconds since the Unix
    /// epoch.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// Weight of the organisation in fair sharing.
    #[prost(uint32, tag = "9")]
    pub weight: u32,
}

/// Leases items to a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lease {
    /// Name of the worker that will run them; it differs after each restart.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Attempts to lease; those whose item is no longer available are skipped.
    #[prost(message, repeated, tag = "2")]
    pub attempts: Vec<Attempt>,
}

/// One attempt at one item.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Attempt {
    /// Identifier of the job: sequence number of the record that created it.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Index of the item within the job.
    #[prost(uint32, tag = "2")]
    pub item: u32,
    /// Number of the attempt, from one.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum AttemptOutcome {
    /// The upstream answered; the answer is the item's result.
    Answered = 0,
    /// The upstream was lost while the item was running on it.
    UpstreamLost = 1,
    /// The upstream refused or failed the item; a retry may succeed.
    Failed = 2,
    /// The item was not sent to an upstream.
    NotSent = 3,
    /// The item was sent, then preempted by online requests.
    Preempted = 4,
}

/// Outcome of one attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Settlement {
    /// Attempt that ended.
    #[prost(message, required, tag = "1")]
    pub attempt: Attempt,
    /// How the attempt ended.
    #[prost(enumeration = "AttemptOutcome", tag = "2")]
    pub outcome: i32,
    /// HTTP status of the upstream's answer; 0 if there is none.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Body of the upstream's answer, or the reason why there is none.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

/// Reports ended attempts of one worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Settle {
    /// Outcome of each attempt.
    #[prost(message, repeated, tag = "1")]
    pub settlements: Vec<Settlement>,
}

/// Expires leases.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Expire {
    /// Attempts whose leases expired.
    #[prost(message, repeated, tag = "1")]
    pub attempts: Vec<Attempt>,
}

/// Ends jobs past their deadline and removes data past its retention.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sweep {
    /// Identifiers of running jobs past their deadline.
    #[prost(uint64, repeated, tag = "1")]
    pub overdue: Vec<u64>,
    /// Identifiers of ended jobs past their retention.
    #[prost(uint64, repeated, tag = "2")]
    pub past_retention: Vec<u64>,
    /// Identifiers of uploads that were idle for too long.
    #[prost(string, repeated, tag = "3")]
    pub uploads: Vec<String>,
    /// Claims made before this time are removed, in milliseconds since the
    /// Unix epoch; 0 removes none.
    #[prost(uint64, tag = "4")]
    pub claims_before_ms: u64,
}

/// Claims a request, or releases the claim.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// Organisation that sent the request.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "2")]
    pub idempotency_key: String,
    /// Digest of the request's path and body.
    #[prost(bytes = "vec", tag = "3")]
    pub fingerprint: Vec<u8>,
    /// Random identifier of the claimant, by which its own retry is recognized
    /// and granted again.
    #[prost(string, tag = "4")]
    pub claimant: String,
}

/// Stores the answer of a claimed request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finish {
    /// Claim that the answer belongs to.
    #[prost(message, required, tag = "1")]
    pub claim: Claim,
    /// HTTP status of the answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Media type of the answer.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Body of the answer.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

impl Record {
    /// Creates a record of an event at a time in milliseconds since the Unix
    /// epoch.
    pub fn new(now_ms: u64, event: Event) -> Self {
        Self { now_ms, event: Some(event) }
    }
}
