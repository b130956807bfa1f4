//! Passing a stream of events on, over more than one upstream if need be.
//!
//! Whole events pass in order as they arrive. When an upstream breaks off or
//! falls silent, a route that allows it goes on at another one after the last
//! event that passed; the caller sees one answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};

use super::context::{Context, Slot};
use super::crash;
use super::event::Decoder;
use super::exchange::{self, Admitted, History, Incomplete, Sent};
use super::record::Record;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::transport::Response;

/// Silence within a stream after which it goes on at another upstream.
const SILENCE: Duration = Duration::from_millis(1_000);

/// A stream that is passed on.
pub struct Relay {
    context: Rc<Context>,
    admitted: Admitted,
    history: History,
    answer: Response,
    slot: Slot,
    decoder: Decoder,
    record: Record,
    first_event: Option<Time>,
    finished: bool,
}

impl Relay {
    /// Begins to pass on an upstream's answer. Dropping the stream cancels it.
    pub(super) fn stream(
        context: &Rc<Context>,
        admitted: &Admitted,
        history: &mut History,
        sent: Sent,
        record: &mut Record,
    ) -> LocalBoxStream<'static, Result<Bytes, Incomplete>> {
        let relay = Self {
            context: context.clone(),
            decoder: Decoder::new(admitted.head.last_event),
            admitted: admitted.clone(),
            history: std::mem::take(history),
            answer: sent.answer,
            slot: sent.slot,
            record: record.take(),
            first_event: None,
            finished: false,
        };
        stream::unfold(relay, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        })
        .boxed_local()
    }

    async fn next(&mut self) -> Option<Result<Bytes, Incomplete>> {
        if self.finished {
            return None;
        }
        loop {
            match self.take_events() {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) => {}
                Err(reason) => {
                    if !self.go_on(&reason).await {
                        return self.give_up(&reason);
                    }
                    continue;
                }
            }
            let reason = match tokio::time::timeout(self.patience(), self.answer.body.next()).await
            {
                Ok(Ok(Some(piece))) => {
                    self.decoder.push(&piece);
                    continue;
                }
                Ok(Ok(None)) => match self.decoder.finish() {
                    Ok(()) => {
                        self.finished = true;
                        self.record.conclude("answered");
                        return None;
                    }
                    Err(fault) => fault.to_string(),
                },
                Ok(Err(failure)) => failure.to_string(),
                Err(_) => "the stream fell silent".to_owned(),
            };
            self.slot.record_failure(&reason);
            crash::probe(&self.context, self.slot.address, self.admitted.fingerprint()).await;
            if !self.go_on(&reason).await {
                return self.give_up(&reason);
            }
        }
    }

    /// All whole events that have arrived.
    fn take_events(&mut self) -> Result<Option<Bytes>, String> {
        let mut events = BytesMut::new();
        loop {
            match self.decoder.pop() {
                Ok(Some(event)) => events.extend_from_slice(&event.raw),
                Ok(None) => break,
                // What passed before the fault is good and goes first.
                Err(_) if !events.is_empty() => break,
                Err(fault) => return Err(fault.to_string()),
            }
        }
        if events.is_empty() {
            return Ok(None);
        }
        if self.first_event.is_none() {
            let now = self.context.now();
            let first_ms = self.admitted.begun.until(now).as_secs_f64() * 1e3;
            self.first_event = Some(now);
            self.record.first_event_ms = Some(first_ms as u64);
            self.slot.record_first_event();
            metrics::histogram!("serve_first_event_seconds").record(first_ms / 1e3);
        }
        Ok(Some(events.freeze()))
    }

    /// How long to wait for the next piece.
    fn patience(&self) -> Duration {
        let left = self.context.now().until(self.admitted.deadline);
        if self.history.may_send(&self.admitted.route) { left.min(SILENCE) } else { left }
    }

    /// Goes on at another upstream; false if that isn't allowed or fails.
    async fn go_on(&mut self, reason: &str) -> bool {
        self.record.reason = reason.to_owned();
        let deadline_passed = self.admitted.deadline.passed(self.context.now());
        if deadline_passed || !self.history.may_send(&self.admitted.route) {
            return false;
        }
        self.decoder.restart();
        let last = self.decoder.last();
        self.history.tried.push(self.slot.upstream.clone());
        emit!(self.context.log, Event::StreamResumed, "request" => self.record.request_id.as_str(),
            "upstream" => self.slot.upstream.as_str(), "reason" => reason,
            "last_event" => last.map_or(-1, |last| last as i64));
        // The broken answer is closed first: two upstreams must not work on one request.
        self.answer.body.close();
        let sent = exchange::send(
            &self.context,
            &self.admitted,
            &mut self.history,
            last,
            &mut self.record,
        )
        .await;
        match sent {
            Ok(sent) if sent.answer.status.is_success() => {
                self.answer = sent.answer;
                self.slot = sent.slot;
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    fn give_up(&mut self, reason: &str) -> Option<Result<Bytes, Incomplete>> {
        self.finished = true;
        self.record.reason = reason.to_owned();
        self.record.conclude("broken off");
        Some(Err(Incomplete))
    }
}
