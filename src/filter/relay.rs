//! Brings the answer to the caller, whole or as a stream.
//!
//! A whole answer is passed on only once all of it is here. A stream goes on
//! elsewhere when its upstream dies, where the route allows that.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use tokio::sync::mpsc;

use super::exchange::Attempt;
use super::send::{Dispatch, broken};
use super::{Exchange, Filter, Reply, Services};
use crate::claim::{Answer, Key};
use crate::error::{Error, Kind, Problem, Result};
use crate::stream::{Action, Assembler};
use crate::upstream::{Failure, Part};

/// Largest whole answer that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Events that may wait for a slow caller.
const EVENT_QUEUE: usize = 16;
/// How often a silent stream's key is looked at.
const KEY_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Relays answers.
pub struct Relay {
    services: Rc<Services>,
}

impl Relay {
    /// Makes the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }

    async fn relay(&self, exchange: &mut Exchange) -> Result<()> {
        let (Some(attempt), Some(dispatch)) = (exchange.attempt.take(), &mut exchange.dispatch)
        else {
            return Err(Error::new(Kind::Internal, "nothing was sent"));
        };
        let kept = Kept { services: self.services.clone(), key: exchange.claim.clone() };
        let wanted = exchange.prompt.as_ref().is_some_and(|prompt| prompt.stream);
        if !wanted || attempt.status != 200 {
            let answer = whole(attempt, dispatch).await?;
            kept.finish(answer.clone()).await;
            exchange.reply = Some(Reply::Whole(answer));
            return Ok(());
        }
        let Some(dispatch) = exchange.dispatch.take() else { return Ok(()) };
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
        let request = exchange.request_id.clone();
        actix_rt::spawn(Course { dispatch, request, sender, kept, body: Vec::new() }.run(attempt));
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

/// Keeps the answer of a claimed request.
struct Kept {
    services: Rc<Services>,
    key: Option<Key>,
}

impl Kept {
    async fn finish(&self, answer: Answer) {
        let (Some(key), Some(claims)) = (&self.key, &self.services.claims) else { return };
        // An answer that isn't kept only makes a resend "unknown".
        let _ = claims.finish(key.clone(), answer).await;
    }
}

async fn whole(attempt: Attempt, dispatch: &mut Dispatch) -> Result<Answer> {
    let mut attempt = attempt;
    loop {
        let refusal = match collect(&mut attempt).await {
            Ok(body) => {
                let Attempt { slot, status, content_type, .. } = attempt;
                let answer = Answer { status, content_type, body };
                if !dispatch.retryable(status) {
                    dispatch.succeeded(slot);
                    return Ok(answer);
                }
                if dispatch.turned_away(slot).is_err() {
                    return Ok(answer);
                }
                Some(answer)
            }
            Err(failure) => {
                dispatch.failed(attempt.stop(), failure).await?;
                None
            }
        };
        attempt = match (dispatch.next(None, 0).await, refusal) {
            (Ok(attempt), _) => attempt,
            // No other upstream could serve it: this one's own answer stands.
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
            Some(Ok(Part::Head { .. })) | None => return Err(Failure::Sent(broken())),
        }
        if body.len() > MAX_ANSWER_BYTES {
            let error = Error::new(Kind::UpstreamFailed, "the upstream's answer is too large");
            return Err(Failure::Sent(error));
        }
    }
}

/// A stream on its way to the caller.
struct Course {
    dispatch: Dispatch,
    request: String,
    sender: mpsc::Sender<Result<Bytes>>,
    kept: Kept,
    body: Vec<u8>,
}

impl Course {
    async fn run(mut self, attempt: Attempt) {
        let sender = self.sender.clone();
        let ended = tokio::select! {
            ended = self.relay(attempt) => ended,
            // The caller is gone: dropping the attempt cancels it upstream.
            () = sender.closed() => return,
        };
        match ended {
            Ok(()) => self.finish().await,
            Err(error) => fail(&sender, error).await,
        }
    }

    async fn finish(self) {
        let content_type = EVENT_STREAM.into();
        self.kept.finish(Answer { status: 200, content_type, body: self.body.into() }).await;
    }

    async fn relay(&mut self, attempt: Attempt) -> Result<()> {
        let mut attempt = attempt;
        let mut assembly = Assembler::new(self.request.clone());
        loop {
            assembly.start_attempt(attempt.request_id.clone());
            let failure = match self.follow(&mut attempt, &mut assembly).await? {
                None => {
                    self.dispatch.succeeded(attempt.slot);
                    return Ok(());
                }
                Some(failure) => failure,
            };
            self.dispatch.failed(attempt.stop(), failure).await?;
            attempt = self.dispatch.next(None, assembly.next_position()).await?;
            if attempt.status != 200 {
                return Err(broken());
            }
            metrics::counter!("parsleybeam_stream_resumes_total").increment(1);
        }
    }

    /// Follows one attempt to its end or failure.
    async fn follow(
        &mut self,
        attempt: &mut Attempt,
        assembly: &mut Assembler,
    ) -> Result<Option<Failure>> {
        loop {
            let part = tokio::time::timeout(KEY_CHECK_PERIOD, attempt.parts.recv()).await;
            self.dispatch.check()?;
            let event = match part {
                Err(_) => continue,
                Ok(Some(Ok(Part::Data(event)))) => event,
                Ok(Some(Err(failure))) => return Ok(Some(failure)),
                Ok(Some(Ok(Part::Head { .. } | Part::End)) | None) => {
                    return Ok(Some(Failure::Sent(broken())));
                }
            };
            match assembly.accept(&event) {
                Action::Forward(event) => self.pass(event).await?,
                Action::Drop => {}
                Action::Done(event) => {
                    self.pass(event).await?;
                    return Ok(None);
                }
                Action::Abort(error) => return Ok(Some(Failure::Sent(error))),
            }
        }
    }

    async fn pass(&mut self, event: Bytes) -> Result<()> {
        if self.kept.key.is_some() {
            self.body.extend_from_slice(&event);
        }
        let passed = self.sender.send(Ok(event)).await;
        passed.map_err(|_| Error::new(Kind::Cancelled, "the caller is gone"))
    }
}

/// Media type of an event stream.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Ends a stream with an event that says why, and without the last event, so
/// that the caller can't take it for a whole answer. The connection isn't
/// broken, since that would lose what is not yet written.
async fn fail(sender: &mpsc::Sender<Result<Bytes>>, error: Error) {
    if let Ok(problem) = serde_json::to_string(&Problem::from(&error)) {
        let event = format!("event: error\ndata: {problem}\n\n");
        let _ = sender.send(Ok(event.into())).await;
    }
}
