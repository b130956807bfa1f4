//! Relays the answer to the caller, buffered or as a stream.
//!
//! An answer that isn't streamed is buffered until it is complete. A stream is resumed at another
//! upstream if its upstream fails and the route is idempotent.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use tokio::sync::mpsc;

use super::exchange::Attempt;
use super::send::{Dispatch, interrupted};
use super::{Exchange, Filter, Reply, Services};
use crate::claim::{Answer, Key};
use crate::error::{Error, Kind, Problem, Result};
use crate::stream::{Action, Assembler};
use crate::upstream::{Failure, Part};

/// Maximum size of a buffered answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Number of events that are buffered for a slow caller.
const EVENT_QUEUE: usize = 16;
/// Interval at which the API key is checked while a stream is idle.
const KEY_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Filter that relays answers.
pub struct Relay {
    services: Rc<Services>,
}

impl Relay {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }

    async fn relay(&self, exchange: &mut Exchange) -> Result<()> {
        let (Some(attempt), Some(dispatch)) = (exchange.attempt.take(), &mut exchange.dispatch)
        else {
            return Err(Error::new(Kind::Internal, "nothing was sent"));
        };
        let recorder = Recorder { services: self.services.clone(), key: exchange.claim.clone() };
        let streamed = exchange.prompt.as_ref().is_some_and(|prompt| prompt.stream);
        if !streamed || attempt.status != 200 {
            let answer = buffer_answer(attempt, dispatch).await?;
            recorder.finish(answer.clone()).await;
            exchange.reply = Some(Reply::Whole(answer));
            return Ok(());
        }
        let Some(dispatch) = exchange.dispatch.take() else { return Ok(()) };
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
        let request_id = exchange.request_id.clone();
        actix_rt::spawn(
            Forwarder { dispatch, request_id, sender, recorder, body: Vec::new() }.run(attempt),
        );
        let events = stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|event| (event, receiver))
        });
        exchange.reply = Some(Reply::Stream(Box::pin(events)));
        Ok(())
    }
}

impl Filter for Relay {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(self.relay(exchange))
    }
}

/// Stores the answer of a claimed request.
struct Recorder {
    services: Rc<Services>,
    key: Option<Key>,
}

impl Recorder {
    async fn finish(&self, answer: Answer) {
        let (Some(key), Some(claims)) = (&self.key, &self.services.claims) else { return };
        // If storing fails, a retry by the caller only gets "unknown".
        let _ = claims.finish(key.clone(), answer).await;
    }
}

async fn buffer_answer(attempt: Attempt, dispatch: &mut Dispatch) -> Result<Answer> {
    let mut attempt = attempt;
    loop {
        let rejected_answer = match collect(&mut attempt).await {
            Ok(body) => {
                let Attempt { slot, status, content_type, .. } = attempt;
                let answer = Answer { status, content_type, body };
                if !dispatch.retryable(status) {
                    dispatch.succeeded(slot);
                    return Ok(answer);
                }
                if dispatch.rejected(slot).is_err() {
                    return Ok(answer);
                }
                Some(answer)
            }
            Err(failure) => {
                dispatch.failed(attempt.cancel(), failure).await?;
                None
            }
        };
        attempt = match (dispatch.next_attempt(None, 0).await, rejected_answer) {
            (Ok(attempt), _) => attempt,
            // No other upstream could serve the request, so this answer is final.
            (Err(_), Some(answer)) => return Ok(answer),
            (Err(error), None) => return Err(error),
        };
    }
}

async fn collect(attempt: &mut Attempt) -> std::result::Result<Bytes, Failure> {
    let mut body = Vec::new();
    loop {
        match attempt.parts.recv().await {
            Some(Ok(Part::Data(bytes))) => body.extend_from_slice(&bytes),
            Some(Ok(Part::End)) => return Ok(body.into()),
            Some(Err(failure)) => return Err(failure),
            Some(Ok(Part::Head { .. })) | None => return Err(Failure::Sent(interrupted())),
        }
        if body.len() > MAX_RESPONSE_BYTES {
            let error = Error::new(Kind::UpstreamFailed, "the upstream's answer is too large");
            return Err(Failure::Sent(error));
        }
    }
}

/// Forwards a stream to the caller.
struct Forwarder {
    dispatch: Dispatch,
    request_id: String,
    sender: mpsc::Sender<Result<Bytes>>,
    recorder: Recorder,
    body: Vec<u8>,
}

impl Forwarder {
    async fn run(mut self, attempt: Attempt) {
        let sender = self.sender.clone();
        let ended = tokio::select! {
            ended = self.relay(attempt) => ended,
            // The caller disconnected: dropping the attempt cancels it at its upstream.
            () = sender.closed() => return,
        };
        match ended {
            Ok(()) => self.finish().await,
            Err(error) => fail(&sender, error).await,
        }
    }

    async fn finish(self) {
        let content_type = EVENT_STREAM.into();
        self.recorder.finish(Answer { status: 200, content_type, body: self.body.into() }).await;
    }

    async fn relay(&mut self, attempt: Attempt) -> Result<()> {
        let mut attempt = attempt;
        let mut assembler = Assembler::new(self.request_id.clone());
        loop {
            assembler.start_attempt(attempt.request_id.clone());
            let failure = match self.forward_events(&mut attempt, &mut assembler).await? {
                None => {
                    self.dispatch.succeeded(attempt.slot);
                    return Ok(());
                }
                Some(failure) => failure,
            };
            self.dispatch.failed(attempt.cancel(), failure).await?;
            attempt = self.dispatch.next_attempt(None, assembler.next_position()).await?;
            if attempt.status != 200 {
                return Err(interrupted());
            }
            metrics::counter!("parsleybeam_stream_resumes_total").increment(1);
        }
    }

    /// Forwards one attempt's events until it ends; returns the failure if it fails.
    async fn forward_events(
        &mut self,
        attempt: &mut Attempt,
        assembler: &mut Assembler,
    ) -> Result<Option<Failure>> {
        loop {
            let part = tokio::time::timeout(KEY_CHECK_PERIOD, attempt.parts.recv()).await;
            self.dispatch.check()?;
            let event = match part {
                Err(_) => continue,
                Ok(Some(Ok(Part::Data(event)))) => event,
                Ok(Some(Err(failure))) => return Ok(Some(failure)),
                Ok(Some(Ok(Part::Head { .. } | Part::End)) | None) => {
                    return Ok(Some(Failure::Sent(interrupted())));
                }
            };
            match assembler.accept(&event) {
                Action::Forward(event) => self.forward(event).await?,
                Action::Drop => {}
                Action::Done(event) => {
                    self.forward(event).await?;
                    return Ok(None);
                }
                Action::Abort(error) => return Ok(Some(Failure::Sent(error))),
            }
        }
    }

    async fn forward(&mut self, event: Bytes) -> Result<()> {
        if self.recorder.key.is_some() {
            self.body.extend_from_slice(&event);
        }
        let sent = self.sender.send(Ok(event)).await;
        sent.map_err(|_| Error::new(Kind::Cancelled, "the caller is gone"))
    }
}

/// Media type of an event stream.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Ends a stream with an error event and without the final event, so that the caller can't mistake
/// it for a complete answer. The connection isn't aborted, since that would lose buffered events.
async fn fail(sender: &mpsc::Sender<Result<Bytes>>, error: Error) {
    if let Ok(problem) = serde_json::to_string(&Problem::from(&error)) {
        let event = format!("event: error\ndata: {problem}\n\n");
        let _ = sender.send(Ok(event.into())).await;
    }
}
