//! Relay of an event stream to the caller, resumed at other upstreams if needed.
//!
//! Complete events are forwarded in order as they arrive. When an upstream
//! breaks off or stalls, and the route allows it, the stream is resumed at
//! another upstream after the last forwarded event; the caller sees a single
//! response.
//!
//! What is ready is handed over in slices, and no more is read from the upstream before the
//! caller's connection asks for it. While it doesn't, no deadline of the upstream runs, and an
//! upstream that breaks off a response that stayed unread isn't taken to have failed.

use std::rc::Rc;

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::LocalBoxStream;
use http::StatusCode;

use super::context::Context;
use super::crash;
use super::event::{self, Decoder};
use super::exchange::{self, Admitted, History, Incomplete, Sent};
use super::held::{Charge, Kind, SMALL_BYTES, Turn};
use super::identity;
use super::origin::Origin;
use super::reading;
use super::record::Record;
use super::slot::Slot;
use super::unread::{self, Pause};
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::transport::{Failure, Response};

/// Bytes that are handed to the caller's connection at once.
const SLICE_BYTES: usize = 16 << 10;
/// Bytes that actix may hold of a response that its caller doesn't read: its write buffer, and
/// the slice that went beyond it.
const WRITE_BUFFER_BYTES: usize = (32 << 10) + SLICE_BYTES;

/// State of a relayed stream.
pub struct Relay {
    context: Rc<Context>,
    admitted: Admitted,
    history: History,
    answer: Response,
    slot: Slot,
    decoder: Decoder,
    /// Events that were decoded and not handed over yet.
    ready: Bytes,
    /// Bytes handed over so far.
    handed_over: usize,
    charge: Charge,
    /// Turn to read a large event.
    turn: Option<Turn>,
    pause: Pause,
    record: Record,
    first_event: Option<Time>,
    start: Start,
    finished: bool,
}

/// What is known of the process that began the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// It is that of the slot.
    Known,
    /// It is taken for that of the slot.
    Assumed,
    /// It may be another one; nobody is told of the origin yet.
    Doubted,
}

