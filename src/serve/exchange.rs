//! One online request: from its arrival to the caller's answer.
//!
//! What may be said of a request follows from its sends. It has not run while
//! every send failed before a byte left or was refused by the upstream; only
//! then it is refused with "not run". After a send that may have run, another
//! follows only if the route allows it, and a failure promises nothing.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::{HeaderMap, Request as HttpRequest, StatusCode};
use http_body_util::Full;

use super::configuration::{Configuration, Kind as RouteKind, Route, Tenant};
use super::context::{Context, Slot, Use};
use super::crash;
use super::peers::Peers;
use super::place::{self, Choice, Criteria};
use super::protocol::{Head, Metadata, Request};
use super::rate::Grant;
use super::record::Record;
use super::relay::Relay;
use crate::clock::Time;
use crate::error::{Error, Kind, Result};
use crate::id::{Organisation, Service, Upstream};
use crate::route::Fingerprint;
use crate::transport::{Failure, Response};

/// Bound on connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Wait for an answer's head after which a request that may be repeated goes elsewhere.
const HEAD_SILENCE: Duration = Duration::from_millis(1_200);
/// Most upstreams that may refuse one request before it is refused here.
const MAX_REFUSALS: usize = 4;
/// Pause before upstreams are looked for again when none is usable.
const NO_UPSTREAM_PAUSE: Duration = Duration::from_millis(40);
/// Longest search for a usable upstream.
const NO_UPSTREAM_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Shortest wait named to refused callers, in milliseconds.
const MIN_RETRY_MS: u64 = 200;
/// Spread of the waits named to refused callers, in milliseconds.
const RETRY_SPREAD_MS: u64 = 900;
/// Wait named to callers that should use another VM.
const OTHER_VM_RETRY: Duration = Duration::from_millis(200);

/// Wait named to callers whose request crashes upstreams.
const CRASHED_RETRY: Duration = Duration::from_secs(60);

/// An answer for the caller.
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without those of one connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// The body of an answer.
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// A stream of events; an error breaks the connection.
    Events(LocalBoxStream<'static, std::result::Result<Bytes, Incomplete>>),
}

/// A stream that can't be finished.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the stream can't be finished")]
pub struct Incomplete;

/// A request that was let in.
#[derive(Clone)]
pub struct Admitted {
    pub(super) incoming: Request,
    pub(super) head: Head,
    pub(super) route: Route,
    pub(super) service: Service,
    pub(super) organisation: Option<Organisation>,
    pub(super) authenticated: bool,
    pub(super) deadline: Time,
    pub(super) begun: Time,
}

impl Admitted {
    /// What the request is known by if it comes again.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        crash::fingerprint(self.organisation.as_ref(), &self.incoming.target(), &self.incoming.body)
    }
}

/// Sends of one request so far.
#[derive(Debug, Default)]
pub struct History {
    /// Upstreams that may have run it.
    pub runs: u32,
    /// Upstreams that failed or refused it.
    pub tried: Vec<Upstream>,
}

impl History {
    /// Whether it may be sent once more.
    pub fn may_send(&self, route: &Route) -> bool {
        self.runs == 0 || (route.repeatable() && self.runs < route.max_attempts)
    }
}

/// An upstream's answer to a request, and the slot in which it runs.
pub(super) struct Sent {
    pub answer: Response,
    pub slot: Slot,
}

/// Finds the organisation of a key. Not keyed: no organisation.
pub fn authenticate<'a>(
    context: &Context,
    configuration: &'a Configuration,
    head: &Head,
    anonymous: bool,
) -> Result<Option<&'a Tenant>> {
    if anonymous || !configuration.has_tenants() {
        return Ok(None);
    }
    if !context.in_contact() {
        let detail = "this VM can't confirm that keys are still valid; use another one";
        return Err(Error::new(Kind::OutOfContact, detail).retry_after(OTHER_VM_RETRY));
    }
    let key = head.key.as_deref();
    let key = key.ok_or_else(|| Error::new(Kind::KeyMissing, "the request carries no key"))?;
    let tenant = configuration.tenant_of_key(key);
    let tenant = tenant.ok_or_else(|| Error::new(Kind::KeyRefused, "the key is not valid"))?;
    Ok(Some(tenant))
}

