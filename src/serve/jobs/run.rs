//! One attempt at running an item on one upstream.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio::sync::Notify;

use super::record::{Head, Item};
use crate::id::Organisation;
use crate::serve::context::Context;
use crate::serve::crash;
use crate::serve::event::Decoder;
use crate::serve::held::{Charge, Kind};
use crate::serve::origin::Origin;
use crate::serve::protocol::Metadata;
use crate::serve::reading;
use crate::serve::slot::Slot;
use crate::transport::{Failure, Response};

/// Maximum size of an item's output, in bytes.
const MAX_OUTPUT_BYTES: usize = 8 << 20;

/// Partial output of an item's earlier attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Data of the events received so far.
    pub events: Vec<String>,
    /// Identifier of the last event.
    pub last_event_id: Option<u64>,
    /// Number of attempts that an upstream failed.
    pub failures: u32,
    /// Service and version that made the events; none before the first event.
    pub origin: Option<Origin>,
}

impl Progress {
    /// Bytes that it takes in memory.
    pub fn bytes(&self) -> usize {
        self.events.iter().map(|event| event.capacity() + size_of::<String>()).sum()
    }

    /// Drops events that upstreams of `origin` can't go on from; whether there were any.
    pub fn restrict_to(&mut self, origin: &Origin) -> bool {
        if self.origin.as_ref().is_none_or(|begun| begun == origin) {
            return false;
        }
        *self = Self { failures: self.failures, ..Self::default() };
        true
    }
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The output is complete.
    Completed(String),
    /// The upstream rejected the item permanently.
    Impossible,
    /// The upstream failed the item.
    Failed(Progress),
    /// The slot was taken by online requests.
    Interrupted(Progress),
    /// The upstream refused the item, closed the connection or stopped sending.
    Broken(Progress),
    /// The upstream crashed.
    Crashed(Progress),
    /// The item wasn't sent: the upstream is at the limit that it named.
    AtLimit(Progress),
    /// No memory is left for more of its output.
    Shortage(Progress),
}

impl AttemptOutcome {
    /// Number of events received by all attempts; 0 if the output is dropped.
    pub fn events(&self) -> usize {
        match self {
            AttemptOutcome::Completed(output) => output.split('\n').count(),
            AttemptOutcome::Impossible => 0,
            AttemptOutcome::Failed(progress)
            | AttemptOutcome::Interrupted(progress)
            | AttemptOutcome::Broken(progress)
            | AttemptOutcome::Crashed(progress)
            | AttemptOutcome::AtLimit(progress)
            | AttemptOutcome::Shortage(progress) => progress.events.len(),
        }
    }

    /// Value for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            AttemptOutcome::Completed(_) => "completed",
            AttemptOutcome::Impossible => "impossible",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::Interrupted(_) => "interrupted",
            AttemptOutcome::Broken(_) => "broken",
            AttemptOutcome::Crashed(_) => "crashed",
            AttemptOutcome::AtLimit(_) => "at limit",
            AttemptOutcome::Shortage(_) => "shortage",
        }
    }
}

/// Runs an item in a slot until it ends or is interrupted.
pub(super) async fn run(
    context: &Rc<Context>,
    slot: Slot,
    head: &Head,
    item: &Item,
    progress: Progress,
    interrupt: &Notify,
) -> AttemptOutcome {
    let charge = context.held.charge(Kind::Output);
    let mut attempt = Attempt { context, slot, head, item, progress, charge };
    // Events received before an interruption are kept.
    let end = tokio::select! {
        biased;
        _ = interrupt.notified() => None,
        end = attempt.run() => Some(end),
    };
    let progress = std::mem::take(&mut attempt.progress);
    match end {
        None => AttemptOutcome::Interrupted(progress),
        Some(End::Completed) => AttemptOutcome::Completed(progress.events.join("\n")),
        Some(End::Impossible) => AttemptOutcome::Impossible,
        Some(End::Failed) => {
            AttemptOutcome::Failed(Progress { failures: progress.failures + 1, ..progress })
        }
        Some(End::Broken) => AttemptOutcome::Broken(progress),
        Some(End::Crashed) => AttemptOutcome::Crashed(progress),
        Some(End::AtLimit) => AttemptOutcome::AtLimit(progress),
        // What it holds is given up, so that other items can end.
        Some(End::Shortage) => AttemptOutcome::Shortage(Progress {
            failures: progress.failures,
            ..Progress::default()
        }),
    }
}

enum End {
    Completed,
    Impossible,
    Failed,
    Broken,
    Crashed,
    AtLimit,
    Shortage,
}

struct Attempt<'a> {
    context: &'a Rc<Context>,
    slot: Slot,
    head: &'a Head,
    item: &'a Item,
    progress: Progress,
    /// What the output holds.
    charge: Charge,
}

