//! Claims on requests that must run at most once.
//!
//! A claim is committed before the request is sent, so a repetition of the
//! request through any VM finds it.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::error::Result;
use crate::id::Organisation;

/// Key of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Organisation that sent the request.
    pub organisation: Organisation,
    /// Idempotency key that the caller sent.
    pub idempotency_key: String,
    /// Digest of path and body. A different digest under the same idempotency
    /// key is a conflict.
    pub fingerprint: [u8; 32],
}

/// Stored answer of a finished request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Media type of the answer.
    pub content_type: String,
    /// Body of the answer.
    pub body: Bytes,
}

/// Result of claiming a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The request was not claimed before; it may be sent once.
    Granted,
    /// The request has run and got this answer.
    Finished(Answer),
    /// The request is claimed already; whether it has run is not known, at least
    /// not yet.
    Claimed,
}

/// Commits claims. Calls fail with `Conflict` if the fingerprint differs and
/// with `StoreUnavailable` if nothing was committed.
pub trait Claims {
    /// Claims a request.
    fn claim(&self, key: Key) -> LocalBoxFuture<'_, Result<Claim>>;

    /// Stores the answer of a granted claim.
    fn finish(&self, key: Key, answer: Answer) -> LocalBoxFuture<'_, Result<()>>;

    /// Releases a granted claim: the request was not sent and won't be.
    fn release(&self, key: Key) -> LocalBoxFuture<'_, Result<()>>;
}
