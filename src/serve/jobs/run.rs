//! One attempt to run an item at one upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio::sync::Notify;

use super::record::{Head, Item};
use crate::id::Organisation;
use crate::route::Fingerprint;
use crate::serve::context::{Context, Slot};
use crate::serve::crash;
use crate::serve::event::Decoder;
use crate::serve::protocol::Metadata;
use crate::transport::{Failure, Response};

/// Time without a byte after which an attempt is given up.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Bound on connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that an upstream is given for one item, in milliseconds.
const ITEM_TIME_MS: u64 = 30_000;

/// What earlier attempts brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Data of the events so far.
    pub events: Vec<String>,
    /// Identifier of the last of them.
    pub last_event_id: Option<u64>,
    /// Times that an upstream failed the item.
    pub failures: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The whole output is there.
    Completed(String),
    /// The upstream says that the item can never be done.
    Impossible,
    /// The upstream failed the item.
    Failed(Progress),
    /// Online requests needed the slot.
    Interrupted(Progress),
    /// The upstream refused, broke off or fell silent.
    Broken(Progress),
    /// It wasn't sent, since upstreams that ran it crashed.
    Held(Progress),
}

impl AttemptOutcome {
    /// A word for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            AttemptOutcome::Completed(_) => "completed",
            AttemptOutcome::Impossible => "impossible",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::Interrupted(_) => "interrupted",
            AttemptOutcome::Broken(_) => "broken",
            AttemptOutcome::Held(_) => "held",
        }
    }
}

/// Runs an item in a slot until it ends or is interrupted.
pub(super) async fn run(
    fleet: &Rc<Context>,
    slot: Slot,
    head: &Head,
    item: &Item,
    progress: Progress,
    interrupt: &Notify,
) -> AttemptOutcome {
    let print = print(head, item);
    let now = fleet.now();
    if !fleet.crashes.borrow_mut().allow_retry(print, now) {
        return AttemptOutcome::Held(progress);
    }
    let mut attempt = Attempt { fleet, slot, head, item, progress };
    // Events that arrived in time are kept when the slot is taken away.
    let ended = tokio::select! {
        biased;
        _ = interrupt.notified() => None,
        ended = attempt.run() => Some(ended),
    };
    let progress = std::mem::take(&mut attempt.progress);
    match ended {
        None => AttemptOutcome::Interrupted(progress),
        Some(End::Whole) => AttemptOutcome::Completed(progress.events.join("\n")),
        Some(End::Impossible) => AttemptOutcome::Impossible,
        Some(End::Failed) => {
            AttemptOutcome::Failed(Progress { failures: progress.failures + 1, ..progress })
        }
        Some(End::Broken) => AttemptOutcome::Broken(progress),
    }
}

/// What an item is known by.
fn print(head: &Head, item: &Item) -> Fingerprint {
    let organisation = Organisation::from(head.organisation.as_str());
    crash::fingerprint(Some(&organisation), &item.path, &item.body)
}

enum End {
    Whole,
    Impossible,
    Failed,
    Broken,
}

struct Attempt<'a> {
    fleet: &'a Rc<Context>,
    slot: Slot,
    head: &'a Head,
    item: &'a Item,
    progress: Progress,
}

impl Attempt<'_> {
    async fn run(&mut self) -> End {
        let send = self.fleet.pool.send(self.slot.address, self.request(), CONNECT_TIMEOUT);
        let answer = match tokio::time::timeout(SILENCE, send).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(failure @ Failure::NotSent(_))) => {
                self.slot.record_failure(&failure.to_string());
                return End::Broken;
            }
            Ok(Err(failure)) => return self.broken(&failure.to_string()).await,
            Err(_) => return self.broken("no answer").await,
        };
        let verdict = self.fleet.protocol.classify(answer.status, &answer.headers, &self.item.id);
        if verdict.refused {
            return End::Broken;
        }
        if !verdict.matches_request {
            return self.broken("the answer belongs to another request").await;
        }
        match answer.status {
            StatusCode::OK => self.read(answer).await,
            StatusCode::UNPROCESSABLE_ENTITY => End::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => End::Failed,
            _ => End::Broken,
        }
    }

    async fn read(&mut self, mut answer: Response) -> End {
        let mut splitter = Decoder::new(self.progress.last_event_id);
        let before = self.progress.last_event_id;
        loop {
            let piece = match tokio::time::timeout(SILENCE, answer.body.next()).await {
                Ok(Ok(Some(piece))) => piece,
                Ok(Ok(None)) => break,
                Ok(Err(failure)) => return self.broken(&failure.to_string()).await,
                Err(_) => return self.broken("the stream fell silent").await,
            };
            splitter.push(&piece);
            loop {
                match splitter.pop() {
                    Ok(Some(event)) => {
                        self.progress.events.push(event.data());
                        self.progress.last_event_id = Some(event.id);
                    }
                    Ok(None) => break,
                    Err(fault) => return self.broken(&fault.to_string()).await,
                }
            }
        }
        match splitter.finish() {
            // Without framing a cut looks like the end: go on until nothing follows.
            Ok(()) if !answer.framed && self.progress.last_event_id != before => End::Broken,
            Ok(()) if !self.progress.events.is_empty() => End::Whole,
            Ok(()) => self.broken("the stream has no event").await,
            Err(fault) => self.broken(&fault.to_string()).await,
        }
    }

    async fn broken(&self, reason: &str) -> End {
        self.slot.record_failure(reason);
        crash::probe(self.fleet, self.slot.address, print(self.head, self.item)).await;
        End::Broken
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let organisation = Organisation::from(self.head.organisation.as_str());
        let send = Metadata {
            upstream: &self.slot.upstream,
            organisation: Some(&organisation).filter(|name| !name.as_str().is_empty()),
            remaining_ms: ITEM_TIME_MS,
            last_event: self.progress.last_event_id,
        };
        let mut request = Request::new(Full::new(self.item.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.item.path.parse().unwrap_or_default();
        *request.headers_mut() =
            self.fleet.protocol.item_headers(&self.head.host, self.item, &send);
        request
    }
}
