//! Records of jobs and claims: the payloads of a segment's log.
//!
//! What a record means is decided when it is applied, from the records before
//! it alone, so every replica comes to the same state. Times in records are
//! milliseconds since the Unix epoch, put there by the primary.

/// A record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// The primary's time when it took the record.
    #[prost(uint64, tag = "1")]
    pub now_ms: u64,
    /// What happened.
    #[prost(oneof = "Event", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub event: Option<Event>,
}

/// What a record says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Event {
    /// Items of an upload that isn't complete yet.
    #[prost(message, tag = "2")]
    Stage(Stage),
    /// An upload is complete and becomes a job.
    #[prost(message, tag = "3")]
    Seal(Seal),
    /// A worker gets items.
    #[prost(message, tag = "4")]
    Lease(Lease),
    /// Attempts ended.
    #[prost(message, tag = "5")]
    Settle(Settle),
    /// A job is cancelled.
    #[prost(message, tag = "6")]
    Cancel(Name),
    /// Leases are void: their worker is gone.
    #[prost(message, tag = "7")]
    Expire(Expire),
    /// A job is past its deadline or retention, or an upload was given up.
    #[prost(message, tag = "8")]
    Sweep(Sweep),
    /// A request is claimed.
    #[prost(message, tag = "9")]
    Claim(Claim),
    /// A claimed request has its answer.
    #[prost(message, tag = "10")]
    Finish(Finish),
    /// A claimed request wasn't sent and won't be.
    #[prost(message, tag = "11")]
    Release(Claim),
}

/// Name of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Name {
    /// Whose job it is.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Its name.
    #[prost(string, tag = "2")]
    pub job: String,
}

/// One item as it was uploaded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Item {
    /// The caller's name for it.
    #[prost(string, tag = "1")]
    pub custom_id: String,
    /// Request body.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
}

/// Consecutive items of an upload.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Stage {
    /// Random name of the upload.
    #[prost(string, tag = "1")]
    pub upload: String,
    /// Place of the first item in the upload.
    #[prost(uint32, tag = "2")]
    pub first: u32,
    /// The items.
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<Item>,
}

/// Makes an upload a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Seal {
    /// Name of the job.
    #[prost(message, required, tag = "1")]
    pub name: Name,
    /// Which upload.
    #[prost(string, tag = "2")]
    pub upload: String,
    /// SHA-256 of path and body: another one under the same name conflicts.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// Items in the upload.
    #[prost(uint32, tag = "4")]
    pub total: u32,
    /// Path that items are sent to.
    #[prost(string, tag = "5")]
    pub path: String,
    /// What serves the items.
    #[prost(string, tag = "6")]
    pub target: String,
    /// Whether an item may be sent more than once.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// When items that aren't done yet fail.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// The organisation's share under contention.
    #[prost(uint32, tag = "9")]
    pub weight: u32,
}

/// Gives items to a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lease {
    /// The VM that will run them.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Attempts that begin; one whose item isn't free any more is skipped.
    #[prost(message, repeated, tag = "2")]
    pub attempts: Vec<Attempt>,
}

/// One attempt at one item.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Message)]
pub struct Attempt {
    /// The job: sequence number of the record that sealed it.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Place of the item in the job.
    #[prost(uint32, tag = "2")]
    pub item: u32,
    /// Number of the attempt, from one.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum AttemptOutcome {
    /// The upstream answered; this is the item's result.
    Answered = 0,
    /// The upstream was lost with the item running there.
    UpstreamLost = 1,
    /// The upstream refused or failed; another attempt may do better.
    Failed = 2,
    /// It never reached an upstream, or gave way to online work.
    NotSent = 3,
    /// It was sent and gave way to online work.
    Preempted = 4,
}

/// An ended attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Settlement {
    /// Which attempt.
    #[prost(message, required, tag = "1")]
    pub attempt: Attempt,
    /// How it ended.
    #[prost(enumeration = "AttemptOutcome", tag = "2")]
    pub outcome: i32,
    /// HTTP status of the upstream's answer.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// The upstream's answer, or why there is none.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

/// Ended attempts of one worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Settle {
    /// The attempts.
    #[prost(message, repeated, tag = "1")]
    pub settlements: Vec<Settlement>,
}

/// Voids leases.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Expire {
    /// Which leases.
    #[prost(message, repeated, tag = "1")]
    pub attempts: Vec<Attempt>,
}

/// Ends what is past its time.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sweep {
    /// Jobs past their deadline.
    #[prost(uint64, repeated, tag = "1")]
    pub overdue: Vec<u64>,
    /// Jobs past their retention.
    #[prost(uint64, repeated, tag = "2")]
    pub past_retention: Vec<u64>,
    /// Uploads that were given up.
    #[prost(string, repeated, tag = "3")]
    pub uploads: Vec<String>,
    /// Claims older than this are dropped.
    #[prost(uint64, tag = "4")]
    pub claims_before_ms: u64,
}

/// Claims a request, or takes a claim back.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Claim {
    /// Whose request it is.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "2")]
    pub idempotency_key: String,
    /// Digest of path and body.
    #[prost(bytes = "vec", tag = "3")]
    pub fingerprint: Vec<u8>,
    /// Random name of this claimant, so that its own retry is granted again.
    #[prost(string, tag = "4")]
    pub claimant: String,
}

/// Keeps the answer of a claimed request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finish {
    /// The claim.
    #[prost(message, required, tag = "1")]
    pub claim: Claim,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Media type.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

impl Record {
    /// Makes a record.
    pub fn new(now_ms: u64, event: Event) -> Self {
        Self { now_ms, event: Some(event) }
    }
}
