//! Waits for a slot at an upstream.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::send::Dispatch;
use super::{Exchange, Filter, Services};
use crate::admission::Ticket;
use crate::error::{Error, Kind, Result};

/// Filter that queues requests until they get a slot.
pub struct Queue {
    services: Rc<Services>,
}

impl Queue {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }
}

impl Filter for Queue {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let ticket = ticket(exchange)?;
            let mut dispatch = Dispatch::new(self.services.clone(), exchange, ticket)?;
            exchange.slot = Some(dispatch.acquire_slot().await?);
            exchange.dispatch = Some(dispatch);
            Ok(())
        })
    }
}

/// The ticket of a request for the scheduler.
fn ticket(exchange: &Exchange) -> Result<Ticket> {
    let organisation = exchange.organisation.clone();
    Ok(Ticket {
        organisation: organisation.ok_or_else(|| Error::new(Kind::Internal, "nobody asks"))?,
        target: exchange.target()?.clone(),
        cost: exchange.prompt.as_ref().map_or(1, |prompt| prompt.cost),
        deadline: exchange.deadline()?,
        excluded: Vec::new(),
        exclusive: false,
        prefix: exchange.prompt.as_ref().map(|prompt| prompt.prefix),
    })
}