/// The configuration in force; before the first one nothing can be said.
pub fn configuration(context: &Context) -> Result<std::sync::Arc<Configuration>> {
    context.configuration().ok_or_else(|| {
        let detail = "this VM has read no configuration yet; use another one";
        Error::new(Kind::OutOfContact, detail).retry_after(OTHER_VM_RETRY)
    })
}

/// Serves one online request.
pub async fn serve(
    context: &Rc<Context>,
    peers: &Rc<Peers>,
    incoming: Request,
    head: Head,
    record: &mut Record,
) -> Result<Reply> {
    let admitted = admit(context, peers, incoming, head, record).await?;
    let mut history = History::default();
    loop {
        let sent = send(context, &admitted, &mut history, None, record).await?;
        match reply(context, &admitted, &mut history, sent, record).await? {
            Some(reply) => return Ok(reply),
            None => continue,
        }
    }
}

async fn admit(
    context: &Rc<Context>,
    peers: &Rc<Peers>,
    incoming: Request,
    head: Head,
    record: &mut Record,
) -> Result<Admitted> {
    let begun = context.now();
    let configuration = configuration(context)?;
    record.version = configuration.version;
    let route = configuration.route(&head.host, &incoming.path).ok_or_else(|| {
        Error::new(Kind::UnknownRoute, format!("no route of {} matches", head.host))
    })?;
    record.route = route.name.clone();
    let tenant = authenticate(context, &configuration, &head, route.anonymous)?;
    if route.kind == RouteKind::Batch {
        return Err(Error::new(Kind::Malformed, "a batch route takes jobs only"));
    }
    let service = route
        .target(context.random())
        .ok_or_else(|| Error::new(Kind::NoUpstream, "the route names no service"))?;
    if let Some(tenant) = tenant {
        record.organisation = tenant.organisation.to_string();
        take_token(peers, tenant, record).await?;
    }
    let patience = head.caller_timeout_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    Ok(Admitted {
        organisation: tenant.map(|tenant| tenant.organisation.clone()),
        authenticated: tenant.is_some(),
        deadline: begun.after(Duration::from_millis(patience)),
        begun,
        service: service.clone(),
        route: route.clone(),
        incoming,
        head,
    })
}

async fn take_token(peers: &Rc<Peers>, tenant: &Tenant, record: &mut Record) -> Result<()> {
    if tenant.rate_per_s <= 0.0 {
        return Ok(());
    }
    let (grant, source) = peers.take_token(tenant).await;
    record.token = source;
    let Grant::Exceeded(wait) = grant else { return Ok(()) };
    let detail = format!("{} has used up its rate and burst", tenant.organisation);
    Err(Error::new(Kind::RateExceeded, detail).retry_after(wait))
}