impl Relay {
    /// Starts to relay an upstream's response. Dropping the stream cancels it.
    pub(super) fn stream(
        context: &Rc<Context>,
        admitted: &Admitted,
        history: &mut History,
        sent: Sent,
        record: &mut Record,
    ) -> LocalBoxStream<'static, Result<Bytes, Incomplete>> {
        let mut relay = Self {
            context: context.clone(),
            decoder: Decoder::new(admitted.head.last_event),
            admitted: admitted.clone(),
            history: std::mem::take(history),
            answer: sent.answer,
            slot: sent.slot,
            ready: Bytes::new(),
            handed_over: 0,
            charge: context.held.charge(Kind::Answer),
            turn: None,
            pause: Pause::default(),
            record: record.take(),
            first_event: None,
            start: Start::Known,
            finished: false,
        };
        relay.bound_answer();
        unread::stream(relay)
    }

    /// The next slice of the stream; none at its end.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, Incomplete>> {
        self.end_pause();
        if self.finished {
            return None;
        }
        loop {
            if !self.ready.is_empty() {
                return Some(Ok(self.hand_over()));
            }
            match self.take_events() {
                Ok(Some(events)) => {
                    self.ready = events;
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    let failure = reading::failure(&self.answer.body, &error);
                    let reason = self.record_failure(&failure);
                    if !self.resume(&reason).await {
                        return self.fail(&reason);
                    }
                    continue;
                }
            }
            let failure = match self.answer.body.next().await {
                Ok(Some(chunk)) => {
                    self.decoder.push(&chunk);
                    self.charge.set(self.decoder.held());
                    if self.turn.is_none()
                        && self.decoder.has_more_than(SMALL_BYTES)
                        && !self.wait_for_turn().await
                    {
                        reading::record_shortage(&self.slot, &self.record.request_id);
                        return self.fail("no memory is left for a large event");
                    }
                    continue;
                }
                Ok(None) => match self.decoder.finish() {
                    Ok(()) if !self.is_whole().await => {
                        Failure::Sent("the upstream was gone at the end of its answer".to_owned())
                    }
                    Ok(()) => {
                        self.finished = true;
                        let parts = &self.admitted.head.shared_parts;
                        crash::record_completed(&self.context, parts);
                        self.record.conclude("answered");
                        return None;
                    }
                    Err(error) => Failure::Sent(error.to_string()),
                },
                Err(failure) => failure,
            };
            let reason = match self.pause.is_slow() {
                true => self.record_unread(&failure),
                false => self.record_failure(&failure),
            };
            crash::probe(&self.context, self.admitted.broken_at(&self.slot)).await;
            if !self.resume(&reason).await {
                return self.fail(&reason);
            }
        }
    }

    /// Waits for the turn to read a large event; false if the deadline passes before.
    async fn wait_for_turn(&mut self) -> bool {
        let began = self.context.now();
        let left = began.until(self.admitted.deadline);
        let turn = self.context.held.turn(event::MAX_EVENT_BYTES);
        let Ok(turn) = tokio::time::timeout(left, turn).await else { return false };
        self.turn = turn;
        let span = began.until(self.context.now());
        self.answer.body.postpone(span);
        self.pause.record(span);
        true
    }

    /// Takes a slice of what is ready.
    fn hand_over(&mut self) -> Bytes {
        let slice = self.ready.split_to(self.ready.len().min(SLICE_BYTES));
        self.handed_over = self.handed_over.saturating_add(slice.len());
        let in_buffer = self.handed_over.min(WRITE_BUFFER_BYTES);
        self.charge.set(self.ready.len() + self.decoder.held() + in_buffer);
        self.pause.begin(self.context.now());
        slice
    }

    /// The caller's connection asks for more.
    fn end_pause(&mut self) {
        let was_slow = self.pause.is_slow();
        let span = self.pause.end(self.context.now());
        self.answer.body.postpone(span);
        if self.pause.is_slow() && !was_slow {
            self.log_slow(span);
        }
        self.charge.set(self.ready.len() + self.decoder.held());
    }

    fn log_slow(&self, span: Duration) {
        emit!(self.context.log, Event::ReaderSlow, "request" => self.record.request_id.as_str(),
            "upstream" => self.slot.upstream.as_str(), "unread_ms" => span.as_millis() as u64,
            "held_bytes" => self.context.held.bytes());
    }

    pub(super) fn context(&self) -> Rc<Context> {
        self.context.clone()
    }

    /// Deadline of the request.
    pub(super) fn deadline(&self) -> Time {
        self.admitted.deadline
    }

    /// How long the caller's connection has asked for nothing.
    pub(super) fn unread_for(&self) -> Duration {
        self.pause.lasts(self.context.now())
    }

    /// Ends a stream that stayed unread past its deadline.
    pub(super) fn end_unread(&mut self) {
        self.log_slow(self.unread_for());
        metrics::counter!("serve_answers_cut_total", "cause" => "unread").increment(1);
        self.record.reason = "the caller didn't read the stream by its deadline".to_owned();
        self.record.conclude("broken off");
    }

    /// Records that the upstream broke off a response that had stayed unread; the reason.
    fn record_unread(&self, failure: &Failure) -> String {
        metrics::counter!("serve_answers_cut_total", "cause" => "unread").increment(1);
        format!("broken off after it stayed unread: {failure}")
    }

    /// Records that the upstream failed; the reason.
    fn record_failure(&self, failure: &Failure) -> String {
        reading::record(&self.slot, &self.record.request_id, failure);
        let reason = failure.to_string();
        self.slot.record_failure(&reason);
        reason
    }

    /// States the bounds of the current upstream's answer.
    fn bound_answer(&mut self) {
        let resumed = self.first_event.is_some();
        self.answer.body.bound(reading::events(&self.admitted, &self.history, resumed));
    }

    /// All complete events that have arrived; none if there are none yet.
    fn take_events(&mut self) -> Result<Option<Bytes>, event::Error> {
        let mut events = BytesMut::new();
        while events.len() < SLICE_BYTES {
            match self.decoder.pop() {
                // Not copied: it is the only event, and may be a large one.
                Ok(Some(event)) if events.is_empty() && event.raw.len() >= SLICE_BYTES => {
                    self.record_events();
                    return Ok(Some(event.raw));
                }
                Ok(Some(event)) => {
                    events.extend_from_slice(&event.raw);
                }
                Ok(None) => break,
                // Events before the error are valid and are forwarded first.
                Err(_) if !events.is_empty() => break,
                Err(error) => return Err(error),
            }
        }
        if events.is_empty() {
            return Ok(None);
        }
        self.record_events();
        Ok(Some(events.freeze()))
    }

    /// Records that complete events arrived.
    fn record_events(&mut self) {
        self.answer.body.record_progress();
        self.turn = None;
        if self.first_event.is_none() {
            let now = self.context.now();
            let first_ms = self.admitted.started_at.until(now).as_secs_f64() * 1e3;
            self.first_event = Some(now);
            self.record.first_event_ms = Some(first_ms as u64);
            // Only streams that go on have a version by now, and their process is known.
            let is_known = self.admitted.version.is_some()
                || identity::is_by_view(&self.context, &self.answer);
            self.start = match is_known {
                true => Start::Known,
                false if identity::is_doubted(&self.context, &self.slot) => Start::Doubted,
                false => Start::Assumed,
            };
            self.slot.record_first_event();
            if self.start != Start::Doubted {
                self.record_origin(now);
            }
            metrics::histogram!("serve_first_event_seconds").record(first_ms / 1e3);
        } else if self.start != Start::Known && identity::is_by_view(&self.context, &self.answer) {
            self.confirm_start();
        }
    }

    /// Takes the origin from a view that is younger than the connection.
    fn confirm_start(&mut self) {
        let table = self.context.table.borrow();
        let entry = table.get(self.slot.key).map(|entry| &entry.registration);
        let Some(origin) = entry.map(Origin::of) else { return };
        drop(table);
        self.settle_start(origin);
    }

    /// Binds the stream to an origin that was only assumed before.
    fn settle_start(&mut self, origin: Origin) {
        self.slot.origin = origin;
        self.start = Start::Known;
        if let Some(stream) = self.admitted.stream() {
            self.context.origins.borrow_mut().forget(stream);
        }
        self.record_origin(self.context.now());
    }

    /// Binds the stream to the service and version that sent its first event.
    fn record_origin(&mut self, now: Time) {
        let Some(stream) = self.admitted.stream() else { return };
        let origin = &self.slot.origin;
        self.admitted.version = Some(origin.version.clone());
        let mut origins = self.context.origins.borrow_mut();
        origins.record(stream, origin, self.admitted.deadline, now);
        drop(origins);
        self.context.stream_begun.notify_one();
    }

    /// Resumes the stream at another upstream; false if that isn't allowed or fails.
    async fn resume(&mut self, reason: &str) -> bool {
        self.decoder.restart();
        self.turn = None;
        let last = self.decoder.last();
        self.record.reason = reason.to_owned();
        self.history.tried.push(self.slot.upstream.clone());
        // Close the broken response first: two upstreams must not run the same request.
        self.answer.body.close();
        if !self.find_start().await {
            self.record.reason = format!("{reason}; which version began the stream isn't known");
            return false;
        }
        loop {
            let deadline_passed = self.admitted.deadline.passed(self.context.now());
            if deadline_passed || !self.history.may_send(&self.admitted.route) {
                return false;
            }
            let sent = exchange::send(
                &self.context,
                &self.admitted,
                &mut self.history,
                last,
                &mut self.record,
            );
            let Ok(sent) = sent.await else { return false };
            if self.goes_on(&sent.answer) {
                self.log_resumed(&sent.slot, reason, last);
                self.answer = sent.answer;
                self.slot = sent.slot;
                self.pause.reset();
                self.bound_answer();
                return true;
            }
            let status = sent.answer.status.as_u16();
            self.record.reason = format!("answered with {status} in place of the stream's rest");
            sent.slot.record_failure(&self.record.reason);
            self.history.tried.push(sent.slot.upstream.clone());
        }
    }

    /// Finds out which process began a stream that has broken off; false if that isn't known.
    async fn find_start(&mut self) -> bool {
        if self.first_event.is_none() || self.start == Start::Known {
            return true;
        }
        let was_doubted = self.start == Start::Doubted;
        let opened_at = self.answer.opened_at;
        let found =
            identity::origin_of_broken(&self.context, &self.slot, opened_at, was_doubted).await;
        let Some(origin) = found else { return false };
        self.settle_start(origin);
        true
    }

    /// Whether the end of the answer is that of the stream.
    async fn is_whole(&self) -> bool {
        self.answer.framed || crash::outlives_answer(&self.context, &self.slot).await
    }

    /// Whether an answer is the next part of the stream: only events may follow events.
    fn goes_on(&self, answer: &Response) -> bool {
        let request_id = self.admitted.head.request_id.as_deref().unwrap_or_default();
        let protocol = &self.context.protocol;
        let classification = protocol.classify(answer.status, &answer.headers, request_id);
        answer.status == StatusCode::OK && classification.event_stream
    }

    fn log_resumed(&self, next: &Slot, reason: &str, last: Option<u64>) {
        let version = if next.origin == self.slot.origin { "same" } else { "other" };
        metrics::counter!("serve_streams_resumed_total", "by" => "relay", "version" => version)
            .increment(1);
        emit!(self.context.log, Event::StreamResumed, "request" => self.record.request_id.as_str(),
            "upstream" => self.slot.upstream.as_str(), "version" => self.slot.origin.version.as_str(),
            "next" => next.upstream.as_str(), "next_version" => next.origin.version.as_str(),
            "reason" => reason, "last_event" => last.map_or(-1, |last| last as i64));
    }

    fn fail(&mut self, reason: &str) -> Option<Result<Bytes, Incomplete>> {
        self.finished = true;
        self.record.reason = reason.to_owned();
        self.record.conclude("broken off");
        Some(Err(Incomplete))
    }
}
