//! Stored records of jobs, and their keys.

use prost::{Enumeration, Message};

use super::run::Progress;
use crate::error::{Error, Kind, Result};
use crate::kv::Entry;
use crate::serve::member::Member;
use crate::serve::origin::Origin;

/// Prefix of the keys of jobs.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of pending entries: one for each job with remaining items. Every VM
/// reads all of them.
pub const PENDING_PREFIX: &str = "pending/";
/// Number of digits of positions in keys, zero-padded so that keys sort by
/// position.
const POSITION_DIGITS: usize = 5;

/// One item of a job.
#[derive(Clone, PartialEq, Message)]
pub struct Item {
    /// Identifier of the item, unique within its job.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Path at the upstream that the item is sent to.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Request headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Request body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
    /// Sum of the prompt tokens and the maximum output tokens.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
}

/// One request header of an item.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Name of the header.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Immutable metadata of a job.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// Organisation that submitted the job.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Host that the job was submitted to.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub accepted_unix_ms: u64,
    /// Number of items.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Number of chunks in which the items are stored.
    #[prost(uint64, tag = "5")]
    pub chunks: u64,
    /// Path that the job was submitted to.
    #[prost(string, tag = "6")]
    pub path: String,
}

/// The items of a job.
#[derive(Clone, PartialEq, Message)]
pub struct Spec {
    /// Items in the order of submission.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
}

impl Spec {
    /// Sum of the tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).fold(0, u64::saturating_add)
    }
}

/// Final outcome of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The output is complete.
    Completed = 0,
    /// The item was abandoned without a complete output.
    DeadLetter = 1,
}

/// Stored result of an item.
#[derive(Clone, PartialEq, Message)]
pub struct ItemResult {
    /// Identifier of the item.
    #[prost(string, tag = "1")]
    pub item: String,
    /// Final outcome of the item.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// Data of all events, joined by newlines.
    #[prost(string, tag = "3")]
    pub output: String,
}

/// Partial output of an item, stored by an owner that stopped.
#[derive(Clone, PartialEq, Message)]
pub struct Partial {
    /// Identifier of the item.
    #[prost(string, tag = "1")]
    pub item: String,
    /// Data of the events received so far.
    #[prost(string, repeated, tag = "2")]
    pub events: Vec<String>,
    /// Identifier of the last event.
    #[prost(uint64, optional, tag = "3")]
    pub last_event_id: Option<u64>,
    /// Number of attempts that an upstream failed.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
    /// Service of the upstreams that the events came from.
    #[prost(string, tag = "5")]
    pub service: String,
    /// Software version of these upstreams.
    #[prost(string, tag = "6")]
    pub version: String,
}

impl Partial {
    /// The partial output of the item `item`.
    pub fn new(item: String, progress: Progress) -> Self {
        let Progress { events, last_event_id, failures, origin } = progress;
        let (service, version) = origin.map_or_else(Default::default, |origin| {
            (origin.service.to_string(), origin.version.to_string())
        });
        Self { item, events, last_event_id, failures, service, version }
    }

    /// Only the number of failed attempts.
    pub fn without_output(self) -> Self {
        Self { item: self.item, failures: self.failures, ..Self::default() }
    }
}

impl From<Partial> for Progress {
    /// Events of an unknown version are dropped, since nothing can go on from them.
    fn from(partial: Partial) -> Self {
        let Partial { events, last_event_id, failures, service, version, .. } = partial;
        if version.is_empty() {
            return Self { failures, ..Self::default() };
        }
        let origin = Origin { service: service.as_str().into(), version: version.as_str().into() };
        Self { events, last_event_id, failures, origin: Some(origin) }
    }
}

/// Pending entry of a job with remaining items, shared by all VMs.
#[derive(Clone, PartialEq, Message)]
pub struct Pending {
    /// VM that owns the job and runs its items.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// Incarnation of the owner's process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Organisation that submitted the job.
    #[prost(string, tag = "3")]
    pub organisation: String,
    /// Host and path prefix of the job's route.
    #[prost(string, tag = "4")]
    pub route: String,
    /// Sum of the tokens of all items.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
}

impl Pending {
    /// Whether the owner is this process of a VM.
    pub fn is_owned_by(&self, member: &Member) -> bool {
        self.owner == member.vm.as_str() && self.incarnation == member.incarnation
    }
}

/// Prefix of a job's head and results. One read of it returns all that callers
/// may see.
pub fn listing_prefix(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/listing/")
}

/// Key of a job's head. The job exists once this key is written; it sorts
/// before the results.
pub fn head_key(job: &str) -> String {
    format!("{}head", listing_prefix(job))
}

/// Key of a chunk of a job's spec.
pub fn spec_key(job: &str, chunk: usize) -> String {
    format!("{}{chunk:0POSITION_DIGITS$}", spec_prefix(job))
}

/// Prefix of a job's spec.
pub fn spec_prefix(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/spec/")
}

/// Key of the result at a position.
pub fn result_key(job: &str, position: usize) -> String {
    format!("{}result/{position:0POSITION_DIGITS$}", listing_prefix(job))
}

/// Key of an item's partial output.
pub fn partial_key(job: &str, index: usize) -> String {
    format!("{}{index:0POSITION_DIGITS$}", partials_prefix(job))
}

/// Prefix of the partial output of a job's items.
pub fn partials_prefix(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/partial/")
}

/// Key that marks a job as cancelled by its caller.
pub fn ended_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/ended")
}

/// Key of a job's pending entry.
pub fn pending_key(job: &str) -> String {
    format!("{PENDING_PREFIX}{job}")
}

/// Decodes a stored message.
pub fn decode<M>(entry: &Entry) -> Result<M>
where
    M: Message + Default,
{
    M::decode(entry.value.as_slice())
        .map_err(|error| Error::new(Kind::Invalid, format!("{}: {error}", entry.key)))
}
