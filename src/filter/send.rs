//! Sends the request to the upstream that it got a slot at.
//!
//! A `Dispatch` is all that is needed to send a request again later on, when
//! its answer broke off. Key, contact and deadline are checked before each
//! send, since the request may have waited.

use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use super::authenticate::authenticate;
use super::exchange::{Attempt, Slot};
use super::{Exchange, Filter, Services};
use crate::admission::Ticket;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::id;
use crate::route::{Balancer, Fingerprint, Retry};
use crate::upstream::{Call, Failure, Part};
use crate::view::{Digest, State, Upstream};

/// Answers after which another upstream may serve an idempotent request.
const RETRYABLE: [u16; 3] = [502, 503, 504];

/// Sends requests.
pub struct Send;

impl Filter for Send {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let slot = exchange.slot.take();
            let Some(dispatch) = exchange.dispatch.as_mut() else {
                return Err(Error::new(Kind::Internal, "nothing to send"));
            };
            exchange.attempt = Some(dispatch.next(slot, 0).await?);
            Ok(())
        })
    }
}

/// Counts a send at its upstream until it is dropped.
pub struct Flight {
    balancer: Arc<Balancer>,
    upstream: id::Upstream,
}

impl Flight {
    fn start(balancer: &Arc<Balancer>, upstream: &id::Upstream) -> Self {
        balancer.started(upstream);
        Self { balancer: balancer.clone(), upstream: upstream.clone() }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.balancer.ended(&self.upstream);
    }
}

/// Sends one request, again where that is allowed.
pub struct Dispatch {
    services: Rc<Services>,
    ticket: Ticket,
    call: Call,
    digest: Option<Digest>,
    print: Fingerprint,
    course: Retry,
}

impl Dispatch {
    /// Prepares a request that has passed all filters before the queue.
    pub fn new(services: Rc<Services>, exchange: &Exchange, ticket: Ticket) -> Result<Self> {
        let arrival = &exchange.request;
        let content_type = arrival.header("content-type")?.unwrap_or("application/json").into();
        let print = exchange.fingerprint();
        let call = Call {
            request_id: String::new(),
            path: arrival.target(),
            content_type,
            body: arrival.body.clone(),
            deadline: ticket.deadline,
            traceparent: exchange.traceparent.clone(),
            resume_from: 0,
        };
        // A key on an open route decides nothing, so its withdrawal neither.
        let route = exchange.route()?;
        let digest = exchange.digest.filter(|_| !route.open);
        let course = Retry::new(route.idempotent, ticket.deadline);
        Ok(Self { services, ticket, call, digest, print, course })
    }

    /// Whether any byte may have reached an upstream.
    pub fn sent(&self) -> bool {
        self.course.sent()
    }

    /// Fails once the key is withdrawn, contact lost or the deadline past.
    pub fn check(&self) -> Result<()> {
        self.course.check_deadline(self.services.context.clock.now())?;
        let Some(digest) = &self.digest else { return Ok(()) };
        let checked = authenticate(&self.services.context, digest);
        checked.map(|_| ()).map_err(|error| self.course.caller_error(error))
    }

    /// Waits until the request may run, then for a slot at an upstream.
    pub async fn enter(&mut self) -> Result<Slot> {
        let entered = self.enter_once().await;
        entered.map_err(|error| self.course.caller_error(error))
    }

    async fn enter_once(&mut self) -> Result<Slot> {
        let quarantine = &self.services.router.quarantine;
        let guard = quarantine.begin(self.print, self.ticket.deadline).await?;
        self.ticket.exclusive = guard.alone();
        let permit = self.services.scheduler.acquire(self.ticket.clone()).await?;
        Ok(Slot { guard, permit })
    }

    /// Sends until an upstream begins to answer.
    pub async fn next(&mut self, slot: Option<Slot>, resume_from: u32) -> Result<Attempt> {
        let mut slot = slot;
        loop {
            let mut taken = match slot.take() {
                Some(slot) => slot,
                None => self.enter().await?,
            };
            self.check()?;
            let Some(upstream) = self.upstream(&taken.permit.upstream) else {
                self.ticket.excluded.push(taken.permit.upstream.clone());
                continue;
            };
            match self.send(&mut taken, &upstream, resume_from).await? {
                Ok((request, flight, status, content_type, parts)) => {
                    let slot = taken;
                    return Ok(Attempt {
                        slot,
                        flight,
                        request_id: request,
                        status,
                        content_type,
                        parts,
                    });
                }
                Err(failure) => self.failed(taken, failure).await?,
            }
        }
    }

