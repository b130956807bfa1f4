//! Datagrams between entry VMs: load, rate-limit tokens, jobs and crashes.
//!
//! A datagram may be lost, duplicated or delayed, so nothing depends on the
//! arrival of a single one. A load report replaces the previous one of the same
//! VM, and a token that is lost on the way is never used.

use prost::{Message, Oneof};

use super::crash::Report;
use super::jobs::Pending;
use super::origin::Record;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// Name of the sending VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the sending process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The message.
    #[prost(oneof = "Content", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub content: Option<Content>,
}

/// The message of a datagram.
#[derive(Clone, PartialEq, Oneof)]
pub enum Content {
    /// Load report of the sender.
    #[prost(message, tag = "3")]
    Load(Load),
    /// Request for a rate-limit token.
    #[prost(message, tag = "4")]
    TokenRequest(TokenRequest),
    /// Response to a `TokenRequest` or a `SendRequest`.
    #[prost(message, tag = "5")]
    Grant(Grant),
    /// A job was cancelled by another VM: its owner stops running it.
    #[prost(message, tag = "6")]
    Changed(Changed),
    /// Announces a job that the sender has accepted.
    #[prost(message, tag = "7")]
    Opened(Opened),
    /// What the sender knows about crashes.
    #[prost(message, tag = "8")]
    Crashes(Report),
    /// Origins of streams.
    #[prost(message, tag = "9")]
    Origins(Origins),
    /// Request for the origin of a stream.
    #[prost(message, tag = "10")]
    OriginRequest(OriginRequest),
    /// Response to an `OriginRequest`.
    #[prost(message, tag = "11")]
    OriginReply(OriginReply),
    /// Request to grant a send to an upstream that has named a limit.
    #[prost(message, tag = "12")]
    SendRequest(SendRequest),
    /// Request to let go of the bucket of a rate limit.
    #[prost(message, tag = "13")]
    ReleaseRequest(ReleaseRequest),
    /// A bucket that the sender let go of in favour of the receiver.
    #[prost(message, tag = "14")]
    Release(Release),
    /// Sends that the sender has granted.
    #[prost(message, tag = "15")]
    Granted(Granted),
}

/// Load report: the sender's running requests at all upstreams where it has any.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Sequence number, increasing within an incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// One row per upstream.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
    /// Whether the sender accepts callers.
    #[prost(bool, tag = "3")]
    pub serving: bool,
    /// Whether the sender has recently read the store.
    #[prost(bool, tag = "4")]
    pub store_reachable: bool,
    /// Whether batch items wait for a slot on the sender.
    #[prost(bool, tag = "5")]
    pub items_waiting: bool,
    /// Numbers of the upstreams that the sender has ejected after failures.
    #[prost(fixed32, repeated, tag = "6")]
    pub ejected: Vec<u32>,
    /// Number of the waiting items that can still end in time.
    #[prost(uint32, tag = "7")]
    pub items_in_time: u32,
    /// Processes of upstreams that lately told the sender that they leave.
    #[prost(message, repeated, tag = "8")]
    pub leaving: Vec<Leaving>,
    /// Processes of upstreams that lately told the sender of their limits, or that it
    /// granted requests for.
    #[prost(message, repeated, tag = "9")]
    pub limited: Vec<Limited>,
    /// Whether the sender is cut off from the upstreams.
    #[prost(bool, tag = "10")]
    pub cut_off: bool,
    /// What the sender knows of cold upstreams.
    #[prost(message, repeated, tag = "11")]
    pub cold: Vec<Cold>,
    /// Data centres that are evacuated.
    #[prost(message, repeated, tag = "12")]
    pub evacuated: Vec<Evacuated>,
    /// Number of the sender's online requests that were denied for lack of grants within the
    /// last second.
    #[prost(uint32, tag = "13")]
    pub online_denied: u32,
    /// Jobs that callers lately cancelled.
    #[prost(string, repeated, tag = "15")]
    pub ended: Vec<String>,
}

/// An upstream that is or was cold.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Cold {
    /// Number of the upstream, as given by `upstream::number`.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Start time of the process, as a Unix time in milliseconds.
    #[prost(fixed64, tag = "2")]
    pub started_unix_ms: u64,
    /// Remaining cold time, in milliseconds; 0: it is warm.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// Time since this was known to be true, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Revision of the entry that states it; 0: not an entry.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// An evacuated data centre.
#[derive(Clone, PartialEq, Message)]
pub struct Evacuated {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Time since the store held the evacuation by the sender's knowledge, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// A process of an upstream that has named a limit, now or before.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Limited {
    /// Number of the upstream, as given by `upstream::number`.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Start time of the process, as a Unix time in milliseconds.
    #[prost(fixed64, tag = "2")]
    pub started_unix_ms: u64,
    /// Its limit, in requests per second; none if its last answer named none.
    #[prost(double, optional, tag = "3")]
    pub per_s: Option<f64>,
    /// Time since that answer, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Requests that the sender's process has granted, modulo 2^32.
    #[prost(uint32, tag = "5")]
    pub granted: u32,
}

