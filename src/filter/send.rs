//! Sends the request to the upstream that it got a slot at.
//!
//! A `Dispatch` is all that is needed to send a request again later on, when
//! its answer broke off. Key, contact and deadline are checked before each
//! send, since the request may have waited.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use super::exchange::Attempt;
use super::identify::check;
use super::queue::ticket;
use super::{Exchange, Filter, Services};
use crate::admission::{Permit, Ticket};
use crate::error::{Error, Kind, Result, Run};
use crate::upstream::{Call, Failure, Part};
use crate::view::{Digest, State, Upstream};

/// Most attempts of one request, whatever the budgets say.
const MAX_ATTEMPTS: u32 = 4;

/// Sends requests.
pub struct Send {
    services: Rc<Services>,
}

impl Send {
    /// Makes the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }
}

impl Filter for Send {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let mut dispatch = Dispatch::new(self.services.clone(), exchange)?;
            let permit = exchange.permit.take();
            let attempt = dispatch.next(permit, 0).await;
            exchange.sent = dispatch.sent;
            exchange.attempt = Some(attempt?);
            exchange.dispatch = Some(dispatch);
            Ok(())
        })
    }
}

/// Sends one request, again where that is allowed.
pub struct Dispatch {
    services: Rc<Services>,
    ticket: Ticket,
    call: Call,
    digest: Option<Digest>,
    idempotent: bool,
    attempts: u32,
    sent: bool,
}

impl Dispatch {
    fn new(services: Rc<Services>, exchange: &Exchange) -> Result<Self> {
        let arrival = &exchange.arrival;
        let path = match arrival.query.is_empty() {
            true => arrival.path.clone(),
            false => format!("{}?{}", arrival.path, arrival.query),
        };
        let content_type = arrival.header("content-type")?.unwrap_or("application/json").into();
        let call = Call {
            request: String::new(),
            path,
            content_type,
            body: arrival.body.clone(),
            deadline: exchange.deadline()?,
            traceparent: exchange.traceparent.clone(),
            resume_from: 0,
        };
        // A key on an open route decides nothing, so its withdrawal neither.
        let digest = exchange.digest.filter(|_| exchange.route().is_ok_and(|route| !route.open));
        Ok(Self {
            services,
            ticket: ticket(exchange)?,
            call,
            digest,
            idempotent: exchange.route()?.idempotent,
            attempts: 0,
            sent: false,
        })
    }

    /// Whether any byte may have reached an upstream.
    pub fn sent(&self) -> bool {
        self.sent
    }

    /// Fails once the key is withdrawn, contact lost or the deadline past.
    pub fn check(&self) -> Result<()> {
        let now = self.services.context.clock.now();
        if self.call.deadline.passed(now) {
            let kind = if self.sent { Kind::DeadlineExceeded } else { Kind::Overloaded };
            return Err(Error::new(kind, "the deadline passed"));
        }
        let Some(digest) = &self.digest else { return Ok(()) };
        check(&self.services.context, digest).map_err(|error| self.final_error(error)).map(|_| ())
    }

    /// Sends until an upstream begins to answer.
    pub async fn next(&mut self, permit: Option<Permit>, resume_from: u32) -> Result<Attempt> {
        let mut permit = permit;
        loop {
            let granted = match permit.take() {
                Some(permit) => permit,
                None => self.enter().await?,
            };
            self.check()?;
            let Some(upstream) = self.upstream(&granted) else {
                self.ticket.excluded.push(granted.upstream.clone());
                continue;
            };
            match self.send(granted, &upstream, resume_from).await {
                Ok(attempt) => return Ok(attempt),
                Err(failure) => self.failed(upstream.name, failure)?,
            }
        }
    }

    async fn enter(&self) -> Result<Permit> {
        let entered = self.services.line.enter(self.ticket.clone()).await;
        entered.map_err(|error| self.final_error(error))
    }

    /// The upstream as it stands now, unless it takes nothing new.
    fn upstream(&self, permit: &Permit) -> Option<Upstream> {
        let view = self.services.context.shared.load();
        let upstream = view.upstreams.get(&permit.upstream)?;
        (upstream.state == State::Live).then(|| upstream.clone())
    }

    async fn send(
        &mut self,
        permit: Permit,
        upstream: &Upstream,
        resume_from: u32,
    ) -> std::result::Result<Attempt, Failure> {
        self.attempts += 1;
        let mut call = self.call.clone();
        // Fresh for each attempt: an identifier of the caller's could meet
        // another caller's, or hold its key.
        call.request = format!("{:032x}", rand::random::<u128>());
        call.resume_from = resume_from;
        let request = call.request.clone();
        let before = std::mem::replace(&mut self.sent, true);
        let mut parts = self.services.client.send(upstream, call).await;
        match parts.recv().await {
            Some(Ok(Part::Head { status, content_type })) => {
                Ok(Attempt { permit, request, status, content_type, parts })
            }
            Some(Err(Failure::NotSent(error))) => {
                self.sent = before;
                Err(Failure::NotSent(error))
            }
            Some(Err(failure)) => Err(failure),
            Some(Ok(_)) | None => Err(Failure::Sent(broken())),
        }
    }

    /// Takes note of a failed attempt; fails when there may be no other.
    pub fn failed(&mut self, upstream: crate::id::Upstream, failure: Failure) -> Result<()> {
        self.ticket.excluded.push(upstream);
        let (error, repeatable) = match failure {
            Failure::NotSent(error) => (error, true),
            Failure::Sent(error) => (error, self.idempotent),
        };
        let late = error.kind == Kind::DeadlineExceeded;
        if late || !repeatable || self.attempts >= MAX_ATTEMPTS {
            return Err(self.final_error(error));
        }
        Ok(())
    }

    /// What the caller is told: never "not run" once anything was sent.
    pub fn final_error(&self, error: Error) -> Error {
        match error.answer().run {
            Run::NotRun if self.sent => {
                Error::new(Kind::OutcomeUnknown, format!("sent before: {}", error.detail))
            }
            _ => error,
        }
    }
}

/// An answer that ended before it was whole.
pub fn broken() -> Error {
    Error::new(Kind::OutcomeUnknown, "the upstream's answer broke off")
}
