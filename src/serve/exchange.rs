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
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;

use super::configuration::{Configuration, Kind as RouteKind, Route, Tenant};
use super::crash;
use super::dialect::{Arrival, Head, Send};
use super::fleet::{Fleet, Slot, Use};
use super::peers::Peers;
use super::place::{self, Choice, Wish};
use super::rate::Grant;
use super::record::Record;
use super::relay::Relay;
use crate::clock::Time;
use crate::error::{Error, Kind, Result};
use crate::id::{Organisation, Service, Upstream};
use crate::route::Fingerprint;
use crate::transport::{Answer, Failure};

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
    Events(LocalBoxStream<'static, std::result::Result<Bytes, Broken>>),
}

/// A stream that can't be finished.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the stream can't be finished")]
pub struct Broken;

/// A request that was let in.
#[derive(Clone)]
pub struct Admitted {
    pub(super) arrival: Arrival,
    pub(super) head: Head,
    pub(super) route: Route,
    pub(super) service: Service,
    pub(super) organisation: Option<Organisation>,
    pub(super) keyed: bool,
    pub(super) deadline: Time,
    pub(super) begun: Time,
}

impl Admitted {
    /// What the request is known by if it comes again.
    pub(super) fn print(&self) -> Fingerprint {
        crash::print(self.organisation.as_ref(), &self.arrival.target(), &self.arrival.body)
    }
}

/// Sends of one request so far.
#[derive(Debug, Default)]
pub struct Course {
    /// Upstreams that may have run it.
    pub runs: u32,
    /// Upstreams that failed or refused it.
    pub tried: Vec<Upstream>,
}

impl Course {
    /// Whether it may be sent once more.
    pub fn may_send(&self, route: &Route) -> bool {
        self.runs == 0 || (route.repeatable() && self.runs < route.max_attempts)
    }
}

/// An upstream's answer to a request, and the slot in which it runs.
pub(super) struct Sent {
    pub answer: Answer,
    pub slot: Slot,
}

/// Finds the organisation of a key. Not keyed: no organisation.
pub fn identify<'a>(
    fleet: &Fleet,
    configuration: &'a Configuration,
    head: &Head,
    anonymous: bool,
) -> Result<Option<&'a Tenant>> {
    if anonymous || !configuration.has_tenants() {
        return Ok(None);
    }
    if !fleet.in_contact() {
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
pub fn configuration(fleet: &Fleet) -> Result<std::sync::Arc<Configuration>> {
    fleet.configuration().ok_or_else(|| {
        let detail = "this VM has read no configuration yet; use another one";
        Error::new(Kind::OutOfContact, detail).retry_after(OTHER_VM_RETRY)
    })
}

/// Serves one online request.
pub async fn serve(
    fleet: &Rc<Fleet>,
    peers: &Rc<Peers>,
    arrival: Arrival,
    head: Head,
    record: &mut Record,
) -> Result<Reply> {
    let admitted = admit(fleet, peers, arrival, head, record).await?;
    let mut course = Course::default();
    loop {
        let sent = send(fleet, &admitted, &mut course, None, record).await?;
        match reply(fleet, &admitted, &mut course, sent, record).await? {
            Some(reply) => return Ok(reply),
            None => continue,
        }
    }
}

async fn admit(
    fleet: &Rc<Fleet>,
    peers: &Rc<Peers>,
    arrival: Arrival,
    head: Head,
    record: &mut Record,
) -> Result<Admitted> {
    let begun = fleet.now();
    let configuration = configuration(fleet)?;
    record.version = configuration.version;
    let route = configuration.route(&head.host, &arrival.path).ok_or_else(|| {
        Error::new(Kind::UnknownRoute, format!("no route of {} matches", head.host))
    })?;
    record.route = route.name.clone();
    let tenant = identify(fleet, &configuration, &head, route.anonymous)?;
    if route.kind == RouteKind::Batch {
        return Err(Error::new(Kind::Malformed, "a batch route takes jobs only"));
    }
    let service = route
        .target(fleet.draw())
        .ok_or_else(|| Error::new(Kind::NoUpstream, "the route names no service"))?;
    if let Some(tenant) = tenant {
        record.organisation = tenant.organisation.to_string();
        spend(peers, tenant, record).await?;
    }
    let patience = head.patience_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    Ok(Admitted {
        organisation: tenant.map(|tenant| tenant.organisation.clone()),
        keyed: tenant.is_some(),
        deadline: begun.after(Duration::from_millis(patience)),
        begun,
        service: service.clone(),
        route: route.clone(),
        arrival,
        head,
    })
}

async fn spend(peers: &Rc<Peers>, tenant: &Tenant, record: &mut Record) -> Result<()> {
    if tenant.rate_per_s <= 0.0 {
        return Ok(());
    }
    let (grant, source) = peers.take(tenant).await;
    record.token = source;
    let Grant::Exceeded(wait) = grant else { return Ok(()) };
    let detail = format!("{} has used up its rate and burst", tenant.organisation);
    Err(Error::new(Kind::RateExceeded, detail).retry_after(wait))
}

/// Sends a request until an upstream answers it; `resume` is the last event
/// that the caller already has of a broken stream.
pub(super) async fn send(
    fleet: &Rc<Fleet>,
    admitted: &Admitted,
    course: &mut Course,
    resume: Option<u64>,
    record: &mut Record,
) -> Result<Sent> {
    let mut refusals = 0;
    let search_until = fleet.now().after(NO_UPSTREAM_TIMEOUT);
    loop {
        check_time(fleet, admitted, course)?;
        check_crashes(fleet, admitted, course)?;
        let Some(choice) = choose(fleet, admitted, course) else {
            if !course.tried.is_empty() && refusals < MAX_REFUSALS {
                course.tried.clear();
                refusals += 1;
            } else if search_until.passed(fleet.now()) {
                return Err(unserved(fleet, course, Kind::NoUpstream, "no upstream is usable"));
            }
            tokio::time::sleep(NO_UPSTREAM_PAUSE).await;
            continue;
        };
        if course.runs == 0 && resume.is_none() {
            refuse_late(fleet, admitted, &choice)?;
        }
        let Some(slot) = fleet.occupy(choice.key, Use::Online) else { continue };
        record.attempts.push(slot.upstream.to_string());
        record.expected_ms = choice.expected_ms;
        let (upstream, request) = (slot.upstream.clone(), request(fleet, admitted, &slot, resume));
        let bound = bound(fleet, admitted, course);
        let sending = fleet.pool.send(slot.address, request, CONNECT_TIMEOUT);
        let answer = match tokio::time::timeout(bound, sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(Failure::NotSent(reason))) => {
                slot.failed(&reason);
                record.reason = reason;
                course.tried.push(upstream);
                continue;
            }
            Ok(Err(Failure::Sent(reason))) => {
                break_run(fleet, admitted, course, &slot, reason, record).await?;
                continue;
            }
            Err(_) => {
                let reason = "no answer in time".to_owned();
                break_run(fleet, admitted, course, &slot, reason, record).await?;
                continue;
            }
        };
        let name = admitted.head.request.as_deref().unwrap_or_default();
        let verdict = fleet.dialect.verdict(answer.status, &answer.headers, name);
        if verdict.refused {
            record.reason = format!("refused with {}", answer.status.as_u16());
            if answer.status == StatusCode::MISDIRECTED_REQUEST {
                slot.failed("another upstream has its address");
            }
            course.tried.push(upstream);
            refusals += 1;
            if refusals >= MAX_REFUSALS {
                return Err(unserved(fleet, course, Kind::Overloaded, "all upstreams are full"));
            }
            continue;
        }
        if !verdict.ours {
            fleet.pool.forget(slot.address);
            let reason = "the answer belongs to another request".to_owned();
            fail_run(fleet, admitted, course, upstream, reason, record)?;
            continue;
        }
        course.runs += 1;
        return Ok(Sent { answer, slot });
    }
}

