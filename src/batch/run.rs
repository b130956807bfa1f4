//! Running one item at one upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::record::AttemptOutcome;
use crate::clock::{Clock, Time};
use crate::error::Kind;
use crate::upstream::{Call, Client, Failure, Part};
use crate::view::Upstream;
use crate::wire::batch::LeasedItem;

/// Largest answer that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Statuses of answers after which another attempt may do better.
const PASSING: [u16; 2] = [408, 429];

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AttemptResult {
    pub(super) outcome: AttemptOutcome,
    pub(super) status: u32,
    pub(super) body: Bytes,
    /// Whether the upstream could not even be reached.
    pub(super) unreachable: bool,
}

impl AttemptResult {
    pub(super) fn without_answer(outcome: AttemptOutcome, reason: &str) -> Self {
        let body = Bytes::copy_from_slice(reason.as_bytes());
        Self { outcome, status: 0, body, unreachable: false }
    }
}

/// Sends an item to an upstream, once, if its start window is still open.
pub(super) async fn run(
    client: Rc<dyn Client>,
    clock: &dyn Clock,
    upstream: &Upstream,
    item: &LeasedItem,
    start_by: Time,
    timeout: Duration,
) -> AttemptResult {
    let now = clock.now();
    // Past this a cancellation may have been acknowledged.
    if start_by.passed(now) {
        return AttemptResult::without_answer(AttemptOutcome::NotSent, "the lease came too late");
    }
    let call = Call {
        request_id: request_id(item),
        path: item.path.clone(),
        content_type: "application/json".into(),
        body: item.body.clone(),
        deadline: now.after(timeout),
        traceparent: None,
        resume_from: 0,
    };
    let mut parts = client.send(upstream, call).await;
    let mut status = 0;
    let mut body = BytesMut::new();
    while let Some(part) = parts.recv().await {
        match part {
            Ok(Part::Head { status: head, .. }) => status = head,
            Ok(Part::Data(piece)) => body.extend_from_slice(&piece),
            Ok(Part::End) => return answered(status, body.freeze()),
            Err(failure) => return failed(failure, item.idempotent),
        }
        if body.len() > MAX_ANSWER_BYTES {
            let reason = "the answer is too large to keep";
            return AttemptResult {
                status: 413,
                ..AttemptResult::without_answer(AttemptOutcome::Answered, reason)
            };
        }
    }
    AttemptResult::without_answer(AttemptOutcome::UpstreamLost, "the answer broke off")
}

fn request_id(item: &LeasedItem) -> String {
    let attempt = &item.attempt;
    format!(
        "batch-{}-{}-{}-{:08x}",
        attempt.job,
        attempt.item,
        attempt.attempt,
        rand::random::<u32>()
    )
}

fn answered(status: u16, body: Bytes) -> AttemptResult {
    let passing = status >= 500 || PASSING.contains(&status);
    let outcome = if passing { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
    AttemptResult { outcome, status: u32::from(status), body, unreachable: false }
}

fn failed(failure: Failure, idempotent: bool) -> AttemptResult {
    match failure {
        Failure::NotSent(error) => {
            let ended = AttemptResult::without_answer(AttemptOutcome::NotSent, &error.detail);
            AttemptResult { unreachable: true, ..ended }
        }
        Failure::Sent(error) if idempotent && error.kind == Kind::DeadlineExceeded => {
            AttemptResult::without_answer(AttemptOutcome::Failed, &error.detail)
        }
        Failure::Sent(error) => {
            AttemptResult::without_answer(AttemptOutcome::UpstreamLost, &error.detail)
        }
    }
}
