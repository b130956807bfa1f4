//! Calling upstreams and giving them orders.
//!
//! A `Call` is what an upstream sees: the caller's key is never part of it.

mod http;

pub use http::Http;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::sync::mpsc;

use crate::clock::Time;
use crate::error::{Error, Kind};
use crate::id;

/// A request as an upstream sees it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier that the answer must carry back.
    pub request_id: String,
    /// Path at the upstream.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// W3C trace context to pass on.
    pub traceparent: Option<String>,
    /// Tokens that the caller already has, for a resumed stream.
    pub resume_from: u32,
}

/// What an upstream's answer brings, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Status and media type; always first.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
    },
    /// A piece of the body; for event streams, one whole event.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// Whether the upstream can have started a failed call.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent(Error),
    /// The request was sent; the upstream may have run it.
    Sent(Error),
}

impl Failure {
    /// Whether the upstream's answer broke off, as when it dies.
    pub fn is_interrupted(&self) -> bool {
        matches!(self, Failure::Sent(error) if error.kind == Kind::OutcomeUnknown)
    }
}

/// Checks that an answer names the request it is taken for; a late or crossed
/// one must be dropped together with its connection.
pub fn check_request_id(named: Option<&str>, request: &str) -> Result<(), Failure> {
    if named == Some(request) {
        return Ok(());
    }
    let error = Error::new(Kind::UpstreamFailed, "the answer belongs to another request");
    Err(Failure::Sent(error))
}

/// A running call; dropping it cancels the call at the upstream.
pub type Parts = mpsc::Receiver<Result<Part, Failure>>;

/// Sends calls to upstreams.
pub trait Client {
    /// Sends one call to one upstream, once.
    fn send(&self, upstream: &crate::view::Upstream, call: Call) -> LocalBoxFuture<'_, Parts>;
}

/// Occupancy that one upstream has, as this VM knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Which upstream.
    pub upstream: id::Upstream,
    /// Online requests that run there.
    pub online_running: u32,
    /// Online requests that wait for it.
    pub online_waiting: u32,
}