impl Attempt<'_> {
    async fn run(&mut self) -> End {
        let Some(send_by) = self.slot.admit().await else { return End::AtLimit };
        // Partial output goes on only at the version that made it.
        if self.progress.origin.is_some() && self.slot.may_be_another() {
            self.slot.record_other();
            return End::Broken;
        }
        self.slot.record_sent();
        let due = reading::item_head(send_by, self.context.now());
        let answer = match self.context.pool.send(self.slot.address, self.request(), due).await {
            Ok(answer) => answer,
            Err(Failure::Late) => {
                self.slot.record_late();
                return End::AtLimit;
            }
            Err(failure @ Failure::NotSent(_)) => {
                self.slot.record_failure(&failure.to_string());
                self.slot.record_gone();
                return End::Broken;
            }
            Err(failure) => return self.report_failure(&failure).await,
        };
        let verdict = self.context.protocol.classify(answer.status, &answer.headers, &self.item.id);
        let verdict = verdict.over(answer.reused);
        self.slot.record_answer(&verdict, &self.item.id);
        if verdict.refused {
            return End::Broken;
        }
        if !verdict.matches_request {
            return self
                .report_failure(&Failure::Sent("the answer belongs to another request".into()))
                .await;
        }
        match answer.status {
            StatusCode::OK if verdict.event_stream => self.read(answer).await,
            StatusCode::OK => {
                self.report_failure(&Failure::Sent("the answer is no stream".to_owned())).await
            }
            StatusCode::UNPROCESSABLE_ENTITY => End::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => End::Failed,
            _ => End::Broken,
        }
    }

    async fn read(&mut self, mut answer: Response) -> End {
        answer.body.bound(reading::item_events(self.context.now()));
        let mut decoder = Decoder::new(self.progress.last_event_id);
        let mut output_bytes: usize = self.progress.events.iter().map(String::len).sum();
        self.charge.set(self.progress.bytes());
        let last_event_id_before = self.progress.last_event_id;
        loop {
            let data = match answer.body.next().await {
                Ok(Some(data)) => data,
                Ok(None) => break,
                Err(failure) => return self.report_failure(&failure).await,
            };
            decoder.push(&data);
            loop {
                match decoder.pop() {
                    Ok(Some(event)) => {
                        answer.body.record_progress();
                        output_bytes += event.raw.len();
                        if output_bytes > MAX_OUTPUT_BYTES {
                            return self.report_failure(&answer.body.too_large()).await;
                        }
                        let data = event.data();
                        let held = self.charge.bytes() + data.capacity() + size_of::<String>();
                        if !self.charge.try_set(held) {
                            return End::Shortage;
                        }
                        self.progress.events.push(data);
                        self.progress.last_event_id = Some(event.id);
                        self.progress.origin.get_or_insert_with(|| self.slot.origin.clone());
                    }
                    Ok(None) => break,
                    Err(error) => {
                        return self.report_failure(&reading::failure(&answer.body, &error)).await;
                    }
                }
            }
        }
        match decoder.finish() {
            // Without framing, a cut connection looks like the end of the stream,
            // so the item is resumed until no further event follows.
            Ok(()) if !answer.framed && self.progress.last_event_id != last_event_id_before => {
                End::Broken
            }
            Ok(()) if !answer.framed && !crash::outlives_answer(self.context, &self.slot).await => {
                let reason = "the upstream was gone at the end of its answer";
                self.report_failure(&Failure::Sent(reason.to_owned())).await
            }
            Ok(()) if !self.progress.events.is_empty() => End::Completed,
            Ok(()) => self.report_failure(&Failure::Sent("the stream has no event".into())).await,
            Err(error) => self.report_failure(&Failure::Sent(error.to_string())).await,
        }
    }

    async fn report_failure(&self, failure: &Failure) -> End {
        reading::record(&self.slot, &self.item.id, failure);
        self.slot.record_failure(&failure.to_string());
        if crash::probe_for_item(self.context, &self.item.id, &self.slot).await {
            return End::Crashed;
        }
        End::Broken
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let organisation = Organisation::from(self.head.organisation.as_str());
        let metadata = Metadata {
            upstream: &self.slot.upstream,
            organisation: Some(&organisation).filter(|name| !name.as_str().is_empty()),
            remaining_ms: reading::ITEM_DEADLINE.as_millis() as u64,
            last_event: self.progress.last_event_id,
        };
        let mut request = Request::new(Full::new(self.item.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.item.path.parse().unwrap_or_default();
        *request.headers_mut() =
            self.context.protocol.item_headers(&self.head.host, self.item, &metadata);
        request
    }
}
