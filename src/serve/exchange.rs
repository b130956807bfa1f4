//! Handling of one online request, from its admission to the response.
//!
//! The outcome reported to the caller follows from the attempts made. The
//! request has not run as long as every attempt failed before a byte was sent
//! or was refused by the upstream; only then is it refused with "not run".
//! After an attempt that may have run, another follows only if the route allows
//! it, and an error then says nothing about whether the request has run.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::{HeaderMap, Request as HttpRequest, StatusCode};
use http_body_util::Full;

use super::configuration::{Configuration, Kind as RouteKind, Route, Tenant};
use super::context::Context;
use super::crash::{self, Broken};
use super::identity::{self, Identity};
use super::jobs::Slices;
use super::origin::{Origin, Stream};
use super::peers::Peers;
use super::protocol::{Head, Metadata, Request};
use super::reading::{self, Cut};
use super::record::Record;
use super::refusal::{
    OTHER_VM_RETRY, VERSION_GONE_RETRY, check_deadline_and_contact, check_latency, check_memory,
    check_parts, check_quarantine, check_rate, check_version, no_upstream_error, retry_after,
};
use super::relay::Relay;
use super::resume::{self, Resumed};
use super::selection::{self, Patience};
use super::slot::Slot;
use super::upstream::Use;
use crate::clock::Time;
use crate::error::{Error, Kind, Result};
use crate::id::{Organisation, Service, Upstream, Version};
use crate::route::Fingerprint;
use crate::transport::{Due, Failure, Response};

/// Status codes of answers; others are interim or none.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// A response to the caller.
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Body,
}

/// The body of a response.
pub enum Body {
    /// A complete body.
    Whole(Bytes),
    /// A page of a job's results.
    Page(Slices),
    /// A stream of events; an error aborts the connection.
    Events(LocalBoxStream<'static, std::result::Result<Bytes, Incomplete>>),
}

/// Error of a stream that could not be completed.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the stream can't be finished")]
pub struct Incomplete;

/// A request that was admitted.
#[derive(Clone)]
pub struct Admitted {
    pub(super) incoming: Request,
    pub(super) head: Head,
    pub(super) route: Route,
    pub(super) service: Service,
    /// The only version that may run it: that which began its stream.
    pub(super) version: Option<Version>,
    /// Whether it is let through although a part of its prompt is held off.
    pub(super) trial: bool,
    pub(super) organisation: Option<Organisation>,
    pub(super) authenticated: bool,
    pub(super) deadline: Time,
    pub(super) started_at: Time,
}

impl Admitted {
    /// The stream that the request begins, or goes on with; none if the route's streams
    /// can't be resumed.
    pub(super) fn stream(&self) -> Option<Stream> {
        let first = self.head.resumes.as_deref().filter(|_| self.head.last_event.is_some());
        let first = first.or(self.head.request_id.as_deref())?;
        self.route.resumable.then(|| Stream::of(first))
    }

    /// The run that the upstream of `slot` broke off.
    pub(super) fn broken_at(&self, slot: &Slot) -> Broken {
        Broken {
            request_id: self.head.request_id.clone().unwrap_or_default(),
            upstream: slot.upstream.clone(),
            started_unix_ms: slot.started_unix_ms,
            address: slot.address,
            fingerprint: self.fingerprint(),
            shared_parts: self.head.shared_parts.clone(),
        }
    }

    /// Fingerprint by which the request is recognized when it is sent again.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        crash::fingerprint(self.organisation.as_ref(), &self.incoming.target(), &self.incoming.body)
    }
}

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub struct History {
    /// Number of attempts that may have run the request.
    pub runs: u32,
    /// Upstreams that failed or refused the request.
    pub tried: Vec<Upstream>,
}

impl History {
    /// Whether the request may be sent again.
    pub fn may_send(&self, route: &Route) -> bool {
        self.runs == 0 || (route.repeatable() && self.runs < route.max_attempts)
    }
}

/// An upstream's response to a request, and the slot that the request holds.
pub(super) struct Sent {
    pub answer: Response,
    pub slot: Slot,
}

/// Authenticates the caller by its key; none if no key is needed.
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

