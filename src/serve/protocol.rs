//! Encoding of requests and responses exchanged with callers and upstreams.
//!
//! The platform's adapter implements `Protocol`; the serving path depends only
//! on the types of this module.

use std::hash::Hasher;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use siphasher::sip::SipHasher13;

use super::jobs::{Encoder, Item, Page};
use crate::error::Result;
use crate::id::{Organisation, Upstream};

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method, as received.
    pub method: Method,
    /// Path, as received.
    pub path: String,
    /// Query without the question mark, as received.
    pub query: Option<String>,
    /// Headers, as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Request {
    /// Path and query, as received.
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

/// Values parsed from a request's headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// Identifier that the caller gave this request.
    pub request_id: Option<String>,
    /// Host, without port.
    pub host: String,
    /// Key presented by the caller.
    pub key: Option<String>,
    /// Time that the caller is willing to wait, in milliseconds.
    pub caller_timeout_ms: Option<u64>,
    /// Identifier of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Identifier of the caller's attempt that received the first event of the stream.
    pub resumes: Option<String>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Vec<Part>,
}

key! {
    /// A part of a prompt: the hash of its identifier.
    #[derive(derive_more::Display)]
    #[display("{_0:016x}")]
    pub struct Part(pub u64);
}

impl Part {
    /// The part with the identifier `id`.
    pub fn of(id: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(id.as_bytes());
        Self(hasher.finish())
    }
}

/// A request about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results from a position on.
    Results {
        /// Identifier of the job.
        job: String,
        /// Position of the first requested result.
        after: usize,
        /// Maximum time to wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item.
    Body {
        /// Identifier of the job.
        job: String,
        /// Identifier of the item.
        item: String,
    },
    /// Cancels a job.
    Cancel {
        /// Identifier of the job.
        job: String,
    },
}

/// Metadata sent with a request to an upstream.
#[derive(Clone, Debug)]
pub struct Metadata<'a> {
    /// The upstream that is to run the request; any other must refuse it.
    pub upstream: &'a Upstream,
    /// Organisation that sent the request.
    pub organisation: Option<&'a Organisation>,
    /// Time remaining until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Identifier of the last event already received, to resume after it.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's response says about a limit on its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// It names none.
    Absent,
    /// Requests per second that it takes from all VMs together.
    PerSecond(f64),
    /// It can't be read, or comes from another upstream or another time.
    Unknown,
}

/// What the head of an upstream's response says about the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Classification {
    /// Whether the upstream states that it has not run the request and won't.
    pub refused: bool,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// The limit that the upstream names.
    pub limit: Limit,
    /// Remaining cold time that the upstream states, in milliseconds; none: nothing stated.
    pub cold_left_ms: Option<u64>,
    /// Whether the response carries the identifier of this request.
    pub matches_request: bool,
    /// Whether the response is a stream of events.
    pub event_stream: bool,
}

impl Classification {
    /// A response to another request. It was written at any time before, and says nothing of
    /// this request, nor of its upstream now, but for `leaving`: who leaves never stays after all.
    pub fn of_another_request(leaving: bool) -> Self {
        Self {
            refused: false,
            leaving,
            limit: Limit::Unknown,
            cold_left_ms: None,
            matches_request: false,
            event_stream: false,
        }
    }

    /// What the response says if it came over a connection that had carried another one, `reused`.
    /// There a faulty upstream may have written it before this request: as a refusal it counts
    /// only if it names the request.
    pub fn over(self, reused: bool) -> Self {
        let is_unproven = reused && self.refused && !self.matches_request;
        if is_unproven {
            metrics::counter!("serve_refusals_unproven_total").increment(1);
        }
        Self { refused: self.refused && !is_unproven, ..self }
    }
}

/// Encoder and decoder of requests, responses and their headers.
pub trait Protocol {
    /// Parses a request's headers.
    fn head(&self, headers: &HeaderMap) -> Head;

    /// Parses a request about a job; none if the path belongs to none.
    fn job_call(&self, incoming: &Request) -> Option<Result<JobCall>>;

    /// Parses the items of a submitted job.
    fn items(&self, body: &[u8]) -> Result<Vec<Item>>;

    /// Encodes one page of results, slice by slice.
    fn results(&self, page: Page) -> Box<dyn Encoder>;

    /// Headers of a request to an upstream, without hop-by-hop headers.
    fn upstream_headers(&self, caller: &HeaderMap, metadata: &Metadata<'_>) -> HeaderMap;

    /// Headers of a request that runs an item of a batch job.
    fn item_headers(&self, host: &str, item: &Item, metadata: &Metadata<'_>) -> HeaderMap;

    /// Classifies an upstream's response to the request with identifier `request_id`.
    fn classify(&self, status: StatusCode, headers: &HeaderMap, request_id: &str)
    -> Classification;

    /// Headers of an upstream's response that are forwarded to the caller.
    fn caller_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Headers of a response that this VM generates itself, with the request's identifier.
    fn own_headers(&self, request_id: Option<&str>) -> HeaderMap;

    /// Encodes the response to a request for addresses.
    fn addresses(&self, addresses: &[SocketAddr], lifetime_ms: u64) -> Bytes;

    /// Path of requests for addresses.
    fn addresses_path(&self) -> &'static str;

    /// Path of the readiness check.
    fn readiness_path(&self) -> &'static str;
}
