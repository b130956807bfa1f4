//! Bounds of the answers of upstreams, by the path on which they are read.
//!
//! `transport::bound` decides; here stand the times and sizes, and what follows when one is
//! passed. While a request may be sent elsewhere, an answer that has begun but brings no event
//! is given up early enough for another attempt within the route's latency target. On the last
//! attempt nobody gains by that, so only the request's deadline and the bounds in bytes hold.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::context::Context;
use super::event;
use super::exchange::{Admitted, History};
use super::held::{Charged, Kind, MAX_ANSWER_BYTES, SMALL_BYTES};
use super::slot::Slot;
use super::unread::SLOW_AFTER;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::transport::bound::Terms;
use crate::transport::{Body, Due, Failure};

/// Connect timeout of upstreams: far above the network's delays, and short enough for
/// another attempt within the latency target.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Wait for a response head after which a retryable request goes to another upstream.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Wait for the first event after the head.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wait for the next event where a stream may go on at another upstream: callers leave 2 s
/// after an event, so it must have gone on by then.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Bounds of the wait for the rest of a head, or of a first event, that has begun: half of the
/// latency target, so that another attempt can meet it.
const MIN_BEGUN_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_BEGUN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of an event on the wire, in bytes: chunks of a few bytes each frame an event of
/// the maximum size with eight times its bytes.
const EVENT_WIRE_BYTES: usize = 8 * event::MAX_EVENT_BYTES;
/// Maximum size on the wire of an answer that is not a stream, in bytes.
const ANSWER_WIRE_BYTES: usize = 2 * MAX_ANSWER_BYTES;
/// Bytes of such an answer that count as progress.
const STEP_BYTES: usize = 64 << 10;

/// Connect timeout of items.
const ITEM_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait for the head or the next event of an item.
const ITEM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum time that one attempt at an item may take; the deadline that its upstream is told.
pub(super) const ITEM_DEADLINE: Duration = Duration::from_millis(30_000);

/// When the head of an online attempt's answer is due, if it is sent until `send`.
pub(super) fn head(context: &Context, admitted: &Admitted, history: &History, send: Time) -> Due {
    let next = History { runs: history.runs + 1, tried: Vec::new() };
    let now = context.now();
    if !next.may_send(&admitted.route) {
        return Due { send, ..Due::by(admitted.deadline, CONNECT_TIMEOUT) };
    }
    Due {
        send,
        connect: CONNECT_TIMEOUT,
        head: now.after(HEAD_TIMEOUT).min(admitted.deadline),
        begun: begun(admitted),
        opened_by: Time::NEVER,
    }
}

/// Bounds of a stream of events; `resumed` if the caller already has its first event.
pub(super) fn events(admitted: &Admitted, history: &History, resumed: bool) -> Terms {
    if !history.may_send(&admitted.route) {
        return Terms { until: admitted.deadline, ..Terms::bytes(EVENT_WIRE_BYTES) };
    }
    let (first, begun) = match resumed {
        true => (EVENT_TIMEOUT, EVENT_TIMEOUT),
        false => (FIRST_EVENT_TIMEOUT, begun(admitted)),
    };
    Terms {
        until: admitted.deadline,
        first,
        begun,
        next: EVENT_TIMEOUT,
        step: None,
        bytes: EVENT_WIRE_BYTES,
    }
}

/// Bounds of an online answer that is read whole.
pub(super) fn whole(admitted: &Admitted, history: &History) -> Terms {
    if !history.may_send(&admitted.route) {
        return Terms { until: admitted.deadline, ..Terms::bytes(ANSWER_WIRE_BYTES) };
    }
    Terms {
        until: admitted.deadline,
        first: EVENT_TIMEOUT,
        begun: begun(admitted),
        next: EVENT_TIMEOUT,
        step: Some(STEP_BYTES),
        bytes: ANSWER_WIRE_BYTES,
    }
}

/// When the head of an item's answer is due, if it is sent until `send`.
pub(super) fn item_head(send: Time, now: Time) -> Due {
    Due { send, ..Due::by(now.after(ITEM_TIMEOUT), ITEM_CONNECT_TIMEOUT) }
}

/// Bounds of an item's stream of events.
pub(super) fn item_events(now: Time) -> Terms {
    Terms {
        until: now.after(ITEM_DEADLINE),
        first: ITEM_TIMEOUT,
        begun: ITEM_TIMEOUT,
        next: ITEM_TIMEOUT,
        step: None,
        bytes: EVENT_WIRE_BYTES,
    }
}

/// The failure of an answer that can't be decoded.
pub(super) fn failure(body: &Body, error: &event::Error) -> Failure {
    match error {
        event::Error::TooLarge => body.too_large(),
        error => Failure::Sent(error.to_string()),
    }
}

/// Logs and counts an answer that was cut because it passed a bound.
pub(super) fn record(slot: &Slot, request: &str, failure: &Failure) {
    let Failure::Unbounded(passed) = failure else { return };
    metrics::counter!("serve_answers_cut_total", "cause" => passed.limit.as_str()).increment(1);
    emit!(slot.context.log, Event::AnswerUnbounded, "upstream" => slot.upstream.as_str(),
        "request" => request, "bytes" => passed.bytes, "bound" => passed.limit.as_str());
}

/// Counts an answer that was given up since no memory was left for it. That says nothing about
/// its upstream.
pub(super) fn record_shortage(slot: &Slot, request: &str) {
    metrics::counter!("serve_answers_cut_total", "cause" => "memory").increment(1);
    emit!(slot.context.log, Event::AnswerUnbounded, "upstream" => slot.upstream.as_str(),
        "request" => request, "bytes" => slot.context.held.bytes(), "bound" => "memory");
}

/// How an answer that is read whole came to no end.
pub(super) enum Cut {
    /// Its upstream failed.
    Failed(Failure),
    /// No memory is left for it.
    Shortage,
}

/// Reads an answer whole, by `deadline`. It is charged until the last part of it is dropped.
pub(super) async fn collect(
    context: &Context,
    body: &mut Body,
    deadline: Time,
) -> Result<Bytes, Cut> {
    let mut charge = context.held.charge(Kind::Answer);
    let mut collected = BytesMut::new();
    let (mut turn, mut waited) = (None, Duration::ZERO);
    loop {
        let chunk = match body.next().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            // Its upstream may have cut it because it stayed unread.
            Err(_) if waited >= SLOW_AFTER => return Err(Cut::Shortage),
            Err(failure) => return Err(Cut::Failed(failure)),
        };
        if collected.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(Cut::Failed(body.too_large()));
        }
        collected.extend_from_slice(&chunk);
        charge.set(collected.capacity());
        if turn.is_none() && collected.len() > SMALL_BYTES {
            let began = context.now();
            let left = began.until(deadline);
            let Ok(next) = tokio::time::timeout(left, context.held.turn(MAX_ANSWER_BYTES)).await
            else {
                return Err(Cut::Shortage);
            };
            turn = next;
            waited = began.until(context.now());
            body.postpone(waited);
        }
    }
    charge.set(collected.len());
    Ok(Bytes::from_owner(Charged { bytes: collected.freeze(), charge }))
}

fn begun(admitted: &Admitted) -> Duration {
    match admitted.route.latency_target_ms {
        0 => MAX_BEGUN_TIMEOUT,
        target_ms => {
            let half = Duration::from_millis(target_ms / 2);
            half.clamp(MIN_BEGUN_TIMEOUT, MAX_BEGUN_TIMEOUT)
        }
    }
}