/// The current configuration; an error before the first one was read, and while a later one may
/// have to be in effect.
pub fn configuration(context: &Context) -> Result<std::sync::Arc<Configuration>> {
    if context.may_lag() {
        let detail = "this VM's view of the store is too old; use another one";
        return Err(Error::new(Kind::OutOfContact, detail).retry_after(OTHER_VM_RETRY));
    }
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

/// Deadline of a request that arrived at `arrived`: the caller's, the route's at the latest.
pub(super) fn deadline(head: &Head, route: &Route, arrived: Time) -> Time {
    let timeout_ms = head.caller_timeout_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    arrived.after(Duration::from_millis(timeout_ms))
}

async fn admit(
    context: &Rc<Context>,
    peers: &Rc<Peers>,
    incoming: Request,
    head: Head,
    record: &mut Record,
) -> Result<Admitted> {
    let started_at = context.now();
    let configuration = configuration(context)?;
    record.version = configuration.version;
    let route = configuration.route(&head.host, &incoming.path).ok_or_else(|| {
        Error::new(Kind::UnknownRoute, format!("no route of {} matches", head.host))
    })?;
    record.route = route.name.clone();
    if let Some(resumes) = &head.resumes {
        record.record_resumes(resumes);
    }
    let tenant = authenticate(context, &configuration, &head, route.anonymous)?;
    if route.kind == RouteKind::Batch {
        return Err(Error::new(Kind::Malformed, "a batch route takes jobs only"));
    }
    check_memory(context)?;
    let trial = check_parts(context, &head)?;
    let resumed = resumed_origin(context, peers, &head, route).await?;
    let version = resumed.as_ref().map(|origin| origin.version.clone());
    let service = match resumed {
        Some(origin) => origin.service,
        None => route
            .target(context.random())
            .cloned()
            .ok_or_else(|| Error::new(Kind::NoUpstream, "the route names no service"))?,
    };
    if let Some(tenant) = tenant {
        record.organisation = tenant.organisation.to_string();
        check_rate(peers, tenant, version.is_some(), record).await?;
    }
    Ok(Admitted {
        organisation: tenant.map(|tenant| tenant.organisation.clone()),
        authenticated: tenant.is_some(),
        deadline: deadline(&head, route, started_at),
        started_at,
        service,
        version,
        trial,
        route: route.clone(),
        incoming,
        head,
    })
}

/// Origin of the stream that a caller resumes; none if the request begins one.
async fn resumed_origin(
    context: &Rc<Context>,
    peers: &Rc<Peers>,
    head: &Head,
    route: &Route,
) -> Result<Option<Origin>> {
    if !route.resumable || head.last_event.is_none() {
        return Ok(None);
    }
    let stream = Stream::of(head.resumes.as_deref().unwrap_or_default());
    let only_service = match route.targets.as_slice() {
        [(service, _)] => Some(service),
        _ => None,
    };
    let resumed =
        Resumed { stream, service: only_service, attempt: Duration::from_millis(route.timeout_ms) };
    let Some(origin) = resume::origin(context, peers, resumed).await else {
        let detail = "which version began the stream isn't known";
        return Err(Error::new(Kind::NoUpstream, detail).retry_after(retry_after(context, 0)));
    };
    if !route.targets.iter().any(|(service, _)| service == &origin.service) {
        let detail = format!("the route no longer leads to {}, which began it", origin.service);
        return Err(Error::new(Kind::NoUpstream, detail).retry_after(VERSION_GONE_RETRY));
    }
    Ok(Some(origin))
}

/// Sends a request until an upstream responds; `resume` is the last event of a
/// broken stream that the caller has already received.
pub(super) async fn send(
    context: &Rc<Context>,
    admitted: &Admitted,
    history: &mut History,
    resume: Option<u64>,
    record: &mut Record,
) -> Result<Sent> {
    let mut patience = Patience::new(context, admitted, resume.is_some());
    loop {
        check_deadline_and_contact(context, admitted, history)?;
        check_quarantine(context, admitted, history)?;
        check_version(context, admitted, history)?;
        let Some(choice) = selection::select(context, admitted, history) else {
            selection::wait(context, admitted, history, &mut patience).await?;
            continue;
        };
        // A stream that is resumed has already cost its callers and upstreams time.
        if history.runs == 0 && resume.is_none() && admitted.version.is_none() {
            check_latency(context, admitted, &choice)?;
        }
        let Some(slot) = context.take_slot(choice.key, Use::Online) else { continue };
        let Some(send_by) = slot.admit().await else {
            record.at_limit.push(slot.upstream.to_string());
            continue;
        };
        let opened_by = match admitted.version {
            Some(_) => match identity::identity(context, &slot).await {
                Identity::Confirmed(by) => by,
                Identity::Other => {
                    slot.record_other();
                    history.tried.push(slot.upstream.clone());
                    continue;
                }
                Identity::Unreached(failure) => {
                    record_unsent(history, &slot, failure, record);
                    continue;
                }
            },
            None => Time::NEVER,
        };
        record.record_attempt(&slot);
        record.expected_ms = choice.expected_ms;
        let (upstream, request) =
            (slot.upstream.clone(), request(context, admitted, &slot, resume));
        let due = Due { opened_by, ..reading::head(context, admitted, history, send_by) };
        let answer = match context.pool.send(slot.address, request, due).await {
            Ok(answer) => answer,
            Err(Failure::Late) => {
                slot.record_late();
                continue;
            }
            Err(failure @ Failure::NotSent(_)) => {
                record_unsent(history, &slot, failure, record);
                continue;
            }
            Err(failure) => {
                record_broken_run(context, admitted, history, &slot, failure, record).await?;
                continue;
            }
        };
        record.through.extend(answer.through.map(|peer| peer.to_string()));
        let request_id = admitted.head.request_id.as_deref().unwrap_or_default();
        let classification = context.protocol.classify(answer.status, &answer.headers, request_id);
        let classification = classification.over(answer.reused);
        slot.record_answer(&classification, request_id);
        if classification.refused {
            record.reason = format!("refused with {}", answer.status.as_u16());
            if answer.status == StatusCode::MISDIRECTED_REQUEST {
                slot.record_failure("another upstream uses its address");
            }
            history.tried.push(upstream);
            if patience.record_refusal() {
                return Err(no_upstream_error(
                    context,
                    history,
                    Kind::Overloaded,
                    "all upstreams are full",
                ));
            }
            continue;
        }
        let is_final = FINAL_STATUSES.contains(&answer.status.as_u16());
        if !classification.matches_request || !is_final {
            context.pool.close_idle(slot.address);
            let reason = match is_final {
                true => "the answer doesn't name this request".to_owned(),
                false => format!("{} is no final status", answer.status.as_u16()),
            };
            record_failed_run(context, admitted, history, upstream, reason, record)?;
            continue;
        }
        history.runs += 1;
        return Ok(Sent { answer, slot });
    }
}

/// Turns an upstream's response into the caller's; none if the request is to be sent again.
async fn reply(
    context: &Rc<Context>,
    admitted: &Admitted,
    history: &mut History,
    sent: Sent,
    record: &mut Record,
) -> Result<Option<Reply>> {
    let Sent { mut answer, slot } = sent;
    let request_id = admitted.head.request_id.as_deref().unwrap_or_default();
    let classification = context.protocol.classify(answer.status, &answer.headers, request_id);
    let headers = context.protocol.caller_headers(&answer.headers);
    let status = answer.status;
    record.status = status.as_u16();
    if status.is_success() && classification.event_stream {
        let sent = Sent { answer, slot };
        let body = Body::Events(Relay::stream(context, admitted, history, sent, record));
        return Ok(Some(Reply { status, headers, body }));
    }
    answer.body.bound(reading::whole(admitted, history));
    let mut collected = reading::collect(context, &mut answer.body, admitted.deadline).await;
    if collected.is_ok() && !answer.framed && !crash::outlives_answer(context, &slot).await {
        let reason = "the upstream was gone at the end of its answer";
        collected = Err(Cut::Failed(Failure::Sent(reason.to_owned())));
    }
    let body = match collected {
        Ok(body) => body,
        Err(Cut::Shortage) => {
            reading::record_shortage(&slot, request_id);
            let detail = "no memory is left for a large answer";
            return Err(Error::new(Kind::OutcomeUnknown, detail));
        }
        Err(Cut::Failed(failure)) if !admitted.deadline.passed(context.now()) => {
            history.runs -= 1;
            record_broken_run(context, admitted, history, &slot, failure, record).await?;
            return Ok(None);
        }
        Err(Cut::Failed(_)) => {
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
        crash::record_completed(context, &admitted.head.shared_parts);
    }
    record.conclude("answered");
    Ok(Some(Reply { status, headers, body: Body::Whole(body) }))
}

/// Records that no connection to an upstream could be opened.
fn record_unsent(history: &mut History, slot: &Slot, failure: Failure, record: &mut Record) {
    let reason = failure.to_string();
    slot.record_failure(&reason);
    slot.record_gone();
    record.reason = reason;
    history.tried.push(slot.upstream.clone());
}

/// Records a run that its upstream broke off; an error if the request may not be sent again.
async fn record_broken_run(
    context: &Rc<Context>,
    admitted: &Admitted,
    history: &mut History,
    slot: &Slot,
    failure: Failure,
    record: &mut Record,
) -> Result<()> {
    reading::record(slot, &record.request_id, &failure);
    let reason = failure.to_string();
    slot.record_failure(&reason);
    crash::probe(context, admitted.broken_at(slot)).await;
    record_failed_run(context, admitted, history, slot.upstream.clone(), reason, record)
}

/// Records a run that failed; an error if the request may not be sent again.
fn record_failed_run(
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
