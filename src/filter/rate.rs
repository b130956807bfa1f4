//! Limits the request rate of organisations.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::chain::open_organisation;
use super::{Exchange, Filter, Services};
use crate::error::{Error, Result, Run};

/// Filter that takes a token from the organisation's rate for each request.
pub struct Rate {
    services: Rc<Services>,
}

impl Rate {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }
}

impl Filter for Rate {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            match &exchange.organisation {
                Some(organisation) if *organisation != open_organisation() => {
                    self.services.limiter.take(organisation).await
                }
                _ => Ok(()),
            }
        })
    }

    fn undo<'a>(&'a self, exchange: &'a Exchange, error: &'a Error) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let Some(organisation) = &exchange.organisation else { return };
            if *organisation == open_organisation() {
                return;
            }
            if !exchange.sent() && error.answer().run == Run::NotRun {
                self.services.limiter.refund(organisation);
            }
        })
    }
}
