//! Claims on requests that must run at most once.
//!
//! A claim is committed before the request is sent, so a resend through any
//! VM meets it.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::error::Result;
use crate::id::Organisation;

/// Identifies a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Whose request it is.
    pub organisation: Organisation,
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// Digest of path and body: another one under the same key is a conflict.
    pub fingerprint: [u8; 32],
}

/// A kept answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// What a claim meets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Nobody claimed it before: the request may be sent, once.
    Granted,
    /// It ran; this was its answer.
    Finished(Answer),
    /// It was claimed; whether it ran isn't known (yet).
    Claimed,
}

/// Commits claims. `Conflict` when the fingerprint differs and
/// `StoreUnavailable` when nothing was committed.
pub trait Claims {
    /// Claims a request.
    fn claim(&self, key: Key) -> LocalBoxFuture<'_, Result<Claim>>;

    /// Keeps the answer of a granted claim.
    fn finish(&self, key: Key, answer: Answer) -> LocalBoxFuture<'_, Result<()>>;

    /// Takes a granted claim back: the request was not sent and won't be.
    fn release(&self, key: Key) -> LocalBoxFuture<'_, Result<()>>;
}
