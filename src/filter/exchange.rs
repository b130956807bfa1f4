//! A request on its way through the chain.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::Stream;

use super::send::{Dispatch, Flight};
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

/// What the caller gets.
pub enum Reply {
    /// A whole answer.
    Whole(Answer),
    /// An event stream, produced while it is sent.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes>>>>),
}

/// Leave to run a request at an upstream.
pub struct Slot {
    /// Slot at the upstream, held until the answer is whole.
    pub permit: Permit,
    /// Leave to run, for a request that might crash upstreams.
    pub guard: Guard,
}

/// A running attempt at an upstream.
pub struct Attempt {
    /// Where it may run.
    pub slot: Slot,
    /// Counts it at its upstream.
    pub flight: Flight,
    /// Identifier that the answer carries.
    pub request_id: String,
    /// Status of the answer.
    pub status: u16,
    /// Media type of the answer.
    pub content_type: String,
    /// The rest of the answer.
    pub parts: Parts,
}

impl Attempt {
    /// Gives the attempt up, which cancels it upstream.
    pub fn stop(self) -> Slot {
        self.slot
    }
}

/// What the filters know of a request.
pub struct Exchange {
    /// As it came.
    pub request: Request,
    /// Configuration it is judged by.
    pub view: Arc<View>,
    /// Identifier that the caller sees.
    pub request_id: String,
    /// Trace context to pass on.
    pub traceparent: Option<String>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// When the caller stops waiting; set by its header or by the route.
    pub deadline: Option<Time>,
    /// Key that the caller showed.
    pub key: Option<String>,
    /// Digest of that key.
    pub digest: Option<Digest>,
    /// Whose key it is.
    pub organisation: Option<Organisation>,
    /// Route that it takes.
    pub route: Option<Route>,
    /// What it is known by if it crashes upstreams.
    pub fingerprint: Option<Fingerprint>,
    /// What must serve it.
    pub serves: Option<Serves>,
    /// What an engine's request asks for.
    pub prompt: Option<Prompt>,
    /// Claim granted to it.
    pub claim: Option<claim::Key>,
    /// Slot that it got.
    pub slot: Option<Slot>,
    /// Attempt that answers.
    pub attempt: Option<Attempt>,
    /// Sends it again.
    pub dispatch: Option<Dispatch>,
    /// What the caller gets.
    pub reply: Option<Reply>,
}

impl Exchange {
    /// Starts with nothing but what arrived.
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
            serves: None,
            prompt: None,
            claim: None,
            slot: None,
            attempt: None,
            dispatch: None,
            reply: None,
        }
    }

    /// The route that the filter of that name set.
    pub fn route(&self) -> Result<&Route> {
        self.route.as_ref().ok_or_else(|| missing("route"))
    }

    /// The target that the route filter set.
    pub fn serves(&self) -> Result<&Serves> {
        self.serves.as_ref().ok_or_else(|| missing("target"))
    }

    /// What the request is known by.
    pub fn fingerprint(&self) -> Fingerprint {
        let compute = || Fingerprint::of(&self.request.target(), &self.request.body);
        self.fingerprint.unwrap_or_else(compute)
    }

    /// Whether any byte of it may have reached an upstream.
    pub fn sent(&self) -> bool {
        self.dispatch.as_ref().is_some_and(Dispatch::sent)
    }

    /// The deadline that the route filter set.
    pub fn deadline(&self) -> Result<Time> {
        self.deadline.ok_or_else(|| missing("deadline"))
    }
}

fn missing(what: &str) -> Error {
    Error::new(Kind::Internal, format!("a filter needs the {what} before it is known"))
}
