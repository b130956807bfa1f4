//! Sends the request to the upstream where it holds a slot.
//!
//! A `Dispatch` holds all state needed to retry a request after its answer was interrupted. Key,
//! contact and deadline are checked before each attempt, since the request may have waited.

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

/// Status codes after which an idempotent request is retried at another upstream.
const RETRYABLE: [u16; 3] = [502, 503, 504];

/// Filter that sends requests.
pub struct Send;

impl Filter for Send {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let slot = exchange.slot.take();
            let Some(dispatch) = exchange.dispatch.as_mut() else {
                return Err(Error::new(Kind::Internal, "nothing to send"));
            };
            exchange.attempt = Some(dispatch.next_attempt(slot, 0).await?);
            Ok(())
        })
    }
}

/// Counts a call as in flight at its upstream until dropped.
pub struct InFlight {
    balancer: Arc<Balancer>,
    upstream: id::Upstream,
}

impl InFlight {
    fn start(balancer: &Arc<Balancer>, upstream: &id::Upstream) -> Self {
        balancer.started(upstream);
        Self { balancer: balancer.clone(), upstream: upstream.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.balancer.ended(&self.upstream);
    }
}

/// Sends a request, with retries where they are allowed.
pub struct Dispatch {
    services: Rc<Services>,
    ticket: Ticket,
    call: Call,
    digest: Option<Digest>,
    fingerprint: Fingerprint,
    retry: Retry,
}

impl Dispatch {
    /// Prepares a request that has passed the filters before the queue.
    pub fn new(services: Rc<Services>, exchange: &Exchange, ticket: Ticket) -> Result<Self> {
        let request = &exchange.request;
        let content_type = request.header("content-type")?.unwrap_or("application/json").into();
        let fingerprint = exchange.fingerprint();
        let call = Call {
            request_id: String::new(),
            path: request.target(),
            content_type,
            body: request.body.clone(),
            deadline: ticket.deadline,
            traceparent: exchange.traceparent.clone(),
            resume_from: 0,
        };
        // Open routes ignore the key, so its revocation has no effect either.
        let route = exchange.route()?;
        let digest = exchange.digest.filter(|_| !route.open);
        let retry = Retry::new(route.idempotent, ticket.deadline);
        Ok(Self { services, ticket, call, digest, fingerprint, retry })
    }

    /// Whether any byte of the request may have reached an upstream.
    pub fn sent(&self) -> bool {
        self.retry.sent()
    }

    /// Fails if the key was revoked, contact was lost or the deadline has passed.
    pub fn check(&self) -> Result<()> {
        self.retry.check_deadline(self.services.context.clock.now())?;
        let Some(digest) = &self.digest else { return Ok(()) };
        let checked = authenticate(&self.services.context, digest);
        checked.map(|_| ()).map_err(|error| self.retry.caller_error(error))
    }

    /// Waits for the quarantine to admit the request, then for a slot at an upstream.
    pub async fn acquire_slot(&mut self) -> Result<Slot> {
        let acquired = self.acquire_slot_once().await;
        acquired.map_err(|error| self.retry.caller_error(error))
    }

    async fn acquire_slot_once(&mut self) -> Result<Slot> {
        let quarantine = &self.services.router.quarantine;
        let guard = quarantine.begin(self.fingerprint, self.ticket.deadline).await?;
        self.ticket.exclusive = guard.isolated();
        let permit = self.services.scheduler.acquire(self.ticket.clone()).await?;
        Ok(Slot { guard, permit })
    }

    /// Sends the request, with retries, until an upstream starts to answer.
    pub async fn next_attempt(&mut self, slot: Option<Slot>, resume_from: u32) -> Result<Attempt> {
        let mut slot = slot;
        loop {
            let mut held_slot = match slot.take() {
                Some(slot) => slot,
                None => self.acquire_slot().await?,
            };
            self.check()?;
            let Some(upstream) = self.upstream(&held_slot.permit.upstream) else {
                self.ticket.excluded.push(held_slot.permit.upstream.clone());
                continue;
            };
            match self.send(&mut held_slot, &upstream, resume_from).await? {
                Ok((request_id, in_flight, status, content_type, parts)) => {
                    let slot = held_slot;
                    return Ok(Attempt {
                        slot,
                        in_flight,
                        request_id,
                        status,
                        content_type,
                        parts,
                    });
                }
                Err(failure) => self.failed(held_slot, failure).await?,
            }
        }
    }

    /// The upstream in the current view, if it accepts new requests.
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
    ) -> Result<std::result::Result<Started, Failure>> {
        let now = self.services.context.clock.now();
        if !self.retry.sent() {
            self.services.router.deposit(&self.ticket.organisation, &upstream.name, now);
        }
        let mut call = self.call.clone();
        // Each attempt has a new random identifier: one chosen by the caller could collide with
        // another caller's, or contain the API key.
        call.request_id = format!("{:032x}", rand::random::<u128>());
        call.resume_from = resume_from;
        let request_id = call.request_id.clone();
        let in_flight = InFlight::start(&self.services.router.balancer, &slot.permit.upstream);
        self.retry.start(now)?;
        slot.guard.sent(upstream.spec.address);
        let mut parts = self.services.client.send(upstream, call).await;
        Ok(match parts.recv().await {
            Some(Ok(Part::Head { status, content_type })) => {
                Ok((request_id, in_flight, status, content_type, parts))
            }
            Some(Err(failure)) => Err(failure),
            Some(Ok(_)) | None => Err(Failure::Sent(interrupted())),
        })
    }

    /// Records a failed attempt; returns an error if the request must not be retried.
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
        self.retry.failed(failure, now, || router.withdraw(organisation, &upstream, now))?;
        metrics::counter!("parsleybeam_retries_total").increment(1);
        Ok(())
    }

    /// Whether the request may be retried after a complete answer with this status.
    pub fn retryable(&self, status: u16) -> bool {
        self.retry.idempotent() && RETRYABLE.contains(&status)
    }

    /// Records an answer with a retryable status; returns an error if the request must not be
    /// retried.
    pub fn rejected(&mut self, slot: Slot) -> Result<()> {
        let Slot { guard, permit } = slot;
        guard.completed();
        let now = self.services.context.clock.now();
        let upstream = permit.upstream.clone();
        self.services.router.balancer.failed(&upstream, now);
        self.ticket.excluded.push(upstream.clone());
        let (router, organisation) = (&self.services.router, &self.ticket.organisation);
        let failure = Failure::Sent(Error::new(Kind::UpstreamFailed, "turned away"));
        self.retry.failed(failure, now, || router.withdraw(organisation, &upstream, now))?;
        metrics::counter!("parsleybeam_retries_total").increment(1);
        Ok(())
    }

    /// Records a complete answer.
    pub fn succeeded(&self, slot: Slot) {
        let now = self.services.context.clock.now();
        self.services.router.balancer.succeeded(&slot.permit.upstream, now);
        slot.guard.completed();
    }
}

type Started = (String, InFlight, u16, String, crate::upstream::Parts);

/// Error for an answer that ended before it was complete.
pub fn interrupted() -> Error {
    Error::new(Kind::OutcomeUnknown, "the upstream's answer broke off")
}
