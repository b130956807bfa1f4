//! Gives requests that crash upstreams their final answer at once.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::{Exchange, Filter, Services};
use crate::error::Result;
use crate::route::Fingerprint;

/// Meets quarantined requests.
pub struct Quarantine {
    services: Rc<Services>,
}

impl Quarantine {
    /// Makes the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }
}

impl Filter for Quarantine {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let arrival = &exchange.request;
            let print = Fingerprint::of(&arrival.target(), &arrival.body);
            exchange.fingerprint = Some(print);
            self.services.router.quarantine.check(print)
        })
    }
}
