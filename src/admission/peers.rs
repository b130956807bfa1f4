//! Handler for peer messages about rates and capacity.

use futures_util::future::{LocalBoxFuture, ready};

use super::capacity::Owners;
use super::share::Shares;
use crate::error::{Error, Kind, Result};
use crate::wire::{Body, Handler, Peer, limits};

/// Handles messages of the limits area.
pub struct Limits {
    /// This VM's shares.
    pub shares: Shares,
    /// Owner state of the upstreams whose slots this VM leases to others.
    pub owners: Owners,
}

impl Limits {
    fn answer(&self, peer: &Peer, message: limits::Message) -> Result<limits::Body> {
        match message.body {
            Some(limits::Body::Query(query)) => {
                self.shares.report(&query).map(limits::Body::Report)
            }
            Some(limits::Body::Borrow(borrow)) => Ok(limits::Body::Loan(self.shares.lend(&borrow))),
            Some(limits::Body::Request(request)) => {
                Ok(limits::Body::Leased(self.owners.lease(&peer.vm, &request)))
            }
            _ => Err(Error::new(Kind::Peer, "not a question about limits")),
        }
    }
}

impl Handler for Limits {
    fn handle(&self, peer: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>> {
        let Body::Limits(message) = body else {
            return Box::pin(ready(Err(Error::new(Kind::Peer, "not about limits"))));
        };
        let answer = self.answer(&peer, message);
        Box::pin(ready(answer.map(|body| Body::Limits(limits::Message { body: Some(body) }))))
    }
}
