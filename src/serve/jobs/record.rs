//! What is stored of a job.

use prost::{Enumeration, Message};

use crate::error::{Error, Kind, Result};
use crate::kv::Entry;
use crate::serve::member::Member;

/// Prefix of jobs' keys.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the entries of jobs that have items left; every VM reads them all.
pub const PENDING_PREFIX: &str = "pending/";
/// Digits of a position in a key, so that keys sort by position.
const POSITION_DIGITS: usize = 5;

/// One item of a job.
#[derive(Clone, PartialEq, Message)]
pub struct Item {
    /// Its identifier.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Path at the upstream.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Its headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Its body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
    /// Prompt tokens and most output tokens together.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
}

/// One header of an item.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// What is known of a job for good.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// Organisation that submitted it.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Host that it was submitted to.
    #[prost(string, tag = "2")]
    pub host: String,
    /// When it was accepted, as a Unix time in milliseconds.
    #[prost(uint64, tag = "3")]
    pub accepted_unix_ms: u64,
    /// Number of its items.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Chunks in which its items are stored.
    #[prost(uint64, tag = "5")]
    pub chunks: u64,
    /// Path that it was submitted to.
    #[prost(string, tag = "6")]
    pub path: String,
}

/// The items of a job.
#[derive(Clone, PartialEq, Message)]
pub struct Spec {
    /// In the order in which they were submitted.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
}

impl Spec {
    /// Tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Its whole output is there.
    Completed = 0,
    /// It was given up.
    DeadLetter = 1,
}

/// A result at its position.
#[derive(Clone, PartialEq, Message)]
pub struct ItemResult {
    /// The item's identifier.
    #[prost(string, tag = "1")]
    pub item: String,
    /// How it ended.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// Data of all its events.
    #[prost(string, tag = "3")]
    pub output: String,
}

/// What an item has of attempts at a VM that left.
#[derive(Clone, PartialEq, Message)]
pub struct Partial {
    /// The item's identifier.
    #[prost(string, tag = "1")]
    pub item: String,
    /// Data of its events so far.
    #[prost(string, repeated, tag = "2")]
    pub events: Vec<String>,
    /// Identifier of the last of them.
    #[prost(uint64, optional, tag = "3")]
    pub last_event_id: Option<u64>,
    /// Times that an upstream failed it.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
}

/// What all VMs know of a job that has items left.
#[derive(Clone, PartialEq, Message)]
pub struct Pending {
    /// VM that runs it.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// Incarnation of the owner's process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Organisation that submitted it.
    #[prost(string, tag = "3")]
    pub organisation: String,
    /// Host and path prefix of its route.
    #[prost(string, tag = "4")]
    pub route: String,
    /// Tokens of its items.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
}

impl Pending {
    /// Whether it names this process of a VM as the owner.
    pub fn is_owned_by(&self, member: &Member) -> bool {
        self.owner == member.vm.as_str() && self.incarnation == member.incarnation
    }
}

/// Prefix of a job's head and results: one read shows what callers may know.
pub fn listing_prefix(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/listing/")
}

/// Key of a job's head; a job exists once it is written. It sorts before results.
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

/// Key of what an item has of earlier attempts.
pub fn partial_key(job: &str, index: usize) -> String {
    format!("{}{index:0POSITION_DIGITS$}", partials_prefix(job))
}

/// Prefix of what a job's items have of earlier attempts.
pub fn partials_prefix(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/partial/")
}

/// Key that says that a job's caller ended it.
pub fn ended_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/ended")
}

/// Key of a job's pending entry.
pub fn pending_key(job: &str) -> String {
    format!("{PENDING_PREFIX}{job}")
}

/// Reads a stored message.
pub fn decode<M>(entry: &Entry) -> Result<M>
where
    M: Message + Default,
{
    M::decode(entry.value.as_slice())
        .map_err(|error| Error::new(Kind::Invalid, format!("{}: {error}", entry.key)))
}
