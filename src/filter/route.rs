//! Matches requests to routes by path and determines the target.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use super::chain::open_organisation;
use super::{Exchange, Filter, Prompt, Services};
use crate::config::resource::{Serves, Target};
use crate::error::{Error, Kind, Result};

/// Filter that sets the route, target and deadline of requests.
pub struct Route {
    services: Rc<Services>,
}

impl Route {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }

    fn find(&self, exchange: &mut Exchange) -> Result<()> {
        let path = &exchange.request.path;
        let route = exchange.view.routes.get(path).cloned();
        let route = route
            .ok_or_else(|| Error::new(Kind::UnknownRoute, format!("no route has path {path}")))?;
        if exchange.organisation.is_none() {
            if !route.open {
                return Err(Error::new(Kind::KeyMissing, "this route needs a key"));
            }
            exchange.organisation = Some(open_organisation());
        }
        match &route.target {
            Target::Models => {
                let prompt = Prompt::read(&exchange.request.body)?;
                exchange.target = Some(Serves::Model(prompt.model.clone()));
                exchange.prompt = Some(prompt);
            }
            Target::Service(service) => exchange.target = Some(Serves::Service(service.clone())),
        }
        let now = self.services.context.clock.now();
        exchange.deadline =
            exchange.deadline.or(Some(now.after(Duration::from_millis(route.timeout_ms))));
        exchange.route = Some(route);
        Ok(())
    }
}

impl Filter for Route {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move { self.find(exchange) })
    }
}
