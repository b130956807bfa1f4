//! The filter chain and the services that filters use.

use std::rc::Rc;
use std::sync::Arc;

use tracing::Instrument;

use super::authenticate::Authenticate;
use super::claim::Claim;
use super::parse::Parse;
use super::quarantine::Quarantine;
use super::queue::Queue;
use super::rate::Rate;
use super::relay::Relay;
use super::route::Route;
use super::send::Send;
use super::{Exchange, Filter, Reply, Request};
use crate::admission::{Limiter, Scheduler};
use crate::claim::Claims;
use crate::context::Context;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::id::Organisation;
use crate::route::Router;
use crate::trace::{self, TRACEPARENT};
use crate::upstream::Client;

/// Services for the filters; one instance per traffic thread.
#[derive(Clone)]
pub struct Services {
    /// Context of this VM.
    pub context: Context,
    /// Rate limiter.
    pub limiter: Arc<dyn Limiter>,
    /// Scheduler of requests that wait for an upstream.
    pub scheduler: Arc<dyn Scheduler>,
    /// Load balancing, retry budgets and quarantine.
    pub router: Arc<Router>,
    /// Client for upstreams.
    pub client: Rc<dyn Client>,
    /// Claims on requests that run at most once. Without them, requests with an `Idempotency-Key`
    /// are rejected on routes that aren't idempotent.
    pub claims: Option<Rc<dyn Claims>>,
}

/// Placeholder organisation for requests on open routes. The space keeps it distinct from all
/// valid organisation names.
pub fn open_organisation() -> Organisation {
    Organisation::from("open routes")
}

/// Filter chain of one traffic thread.
pub struct Chain {
    services: Rc<Services>,
    filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    /// Creates the chain with its filters in order.
    pub fn new(services: Services) -> Self {
        let services = Rc::new(services);
        let filters: Vec<Box<dyn Filter>> = vec![
            Box::new(Parse::new(services.clone())),
            Box::new(Authenticate::new(services.clone())),
            Box::new(Route::new(services.clone())),
            Box::new(Quarantine::new(services.clone())),
            Box::new(Rate::new(services.clone())),
            Box::new(Claim::new(services.clone())),
            Box::new(Queue::new(services.clone())),
            Box::new(Send),
            Box::new(Relay::new(services.clone())),
        ];
        Self { services, filters }
    }

    /// Runs a request through the chain; returns its identifier and the reply.
    pub async fn run(&self, request: Request) -> (String, Result<Reply>) {
        let span = tracing::info_span!("entry", path = request.path.as_str());
        let traceparent = request.headers.get(TRACEPARENT).and_then(|value| value.to_str().ok());
        trace::set_parent(&span, traceparent);
        let clock = &self.services.context.clock;
        let started = clock.now();
        let (request_id, reply) = self.apply_filters(request).instrument(span).await;
        let outcome = reply.as_ref().map_or_else(|error| error.answer().code, |_| "answered");
        metrics::counter!("parsleybeam_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("parsleybeam_request_seconds", "outcome" => outcome)
            .record(started.until(clock.now()).as_secs_f64());
        if let Err(error) = &reply {
            emit!(self.services.context.log, Event::RequestFailed,
                "request" => &request_id, "kind" => outcome, "detail" => &error.detail);
        }
        (request_id, reply)
    }

    async fn apply_filters(&self, request: Request) -> (String, Result<Reply>) {
        let view = self.services.context.shared.load();
        let mut exchange = Exchange::new(request, view);
        for (applied, filter) in self.filters.iter().enumerate() {
            if let Err(error) = filter.apply(&mut exchange).await {
                self.undo(applied, &exchange, &error).await;
                return (exchange.request_id, Err(error));
            }
            if exchange.reply.is_some() {
                break;
            }
        }
        let reply = exchange.reply.ok_or_else(|| Error::new(Kind::Internal, "no reply was made"));
        (exchange.request_id, reply)
    }

    async fn undo(&self, applied: usize, exchange: &Exchange, error: &Error) {
        for filter in self.filters[..applied].iter().rev() {
            filter.undo(exchange, error).await;
        }
    }
}
