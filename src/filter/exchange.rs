//! State of a request in the filter chain.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::Stream;

use super::send::{Dispatch, InFlight};
use super::{Prompt, Request};
use crate::admission::Permit;
use crate::claim::{self, Answer};
use crate::clock::Time;
use crate::config::resource::{Route, Serves};
use crate::error::{Error, Kind, Result};
use crate::id::Organisation;
use crate::route::{Fingerprint, Guard};
use crate::upstream::Parts;
use crate::view::{Digest, View};

/// Reply to the caller.
pub enum Reply {
    /// A complete answer.
    Whole(Answer),
    /// An event stream, produced incrementally.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes>>>>),
}

/// Permission to run a request at an upstream.
pub struct Slot {
    /// Slot at the upstream, held until the answer is complete.
    pub permit: Permit,
    /// Quarantine guard, for a request that might crash upstreams.
    pub guard: Guard,
}

/// A running attempt at an upstream.
pub struct Attempt {
    /// Slot that the attempt uses.
    pub slot: Slot,
    /// Counts the attempt as in flight at its upstream.
    pub in_flight: InFlight,
    /// Request identifier of this attempt, which the answer must carry.
    pub request_id: String,
    /// HTTP status of the answer.
    pub status: u16,
    /// Media type of the answer.
    pub content_type: String,
    /// Remaining parts of the answer.
    pub parts: Parts,
}

impl Attempt {
    /// Cancels the attempt at its upstream and returns the slot.
    pub fn cancel(self) -> Slot {
        self.slot
    }
}

/// State of a request, which the filters read and extend.
pub struct Exchange {
    /// Request as received.
    pub request: Request,
    /// Configuration that applies to the request.
    pub view: Arc<View>,
    /// Request identifier that the caller sees.
    pub request_id: String,
    /// W3C trace context to propagate.
    pub traceparent: Option<String>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Time at which the caller stops waiting, from its header or the route's timeout.
    pub deadline: Option<Time>,
    /// API key that the caller sent.
    pub key: Option<String>,
    /// Digest of the API key.
    pub digest: Option<Digest>,
    /// Organisation that the API key belongs to.
    pub organisation: Option<Organisation>,
    /// Route that matches the request.
    pub route: Option<Route>,
    /// Fingerprint that identifies the request in the quarantine.
    pub fingerprint: Option<Fingerprint>,
    /// Model or service that must serve the request.
    pub target: Option<Serves>,
    /// Parsed body of a request to an engine.
    pub prompt: Option<Prompt>,
    /// Claim that was granted to the request.
    pub claim: Option<claim::Key>,
    /// Slot that was granted to the request.
    pub slot: Option<Slot>,
    /// Attempt whose answer is being received.
    pub attempt: Option<Attempt>,
    /// State for sending and retrying the request.
    pub dispatch: Option<Dispatch>,
    /// Reply to the caller.
    pub reply: Option<Reply>,
}

impl Exchange {
    /// Creates the state of a request that no filter has processed.
    pub fn new(request: Request, view: Arc<View>) -> Self {
        Self {
            request,
            view,
            request_id: String::new(),
            traceparent: None,
            idempotency_key: None,
            deadline: None,
            key: None,
            digest: None,
            organisation: None,
            route: None,
            fingerprint: None,
            target: None,
            prompt: None,
            claim: None,
            slot: None,
            attempt: None,
            dispatch: None,
            reply: None,
        }
    }

    /// The route, which the route filter sets.
    pub fn route(&self) -> Result<&Route> {
        self.route.as_ref().ok_or_else(|| unset("route"))
    }

    /// The target, which the route filter sets.
    pub fn target(&self) -> Result<&Serves> {
        self.target.as_ref().ok_or_else(|| unset("target"))
    }

    /// The fingerprint; computed if the quarantine filter hasn't set it.
    pub fn fingerprint(&self) -> Fingerprint {
        let compute = || Fingerprint::of(&self.request.target(), &self.request.body);
        self.fingerprint.unwrap_or_else(compute)
    }

    /// Whether any byte of the request may have reached an upstream.
    pub fn sent(&self) -> bool {
        self.dispatch.as_ref().is_some_and(Dispatch::sent)
    }

    /// The deadline, which the route filter sets.
    pub fn deadline(&self) -> Result<Time> {
        self.deadline.ok_or_else(|| unset("deadline"))
    }
}

fn unset(what: &str) -> Error {
    Error::new(Kind::Internal, format!("a filter needs the {what} before it is known"))
}
