//! HTTP/1.1 calls to servers that may misbehave.
//!
//! Built on `hyper`'s connections: `awc` reports no error when the connection
//! breaks within a chunked body, so a truncated stream would look complete.
//! A connection carries one request at a time and is reused only after a
//! complete response. Dropping a call in progress closes its connection, which
//! cancels the call. Every read has a bound in bytes and a stored deadline (`bound`). Every failure tells whether any byte of the request may
//! have been sent.

pub mod bound;
mod connection;
mod connector;
mod metered;
mod pool;

use bound::Passed;

pub(crate) use connector::configure;
pub use connector::{Connector, Direct, Opened, Stream};
pub use pool::{Body, Due, Pool, Probe, Response};

/// Failure of a call, by whether the server may have received the request.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Failure {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The connection was opened after the time until which the request might be sent.
    #[display("not sent: its time was over")]
    Late,
    /// The request was sent, at least in part.
    #[display("sent: {_0}")]
    Sent(String),
    /// The request was sent, and its answer passed a bound.
    #[display("sent: {_0}")]
    Unbounded(Passed),
}
