//! The envelope of every message.

use super::{batch, config, limits, member, online};
use crate::error::{Error, Kind};

/// One message on a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of the call; the answer repeats it.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Whether this answers a call.
    #[prost(bool, tag = "2")]
    pub answer: bool,
    /// What is said.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Opens a connection.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Proves knowledge of the fleet secret.
    #[prost(message, tag = "4")]
    Proof(Proof),
    /// The call failed.
    #[prost(message, tag = "5")]
    Fault(Fault),
    /// Membership and gossip.
    #[prost(message, tag = "6")]
    Member(member::Message),
    /// Configuration spread.
    #[prost(message, tag = "7")]
    Config(config::Message),
    /// Rates, shares and capacity.
    #[prost(message, tag = "8")]
    Limits(limits::Message),
    /// Online requests: suspects, quarantine, upstream state.
    #[prost(message, tag = "9")]
    Online(online::Message),
    /// Segments, jobs and claims.
    #[prost(message, tag = "10")]
    Batch(batch::Message),
}

/// Opens a connection: who speaks, and a nonce for the other side to sign.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the speaking VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Fresh random bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
}

/// Keyed digest over the other side's nonce and the own name.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
    /// HMAC-SHA-256 under the fleet secret.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}

/// A failed call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fault {
    /// Code of the error kind.
    #[prost(string, tag = "1")]
    pub code: String,
    /// What happened.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// Milliseconds until a new try makes sense.
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