/// Turns an upstream's answer into the caller's; none if another try follows.
async fn reply(
    fleet: &Rc<Fleet>,
    admitted: &Admitted,
    course: &mut Course,
    sent: Sent,
    record: &mut Record,
) -> Result<Option<Reply>> {
    let Sent { mut answer, slot } = sent;
    let name = admitted.head.request.as_deref().unwrap_or_default();
    let verdict = fleet.dialect.verdict(answer.status, &answer.headers, name);
    let headers = fleet.dialect.caller_headers(&answer.headers);
    let status = answer.status;
    record.status = status.as_u16();
    if status.is_success() && verdict.events {
        let sent = Sent { answer, slot };
        let body = Body::Events(Relay::stream(fleet, admitted, course, sent, record));
        return Ok(Some(Reply { status, headers, body }));
    }
    let bound = fleet.now().until(admitted.deadline);
    let collecting = answer.body.collect(MAX_ANSWER_BYTES);
    let body = match tokio::time::timeout(bound, collecting).await {
        Ok(Ok(body)) => body,
        Ok(Err(failure)) => {
            course.runs -= 1;
            break_run(fleet, admitted, course, &slot, failure.to_string(), record).await?;
            return Ok(None);
        }
        Err(_) => {
            let detail = "the deadline passed within the upstream's answer";
            return Err(Error::new(Kind::DeadlineExceeded, detail));
        }
    };
    if status.is_server_error() && course.may_send(&admitted.route) {
        record.reason = format!("failed with {}", status.as_u16());
        slot.failed(&record.reason);
        course.tried.push(slot.upstream.clone());
        return Ok(None);
    }
    if status.is_success() {
        slot.answered();
    }
    record.conclude("answered");
    Ok(Some(Reply { status, headers, body: Body::Whole(body) }))
}

/// Notes a run that its upstream broke off; an error if no other may follow.
async fn break_run(
    fleet: &Rc<Fleet>,
    admitted: &Admitted,
    course: &mut Course,
    slot: &Slot,
    reason: String,
    record: &mut Record,
) -> Result<()> {
    slot.failed(&reason);
    crash::look(fleet, slot.address, admitted.print()).await;
    fail_run(fleet, admitted, course, slot.upstream.clone(), reason, record)
}