/// A process of an upstream that leaves.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Leaving {
    /// Number of the upstream, as given by `upstream::number`.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Start time of the process, as a Unix time in milliseconds.
    #[prost(fixed64, tag = "2")]
    pub started_unix_ms: u64,
    /// Time since it said so, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Requests running at one upstream.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Row {
    /// Number of the upstream, as given by `upstream::number`.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Number of online requests.
    #[prost(uint32, tag = "2")]
    pub online: u32,
    /// Number of batch items.
    #[prost(uint32, tag = "3")]
    pub batch: u32,
}

/// Requests one token of an organisation from the holder of its bucket.
#[derive(Clone, PartialEq, Message)]
pub struct TokenRequest {
    /// Random identifier that the response repeats.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Name of the organisation.
    #[prost(string, tag = "2")]
    pub organisation: String,
    /// Whether the token is to come from the reserve that the receiver keeps as a deputy.
    #[prost(bool, tag = "3")]
    pub reserve: bool,
    /// What it is for, if it is to come from the reserve.
    #[prost(enumeration = "Claim", tag = "4")]
    pub claim: i32,
}

/// What a token of a reserve is for (`reserve::Claim`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Claim {
    /// A new request that the holder refuses.
    Limit = 0,
    /// A new request that may use the tolerance.
    Tolerance = 1,
    /// A stream that is taken up.
    Resumption = 2,
}

/// Requests that the receiver lets go of an organisation's bucket in favour of the sender.
#[derive(Clone, PartialEq, Message)]
pub struct ReleaseRequest {
    /// Name of the organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Random number that the answer repeats.
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
}

/// An organisation's bucket that the sender grants from no more.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Name of the organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Tokens that are left in the bucket.
    #[prost(double, tag = "2")]
    pub tokens: f64,
    /// Nonce of the request; 0: the sender stops.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
}

/// Requests to grant one send to an upstream that has named a limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SendRequest {
    /// Random identifier that the response repeats.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The upstream's process, with what the sender knows of its limit.
    #[prost(message, optional, tag = "2")]
    pub limited: Option<Limited>,
    /// Whether it is for an item of a batch job.
    #[prost(bool, tag = "3")]
    pub batch: bool,
    /// What the sender knows of the upstream's cold time, if its quota is granted.
    #[prost(message, optional, tag = "4")]
    pub cold: Option<Cold>,
}

/// The response to a `TokenRequest` or a `SendRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// Identifier of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Whether the token was granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Whether the sender is not the holder of the bucket.
    #[prost(bool, tag = "3")]
    pub not_holder: bool,
    /// Time until the next one is expected, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// Name of the VM that is to be asked instead; empty if the sender knows none.
    #[prost(string, tag = "5")]
    pub holder: String,
    /// Whether the deputies' reserve may be asked, though the sender holds the bucket.
    #[prost(bool, tag = "6")]
    pub short: bool,
}

/// Sends that the sender has granted, told to the VM that grants next.
#[derive(Clone, PartialEq, Message)]
pub struct Granted {
    /// One row per process.
    #[prost(message, repeated, tag = "1")]
    pub limited: Vec<Limited>,
}

/// Notifies the owner of a job that another VM has cancelled it.
#[derive(Clone, PartialEq, Message)]
pub struct Changed {
    /// Identifier of the job.
    #[prost(string, tag = "1")]
    pub job: String,
}

/// Announces an accepted job.
#[derive(Clone, PartialEq, Message)]
pub struct Opened {
    /// Identifier of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// The job's pending entry in the store.
    #[prost(message, optional, tag = "2")]
    pub pending: Option<Pending>,
}

/// Origins of streams, for VMs that keep copies.
#[derive(Clone, PartialEq, Message)]
pub struct Origins {
    /// One row per stream.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
}

/// Requests the origin of a stream.
#[derive(Clone, PartialEq, Message)]
pub struct OriginRequest {
    /// Random identifier that the response repeats.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Hash that identifies the stream.
    #[prost(fixed64, tag = "2")]
    pub stream: u64,
    /// Service that the stream was sent to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Maximum time of one of its attempts, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub attempt_ms: u64,
}

/// The response to an `OriginRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct OriginReply {
    /// Identifier of the request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// What the sender knows of the stream; none if nothing.
    #[prost(message, optional, tag = "2")]
    pub record: Option<Record>,
    /// The only version that the sender has seen in the service for as long as a
    /// stream may last; empty if there were several or it hasn't watched for so long.
    #[prost(string, tag = "3")]
    pub only_version: String,
}
