//! HTTP/1.1 calls to servers that may misbehave.
//!
//! Built on `hyper`'s connections, since `awc` ends a chunked body silently
//! when its connection breaks and a stream that was cut would look complete.
//! A connection serves one request at a time. It is used again only after a
//! whole answer; dropping a running call closes it, which cancels the call.
//! Every failure says whether any byte of the request may have been sent.

mod connection;
mod pool;

pub use pool::{Body, Pool, Response};

/// Whether the server can have seen a failed call.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request was sent, at least in part.
    #[display("sent: {_0}")]
    Sent(String),
}
