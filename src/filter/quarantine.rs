//! Rejects quarantined requests, which are known to crash upstreams.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::{Exchange, Filter, Services};
use crate::error::Result;
use crate::route::Fingerprint;

/// Filter that rejects quarantined requests.
pub struct Quarantine {
    services: Rc<Services>,
}

impl Quarantine {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }
}

impl Filter for Quarantine {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let request = &exchange.request;
            let fingerprint = Fingerprint::of(&request.target(), &request.body);
            exchange.fingerprint = Some(fingerprint);
            self.services.router.quarantine.check(fingerprint)
        })
    }
}