/// Notes a run that failed; an error if no other may follow.
fn fail_run(
    fleet: &Fleet,
    admitted: &Admitted,
    course: &mut Course,
    upstream: Upstream,
    reason: String,
    record: &mut Record,
) -> Result<()> {
    course.runs += 1;
    course.tried.push(upstream);
    record.reason = reason.clone();
    if admitted.deadline.passed(fleet.now()) {
        return Err(Error::new(Kind::DeadlineExceeded, "the deadline passed after it was sent"));
    }
    if course.may_send(&admitted.route) {
        return Ok(());
    }
    Err(Error::new(Kind::OutcomeUnknown, format!("the upstream may have run it: {reason}")))
}

fn choose(fleet: &Fleet, admitted: &Admitted, course: &Course) -> Option<Choice> {
    let wish = Wish {
        service: &admitted.service,
        data_centre: &fleet.member.data_centre,
        tried: &course.tried,
        draw: fleet.draw(),
    };
    place::online(&fleet.table.borrow(), wish, fleet.now())
}

/// Refuses a request that would wait for a slot until its first event comes
/// too late to be of use. Where a slot is free nothing is gained by refusing.
fn refuse_late(fleet: &Fleet, admitted: &Admitted, choice: &Choice) -> Result<()> {
    if admitted.route.target_ms == 0 || choice.free {
        return Ok(());
    }
    let expected_ms = choice.expected_ms;
    let waited_ms = admitted.begun.until(fleet.now()).as_secs_f64() * 1e3;
    let target_ms = admitted.route.target_ms as f64;
    if waited_ms + expected_ms <= target_ms {
        return Ok(());
    }
    let detail = format!("its first event would take {expected_ms:.0} ms");
    let room_ms = waited_ms + expected_ms - target_ms;
    Err(Error::new(Kind::Overloaded, detail).retry_after(retry_after(fleet, room_ms as u64)))
}

/// When a refused caller should come back: once room is expected, spread, so
/// that not all come at once.
fn retry_after(fleet: &Fleet, room_ms: u64) -> Duration {
    Duration::from_millis(room_ms.max(MIN_RETRY_MS) + fleet.draw() % RETRY_SPREAD_MS)
}

fn unserved(fleet: &Fleet, course: &Course, kind: Kind, detail: &str) -> Error {
    if course.runs > 0 {
        return Error::new(Kind::OutcomeUnknown, detail);
    }
    Error::new(kind, detail).retry_after(retry_after(fleet, 0))
}

fn check_time(fleet: &Fleet, admitted: &Admitted, course: &Course) -> Result<()> {
    if admitted.deadline.passed(fleet.now()) {
        let detail = "the deadline passed";
        let kind = if course.runs > 0 { Kind::DeadlineExceeded } else { Kind::Overloaded };
        return Err(Error::new(kind, detail));
    }
    if admitted.keyed && course.runs == 0 && !fleet.in_contact() {
        let detail = "this VM can't confirm that keys are still valid; use another one";
        return Err(Error::new(Kind::OutOfContact, detail).retry_after(OTHER_VM_RETRY));
    }
    Ok(())
}

/// Ends a request that may have crashed too many upstreams.
fn check_crashes(fleet: &Fleet, admitted: &Admitted, course: &Course) -> Result<()> {
    let crashes = fleet.crashes.borrow();
    if crashes.is_empty() || !crashes.stops(admitted.print()) {
        return Ok(());
    }
    let detail = "upstreams that ran it crashed; it isn't sent any more";
    if course.runs > 0 {
        return Err(Error::new(Kind::OutcomeUnknown, detail));
    }
    Err(Error::new(Kind::NoUpstream, detail).retry_after(CRASHED_RETRY))
}

/// How long to wait for an answer's head.
fn bound(fleet: &Fleet, admitted: &Admitted, course: &Course) -> Duration {
    let left = fleet.now().until(admitted.deadline);
    let next = Course { runs: course.runs + 1, tried: Vec::new() };
    if next.may_send(&admitted.route) { left.min(HEAD_SILENCE) } else { left }
}

fn request(
    fleet: &Fleet,
    admitted: &Admitted,
    slot: &Slot,
    resume: Option<u64>,
) -> Request<Full<Bytes>> {
    let arrival = &admitted.arrival;
    let send = Send {
        upstream: &slot.upstream,
        organisation: admitted.organisation.as_ref(),
        left_ms: fleet.now().until(admitted.deadline).as_millis() as u64,
        last_event: resume.or(admitted.head.last_event),
    };
    let mut request = Request::new(Full::new(arrival.body.clone()));
    *request.method_mut() = arrival.method.clone();
    *request.uri_mut() = arrival.target().parse().unwrap_or_default();
    *request.headers_mut() = fleet.dialect.upstream_headers(&arrival.headers, &send);
    request
}
