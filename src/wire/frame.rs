//! Envelope of all peer messages.

use super::{batch, config, limits, member, online};
use crate::error::{Error, Kind};

/// A call or a response on a peer connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of the call, repeated in its response.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Whether this is a response.
    #[prost(bool, tag = "2")]
    pub answer: bool,
    /// Payload.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// Payload of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message on a connection.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Proof of the fleet secret.
    #[prost(message, tag = "4")]
    Proof(Proof),
    /// Error response.
    #[prost(message, tag = "5")]
    Fault(Fault),
    /// Membership.
    #[prost(message, tag = "6")]
    Member(member::Message),
    /// Configuration replication.
    #[prost(message, tag = "7")]
    Config(config::Message),
    /// Rates, shares and capacity.
    #[prost(message, tag = "8")]
    Limits(limits::Message),
    /// Crash suspects and quarantine of online requests.
    #[prost(message, tag = "9")]
    Online(online::Message),
    /// Segments, jobs and claims.
    #[prost(message, tag = "10")]
    Batch(batch::Message),
}

/// First message on a connection: the sender's name and a nonce for the other side to sign.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the sending VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Random bytes, new for each connection.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
}

/// Keyed digest of the sender's side, the receiver's nonce and the sender's name.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
    /// HMAC-SHA-256 with the fleet secret as key.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}

/// Error response to a call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fault {
    /// Code of the error's kind.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Error detail.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// Recommended delay before a retry, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
}

impl From<&Error> for Fault {
    fn from(error: &Error) -> Self {
        Self {
            code: error.answer().code.into(),
            detail: error.detail.clone(),
            retry_after_ms: error.retry_after.map(|span| span.as_millis() as u64),
        }
    }
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Self {
        let kind = Kind::from_code(&fault.code).unwrap_or(Kind::Peer);
        let mut error = Error::new(kind, fault.detail);
        error.retry_after = fault.retry_after_ms.map(std::time::Duration::from_millis);
        error
    }
}
