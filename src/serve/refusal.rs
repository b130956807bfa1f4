//! Checks before a request is sent, and the errors of requests that are refused.
//!
//! An error of a request that has not run says when to come back; once the request may have
//! run, an error says only that its outcome is unknown.

use std::rc::Rc;
use std::time::Duration;

use super::configuration::Tenant;
use super::context::Context;
use super::crash::{self, Refusal};
use super::exchange::{Admitted, History};
use super::peers::Peers;
use super::place::{self, Choice, Room};
use super::protocol::Head;
use super::rate::Grant;
use super::record::Record;
use crate::clock::Time;
use crate::error::{Error, Kind, Result};

/// Minimum `Retry-After` of refused requests, in milliseconds.
const MIN_RETRY_MS: u64 = 200;
/// Random spread added to the `Retry-After` of refused requests, in milliseconds.
const RETRY_SPREAD_MS: u64 = 900;
/// `Retry-After` for callers that should use another VM.
pub(super) const OTHER_VM_RETRY: Duration = Duration::from_millis(200);
/// Minimum `Retry-After` of requests with a part of their prompts that is held off.
const MIN_PART_RETRY: Duration = Duration::from_secs(10);
/// `Retry-After` of quarantined requests.
const QUARANTINED_RETRY: Duration = Duration::from_secs(60);
/// `Retry-After` of a stream whose version no longer serves.
pub(super) const VERSION_GONE_RETRY: Duration = Duration::from_secs(60);

/// Refuses a request that would have to wait for a slot and miss its latency
/// target. A request that finds a free slot is never refused: refusing it
/// would relieve nobody.
pub(super) fn check_latency(context: &Context, admitted: &Admitted, choice: &Choice) -> Result<()> {
    if admitted.route.latency_target_ms == 0 || choice.free {
        return Ok(());
    }
    let expected_ms = choice.expected_ms;
    let waited_ms = admitted.started_at.until(context.now()).as_secs_f64() * 1e3;
    let latency_target_ms = admitted.route.latency_target_ms as f64;
    if waited_ms + expected_ms <= latency_target_ms {
        return Ok(());
    }
    let detail = format!("its first event would take {expected_ms:.0} ms");
    let wait_ms = waited_ms + expected_ms - latency_target_ms;
    Err(Error::new(Kind::Overloaded, detail).retry_after(retry_after(context, wait_ms as u64)))
}

/// `Retry-After` of a refused request: the time until a slot is expected plus a
/// random spread, so that callers don't all retry at once.
pub(super) fn retry_after(context: &Context, wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms.max(MIN_RETRY_MS) + context.random() % RETRY_SPREAD_MS)
}

/// Error of a request that finds no upstream.
pub(super) fn no_upstream_error(
    context: &Context,
    history: &History,
    kind: Kind,
    detail: &str,
) -> Error {
    if history.runs > 0 {
        return Error::new(Kind::OutcomeUnknown, detail);
    }
    Error::new(kind, detail).retry_after(retry_after(context, 0))
}

/// Error of a request whose upstreams are all at the limits that they named; the first of
/// them takes requests again at `opens_at`.
pub(super) fn at_limit_error(
    context: &Context,
    admitted: &Admitted,
    history: &History,
    opens_at: Time,
) -> Error {
    let detail = format!("all usable upstreams of {} are at their limits", admitted.service);
    if history.runs > 0 {
        return Error::new(Kind::OutcomeUnknown, detail);
    }
    let wait_ms = context.now().until(opens_at).as_millis() as u64;
    Error::new(Kind::Overloaded, detail).retry_after(retry_after(context, wait_ms))
}

/// Refuses a request while no memory is left for its answer.
pub(super) fn check_memory(context: &Context) -> Result<()> {
    if !context.held.is_full() {
        return Ok(());
    }
    metrics::counter!("serve_answers_cut_total", "cause" => "refused").increment(1);
    let detail = "callers that read slowly hold this VM's memory; use another one";
    Err(Error::new(Kind::Overloaded, detail).retry_after(retry_after(context, 0)))
}

/// Refuses a request whose deadline has passed, or whose key can't be confirmed any more.
pub(super) fn check_deadline_and_contact(
    context: &Context,
    admitted: &Admitted,
    history: &History,
) -> Result<()> {
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

/// Refuses to resume a stream of a version that no longer serves.
pub(super) fn check_version(
    context: &Context,
    admitted: &Admitted,
    history: &History,
) -> Result<()> {
    let Some(version) = &admitted.version else { return Ok(()) };
    let room = place::room(&context.table.borrow(), &admitted.service, version, context.now());
    if room != Room::Gone {
        return Ok(());
    }
    let detail = format!("no upstream of version {version} is left, which began the stream");
    if history.runs > 0 {
        return Err(Error::new(Kind::OutcomeUnknown, detail));
    }
    Err(Error::new(Kind::NoUpstream, detail).retry_after(VERSION_GONE_RETRY))
}

/// Refuses a quarantined request.
pub(super) fn check_quarantine(
    context: &Context,
    admitted: &Admitted,
    history: &History,
) -> Result<()> {
    let fingerprint = || admitted.fingerprint();
    let in_trial = admitted.trial && history.runs == 0;
    let parts = &admitted.head.shared_parts;
    match crash::check(context, fingerprint, parts, in_trial) {
        Some(refusal) => Err(quarantine_error(context, history, &refusal)),
        None => Ok(()),
    }
}

/// Refuses a request before it costs its organisation a token; whether it is let through
/// as a trial although a part of its prompt is held off.
pub(super) fn check_parts(context: &Context, head: &Head) -> Result<bool> {
    let held = context.crashes.borrow().parts.held_part(&head.shared_parts);
    match held {
        Some((part, held)) if !crash::begin_trial(context, part) => {
            Err(quarantine_error(context, &History::default(), &Refusal::Part(part, held)))
        }
        held => Ok(held.is_some()),
    }
}

fn quarantine_error(context: &Context, history: &History, refusal: &Refusal) -> Error {
    metrics::counter!("serve_requests_held_off_total", "by" => refusal.as_str()).increment(1);
    let (detail, wait) = match refusal {
        Refusal::Request => {
            ("upstreams that ran it crashed; it isn't sent any more".to_owned(), QUARANTINED_RETRY)
        }
        Refusal::Part(part, held) => {
            let wait = context.now().until(held.trial_at).max(MIN_PART_RETRY);
            (format!("upstreams that ran part {part} of its prompt crashed; it is held off"), wait)
        }
    };
    if history.runs > 0 {
        return Error::new(Kind::OutcomeUnknown, detail);
    }
    Error::new(Kind::NoUpstream, detail).retry_after(wait)
}

/// Takes a token of an organisation, for a new request or for a stream that is taken up.
pub(super) async fn check_rate(
    peers: &Rc<Peers>,
    tenant: &Tenant,
    is_resumed: bool,
    record: &mut Record,
) -> Result<()> {
    if tenant.rate_per_s <= 0.0 {
        return Ok(());
    }
    let taken = peers.take_token(tenant, is_resumed).await;
    record.token = taken.source;
    record.token_refusals = taken.refusals;
    let Grant::Exceeded(wait) = taken.grant else { return Ok(()) };
    let detail = format!("{} has used up its rate and burst", tenant.organisation);
    Err(Error::new(Kind::RateExceeded, detail).retry_after(wait))
}