/// Sends a request until an upstream answers it; `resume` is the last event
/// that the caller already has of a broken stream.
pub(super) async fn send(
    context: &Rc<Context>,
    admitted: &Admitted,
    history: &mut History,
    resume: Option<u64>,
    record: &mut Record,
) -> Result<Sent> {
    let mut refusals = 0;
    let search_until = context.now().after(NO_UPSTREAM_TIMEOUT);
    loop {
        check_time(context, admitted, history)?;
        check_crashes(context, admitted, history)?;
        let Some(choice) = choose(context, admitted, history) else {
            if !history.tried.is_empty() && refusals < MAX_REFUSALS {
                history.tried.clear();
                refusals += 1;
            } else if search_until.passed(context.now()) {
                return Err(unserved(context, history, Kind::NoUpstream, "no upstream is usable"));
            }
            tokio::time::sleep(NO_UPSTREAM_PAUSE).await;
            continue;
        };
        if history.runs == 0 && resume.is_none() {
            refuse_late(context, admitted, &choice)?;
        }
        let Some(slot) = context.take_slot(choice.key, Use::Online) else { continue };
        record.attempts.push(slot.upstream.to_string());
        record.expected_ms = choice.expected_ms;
        let (upstream, request) =
            (slot.upstream.clone(), request(context, admitted, &slot, resume));
        let bound = bound(context, admitted, history);
        let sending = context.pool.send(slot.address, request, CONNECT_TIMEOUT);
        let answer = match tokio::time::timeout(bound, sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(Failure::NotSent(reason))) => {
                slot.record_failure(&reason);
                record.reason = reason;
                history.tried.push(upstream);
                continue;
            }
            Ok(Err(Failure::Sent(reason))) => {
                break_run(context, admitted, history, &slot, reason, record).await?;
                continue;
            }
            Err(_) => {
                let reason = "no answer in time".to_owned();
                break_run(context, admitted, history, &slot, reason, record).await?;
                continue;
            }
        };
        let name = admitted.head.request_id.as_deref().unwrap_or_default();
        let classification = context.protocol.classify(answer.status, &answer.headers, name);
        if classification.refused {
            record.reason = format!("refused with {}", answer.status.as_u16());
            if answer.status == StatusCode::MISDIRECTED_REQUEST {
                slot.record_failure("another upstream has its address");
            }
            history.tried.push(upstream);
            refusals += 1;
            if refusals >= MAX_REFUSALS {
                return Err(unserved(context, history, Kind::Overloaded, "all upstreams are full"));
            }
            continue;
        }
        if !classification.matches_request {
            context.pool.close_idle(slot.address);
            let reason = "the answer belongs to another request".to_owned();
            fail_run(context, admitted, history, upstream, reason, record)?;
            continue;
        }
        history.runs += 1;
        return Ok(Sent { answer, slot });
    }
}

/// Turns an upstream's answer into the caller's; none if another try follows.
async fn reply(
    context: &Rc<Context>,
    admitted: &Admitted,
    history: &mut History,
    sent: Sent,
    record: &mut Record,
) -> Result<Option<Reply>> {
    let Sent { mut answer, slot } = sent;
    let name = admitted.head.request_id.as_deref().unwrap_or_default();
    let classification = context.protocol.classify(answer.status, &answer.headers, name);
    let headers = context.protocol.caller_headers(&answer.headers);
    let status = answer.status;
    record.status = status.as_u16();
    if status.is_success() && classification.event_stream {
        let sent = Sent { answer, slot };
        let body = Body::Events(Relay::stream(context, admitted, history, sent, record));
        return Ok(Some(Reply { status, headers, body }));
    }
    let bound = context.now().until(admitted.deadline);
    let collecting = answer.body.collect(MAX_ANSWER_BYTES);
    let body = match tokio::time::timeout(bound, collecting).await {
        Ok(Ok(body)) => body,
        Ok(Err(failure)) => {
            history.runs -= 1;
            break_run(context, admitted, history, &slot, failure.to_string(), record).await?;
            return Ok(None);
        }
        Err(_) => {
            let detail = "the deadline passed within the upstream's answer";
            return Err(Error::new(Kind::DeadlineExceeded, detail));
        }
    };
    if status.is_server_error() && history.may_send(&admitted.route) {
        record.reason = format!("failed with {}", status.as_u16());
        slot.record_failure(&record.reason);
        history.tried.push(slot.upstream.clone());
        return Ok(None);
    }
    if status.is_success() {
        slot.record_first_event();
    }
    record.conclude("answered");
    Ok(Some(Reply { status, headers, body: Body::Whole(body) }))
}

/// Notes a run that its upstream broke off; an error if no other may follow.
async fn break_run(
    context: &Rc<Context>,
    admitted: &Admitted,
    history: &mut History,
    slot: &Slot,
    reason: String,
    record: &mut Record,
) -> Result<()> {
    slot.record_failure(&reason);
    crash::probe(context, slot.address, admitted.fingerprint()).await;
    fail_run(context, admitted, history, slot.upstream.clone(), reason, record)
}

/// Notes a run that failed; an error if no other may follow.
fn fail_run(
    context: &Context,
    admitted: &Admitted,
    history: &mut History,
    upstream: Upstream,
    reason: String,
    record: &mut Record,
) -> Result<()> {
    history.runs += 1;
    history.tried.push(upstream);
    record.reason = reason.clone();
    if admitted.deadline.passed(context.now()) {
        return Err(Error::new(Kind::DeadlineExceeded, "the deadline passed after it was sent"));
    }
    if history.may_send(&admitted.route) {
        return Ok(());
    }
    Err(Error::new(Kind::OutcomeUnknown, format!("the upstream may have run it: {reason}")))
}