    /// The upstream as it stands now, unless it takes nothing new.
    fn upstream(&self, name: &id::Upstream) -> Option<Upstream> {
        let view = self.services.context.shared.load();
        let upstream = view.upstreams.get(name)?;
        (upstream.state == State::Live).then(|| upstream.clone())
    }

    async fn send(
        &mut self,
        slot: &mut Slot,
        upstream: &Upstream,
        resume_from: u32,
    ) -> Result<std::result::Result<Begun, Failure>> {
        let now = self.services.context.clock.now();
        if !self.course.sent() {
            self.services.router.deposit(&self.ticket.organisation, &upstream.name, now);
        }
        let mut call = self.call.clone();
        // Fresh for each attempt: an identifier of the caller's could meet
        // another caller's, or hold its key.
        call.request_id = format!("{:032x}", rand::random::<u128>());
        call.resume_from = resume_from;
        let request = call.request_id.clone();
        let flight = Flight::start(&self.services.router.balancer, &slot.permit.upstream);
        self.course.start(now)?;
        slot.guard.sent(upstream.spec.address);
        let mut parts = self.services.client.send(upstream, call).await;
        Ok(match parts.recv().await {
            Some(Ok(Part::Head { status, content_type })) => {
                Ok((request, flight, status, content_type, parts))
            }
            Some(Err(failure)) => Err(failure),
            Some(Ok(_)) | None => Err(Failure::Sent(broken())),
        })
    }

    /// Takes note of a failed attempt; fails when there may be no other.
    pub async fn failed(&mut self, slot: Slot, failure: Failure) -> Result<()> {
        let Slot { mut guard, permit } = slot;
        let upstream = permit.upstream.clone();
        drop(permit);
        let now = self.services.context.clock.now();
        let balancer = &self.services.router.balancer;
        match &failure {
            Failure::NotSent(_) => {
                guard.not_sent();
                balancer.connection_failed(&upstream, now);
            }
            Failure::Sent(_) if failure.is_interrupted() => {
                metrics::counter!("parsleybeam_broken_answers_total").increment(1);
                emit!(self.services.context.log, Event::UpstreamDied,
                    "upstream" => upstream.to_string());
                balancer.connection_failed(&upstream, now);
                guard.crashed().await;
            }
            Failure::Sent(_) => {
                metrics::counter!("parsleybeam_wrong_answers_total").increment(1);
                balancer.failed(&upstream, now);
            }
        }
        self.ticket.excluded.push(upstream.clone());
        let (router, organisation) = (&self.services.router, &self.ticket.organisation);
        self.course.failed(failure, now, || router.withdraw(organisation, &upstream, now))?;
        metrics::counter!("parsleybeam_retries_total").increment(1);
        Ok(())
    }

    /// Whether a whole answer only says that the upstream can't serve now.
    pub fn retryable(&self, status: u16) -> bool {
        self.course.idempotent() && RETRYABLE.contains(&status)
    }

    /// Takes note of such an answer; fails when there may be no other attempt.
    pub fn turned_away(&mut self, slot: Slot) -> Result<()> {
        let Slot { guard, permit } = slot;
        guard.completed();
        let now = self.services.context.clock.now();
        let upstream = permit.upstream.clone();
        self.services.router.balancer.failed(&upstream, now);
        self.ticket.excluded.push(upstream.clone());
        let (router, organisation) = (&self.services.router, &self.ticket.organisation);
        let failure = Failure::Sent(Error::new(Kind::UpstreamFailed, "turned away"));
        self.course.failed(failure, now, || router.withdraw(organisation, &upstream, now))?;
        metrics::counter!("parsleybeam_retries_total").increment(1);
        Ok(())
    }

    /// Takes note of a whole answer.
    pub fn succeeded(&self, slot: Slot) {
        let now = self.services.context.clock.now();
        self.services.router.balancer.succeeded(&slot.permit.upstream, now);
        slot.guard.completed();
    }
}

type Begun = (String, Flight, u16, String, crate::upstream::Parts);

/// An answer that ended before it was whole.
pub fn broken() -> Error {
    Error::new(Kind::OutcomeUnknown, "the upstream's answer broke off")
}
