//! One handler for each area of messages.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::{Body, Handler, Peer};
use crate::error::{Error, Kind, Result};

/// Gives each call to the area that owns it.
#[derive(Clone, Default)]
pub struct Dispatcher {
    /// Membership and gossip.
    pub member: Option<Rc<dyn Handler>>,
    /// Configuration spread.
    pub config: Option<Rc<dyn Handler>>,
    /// Rates, shares and capacity.
    pub limits: Option<Rc<dyn Handler>>,
    /// Online requests.
    pub online: Option<Rc<dyn Handler>>,
    /// Segments, jobs and claims.
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
