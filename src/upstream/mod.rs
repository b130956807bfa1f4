//! Calls to upstreams.
//!
//! A `Call` holds everything that is sent to an upstream; the caller's API key is never part of it.

mod http;

pub use http::Http;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::sync::mpsc;

use crate::clock::Time;
use crate::error::{Error, Kind};
use crate::id;

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier that the answer must echo.
    pub request_id: String,
    /// Path and query at the upstream.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Request body, as received from the caller.
    pub body: Bytes,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// W3C trace context to propagate.
    pub traceparent: Option<String>,
    /// Number of tokens that the caller already has, if a stream is resumed; otherwise zero.
    pub resume_from: u32,
}

/// Parts of an upstream's answer, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Status and media type; always first.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
    },
    /// A chunk of the body; for event streams, one complete event.
    Data(Bytes),
    /// End of a complete answer.
    End,
}

/// A failed call, by whether the upstream may have started it.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent(Error),
    /// The request was sent; the upstream may have run it.
    Sent(Error),
}

impl Failure {
    /// Whether the upstream's answer was interrupted, as when the upstream crashes.
    pub fn is_interrupted(&self) -> bool {
        matches!(self, Failure::Sent(error) if error.kind == Kind::OutcomeUnknown)
    }
}

/// Checks that an answer carries the identifier of its request. A late or misdirected answer must
/// be dropped together with its connection.
pub fn check_request_id(answered_id: Option<&str>, request_id: &str) -> Result<(), Failure> {
    if answered_id == Some(request_id) {
        return Ok(());
    }
    let error = Error::new(Kind::UpstreamFailed, "the answer belongs to another request");
    Err(Failure::Sent(error))
}

/// A running call; dropping it cancels the call at the upstream.
pub type Parts = mpsc::Receiver<Result<Part, Failure>>;

/// Client for calls to upstreams.
pub trait Client {
    /// Sends a call to an upstream, without retries.
    fn send(&self, upstream: &crate::view::Upstream, call: Call) -> LocalBoxFuture<'_, Parts>;
}

/// Online load of this VM at one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Upstream that the counts refer to.
    pub upstream: id::Upstream,
    /// Number of online requests that run at the upstream.
    pub online_running: u32,
    /// Number of online requests that wait for the upstream.
    pub online_waiting: u32,
}