fn choose(context: &Context, admitted: &Admitted, history: &History) -> Option<Choice> {
    let criteria = Criteria {
        service: &admitted.service,
        data_centre: &context.member.data_centre,
        tried: &history.tried,
        tie_breaker: context.random(),
    };
    place::online(&context.table.borrow(), criteria, context.now())
}

/// Refuses a request that would wait for a slot until its first event comes
/// too late to be of use. Where a slot is free nothing is gained by refusing.
fn refuse_late(context: &Context, admitted: &Admitted, choice: &Choice) -> Result<()> {
    if admitted.route.latency_target_ms == 0 || choice.free {
        return Ok(());
    }
    let expected_ms = choice.expected_ms;
    let waited_ms = admitted.begun.until(context.now()).as_secs_f64() * 1e3;
    let latency_target_ms = admitted.route.latency_target_ms as f64;
    if waited_ms + expected_ms <= latency_target_ms {
        return Ok(());
    }
    let detail = format!("its first event would take {expected_ms:.0} ms");
    let room_ms = waited_ms + expected_ms - latency_target_ms;
    Err(Error::new(Kind::Overloaded, detail).retry_after(retry_after(context, room_ms as u64)))
}

/// When a refused caller should come back: once room is expected, spread, so
/// that not all come at once.
fn retry_after(context: &Context, room_ms: u64) -> Duration {
    Duration::from_millis(room_ms.max(MIN_RETRY_MS) + context.random() % RETRY_SPREAD_MS)
}

fn unserved(context: &Context, history: &History, kind: Kind, detail: &str) -> Error {
    if history.runs > 0 {
        return Error::new(Kind::OutcomeUnknown, detail);
    }
    Error::new(kind, detail).retry_after(retry_after(context, 0))
}

fn check_time(context: &Context, admitted: &Admitted, history: &History) -> Result<()> {
    if admitted.deadline.passed(context.now()) {
        let detail = "the deadline passed";
        let kind = if history.runs > 0 { Kind::DeadlineExceeded } else { Kind::Overloaded };
        return Err(Error::new(kind, detail));
    }
    if admitted.authenticated && history.runs == 0 && !context.in_contact() {
        let detail = "this VM can't confirm that keys are still valid; use another one";
        return Err(Error::new(Kind::OutOfContact, detail).retry_after(OTHER_VM_RETRY));
    }
    Ok(())
}

/// Ends a request that may have crashed too many upstreams.
fn check_crashes(context: &Context, admitted: &Admitted, history: &History) -> Result<()> {
    let crashes = context.crashes.borrow();
    if crashes.is_empty() || !crashes.is_quarantined(admitted.fingerprint()) {
        return Ok(());
    }
    let detail = "upstreams that ran it crashed; it isn't sent any more";
    if history.runs > 0 {
        return Err(Error::new(Kind::OutcomeUnknown, detail));
    }
    Err(Error::new(Kind::NoUpstream, detail).retry_after(CRASHED_RETRY))
}

/// How long to wait for an answer's head.
fn bound(context: &Context, admitted: &Admitted, history: &History) -> Duration {
    let left = context.now().until(admitted.deadline);
    let next = History { runs: history.runs + 1, tried: Vec::new() };
    if next.may_send(&admitted.route) { left.min(HEAD_SILENCE) } else { left }
}

fn request(
    context: &Context,
    admitted: &Admitted,
    slot: &Slot,
    resume: Option<u64>,
) -> HttpRequest<Full<Bytes>> {
    let incoming = &admitted.incoming;
    let metadata = Metadata {
        upstream: &slot.upstream,
        organisation: admitted.organisation.as_ref(),
        remaining_ms: context.now().until(admitted.deadline).as_millis() as u64,
        last_event: resume.or(admitted.head.last_event),
    };
    let mut request = HttpRequest::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    *request.uri_mut() = incoming.target().parse().unwrap_or_default();
    *request.headers_mut() = context.protocol.upstream_headers(&incoming.headers, &metadata);
    request
}
