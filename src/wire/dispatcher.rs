//! Dispatches peer calls to the handler of their message type.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::{Body, Handler, Peer};
use crate::error::{Error, Kind, Result};

/// Handlers by message type; calls of a type without a handler are refused.
#[derive(Clone, Default)]
pub struct Dispatcher {
    /// Handles heartbeats and requests for the leaving VMs and upstreams.
    pub member: Option<Rc<dyn Handler>>,
    /// Handles configuration deltas.
    pub config: Option<Rc<dyn Handler>>,
    /// Handles rate shares, token loans and slot leases.
    pub limits: Option<Rc<dyn Handler>>,
    /// Handles crash suspects and quarantine of online requests.
    pub online: Option<Rc<dyn Handler>>,
    /// Handles segments, jobs and claims.
    pub batch: Option<Rc<dyn Handler>>,
}

impl Handler for Dispatcher {
    fn handle(&self, peer: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>> {
        let handler = match &body {
            Body::Member(_) => &self.member,
            Body::Config(_) => &self.config,
            Body::Limits(_) => &self.limits,
            Body::Online(_) => &self.online,
            Body::Batch(_) => &self.batch,
            Body::Hello(_) | Body::Proof(_) | Body::Fault(_) => &None,
        };
        match handler {
            Some(handler) => handler.handle(peer, body),
            None => Box::pin(async {
                Err(Error::new(Kind::Peer, "this process doesn't answer such calls"))
            }),
        }
    }
}
