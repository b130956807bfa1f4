//! Datagrams between entry VMs: load, and tokens of organisations.
//!
//! A datagram may be lost, doubled or late; nothing here depends on one. Load
//! replaces what the same VM said before, and a lost token is never used.

use prost::{Message, Oneof};

use super::crash::Crash;
use super::jobs::Pending;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// VM that sends it.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of its process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// What it says.
    #[prost(oneof = "Content", tags = "3, 4, 5, 6, 7, 8")]
    pub content: Option<Content>,
}

/// What a datagram says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Content {
    /// The sender's requests at each upstream.
    #[prost(message, tag = "3")]
    Load(Load),
    /// A token is wanted.
    #[prost(message, tag = "4")]
    TokenRequest(TokenRequest),
    /// The answer to `Ask`.
    #[prost(message, tag = "5")]
    Grant(Grant),
    /// A job has ended or changed hands: its owner should read it again.
    #[prost(message, tag = "6")]
    Changed(Changed),
    /// The sender has accepted a job.
    #[prost(message, tag = "7")]
    Opened(Opened),
    /// Crashes that the sender saw.
    #[prost(message, tag = "8")]
    Crashes(Crashes),
}

/// The sender's requests at all upstreams where it has any.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Rises with each message of an incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// One row for each upstream.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
    /// Whether the sender takes callers.
    #[prost(bool, tag = "3")]
    pub serving: bool,
    /// Whether the store answered the sender lately.
    #[prost(bool, tag = "4")]
    pub store_reachable: bool,
    /// Whether items of jobs wait at the sender for a slot.
    #[prost(bool, tag = "5")]
    pub items_waiting: bool,
    /// Numbers of upstreams that failed at the sender and get no requests.
    #[prost(fixed32, repeated, tag = "6")]
    pub ejected: Vec<u32>,
}

/// Requests at one upstream.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Row {
    /// Number of the upstream.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Online requests.
    #[prost(uint32, tag = "2")]
    pub online: u32,
    /// Items of batch jobs.
    #[prost(uint32, tag = "3")]
    pub batch: u32,
}

/// A token of an organisation is wanted.
#[derive(Clone, PartialEq, Message)]
pub struct TokenRequest {
    /// Number that the answer carries back.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Which organisation.
    #[prost(string, tag = "2")]
    pub organisation: String,
}

/// The answer to `Ask`.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Whether a token was granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Whether the sender doesn't hold the bucket.
    #[prost(bool, tag = "3")]
    pub not_holder: bool,
    /// Wait until a token is expected, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
}

/// A job's shared entry has changed.
#[derive(Clone, PartialEq, Message)]
pub struct Changed {
    /// Which job.
    #[prost(string, tag = "1")]
    pub job: String,
}

/// A job was accepted.
#[derive(Clone, PartialEq, Message)]
pub struct Opened {
    /// Which job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// What its shared entry says.
    #[prost(message, optional, tag = "2")]
    pub pending: Option<Pending>,
}

/// Requests that may have crashed upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct Crashes {
    /// One row for each crash.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<Crash>,
}
