//! How callers and upstreams spell what the serving path decides about.
//!
//! The platform's adapter implements `Dialect`; the serving path sees only the
//! types of this module.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use super::jobs::{Item, ItemResult};
use crate::error::Result;
use crate::id::{Organisation, Upstream};

/// A caller's request as it arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path, as sent.
    pub path: String,
    /// Query, as sent.
    pub query: Option<String>,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    /// Path and query, as sent.
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

/// What a request's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's identifier of this attempt.
    pub request_id: Option<String>,
    /// Host without port.
    pub host: String,
    /// Key that the caller showed.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub caller_timeout_ms: Option<u64>,
    /// Last event that the caller already has.
    pub last_event: Option<u64>,
}

/// A call about jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Read results from a position on.
    Results {
        /// Which job.
        job: String,
        /// First position wanted.
        after: usize,
        /// How long the caller may be kept waiting for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Read the body of an item.
    Body {
        /// Which job.
        job: String,
        /// Which item.
        item: String,
    },
    /// End a job.
    Cancel {
        /// Which job.
        job: String,
    },
}

/// What is sent with a request to an upstream.
#[derive(Clone, Debug)]
pub struct Metadata<'a> {
    /// The upstream that must run it.
    pub upstream: &'a Upstream,
    /// Organisation on whose behalf it runs.
    pub organisation: Option<&'a Organisation>,
    /// Time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Last event that is already there.
    pub last_event: Option<u64>,
}

/// What an upstream's answer says about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// Whether the upstream says that it hasn't run the request and won't.
    pub refused: bool,
    /// Whether the answer names this request.
    pub matches_request: bool,
    /// Whether the answer is a stream of events.
    pub event_stream: bool,
}

/// Spelling of calls and headers.
pub trait Protocol {
    /// Reads a request's headers.
    fn head(&self, headers: &HeaderMap) -> Head;

    /// Reads a call about jobs, if the path belongs to one.
    fn job_call(&self, incoming: &Request) -> Option<Result<JobCall>>;

    /// Reads the items of a submitted job.
    fn items(&self, body: &[u8]) -> Result<Vec<Item>>;

    /// Writes one page of results; `next` is the position after the last.
    fn results(&self, total: usize, next: usize, results: &[Rc<ItemResult>]) -> Bytes;

    /// Headers of a request to an upstream, without those of one connection.
    fn upstream_headers(&self, caller: &HeaderMap, metadata: &Metadata<'_>) -> HeaderMap;

    /// Headers of an item of a batch job.
    fn item_headers(&self, host: &str, item: &Item, metadata: &Metadata<'_>) -> HeaderMap;

    /// Reads an upstream's answer to the request named `request`.
    fn classify(&self, status: StatusCode, headers: &HeaderMap, request: &str) -> Classification;

    /// Headers of an upstream's answer that are passed on to the caller.
    fn caller_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Headers of an answer of our own.
    fn own_headers(&self, request: Option<&str>) -> HeaderMap;

    /// Writes the answer to a query for addresses.
    fn addresses(&self, addresses: &[SocketAddr], lifetime_ms: u64) -> Bytes;

    /// Path that callers ask for addresses.
    fn addresses_path(&self) -> &'static str;

    /// Path of the readiness check.
    fn readiness_path(&self) -> &'static str;
}
