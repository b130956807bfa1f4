//! Runs one item on one upstream.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::record::AttemptOutcome;
use crate::clock::{Clock, Time};
use crate::error::Kind;
use crate::upstream::{Call, Client, Failure, Part};
use crate::view::Upstream;
use crate::wire::batch::LeasedItem;

/// Maximum size of an answer that is stored, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Client error statuses after which a retry may succeed.
const RETRYABLE: [u16; 2] = [408, 429];

/// Outcome of an attempt, with the upstream's answer or the reason why there is
/// none.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AttemptResult {
    pub(super) outcome: AttemptOutcome,
    pub(super) status: u32,
    pub(super) body: Bytes,
    /// Whether no connection to the upstream could be made.
    pub(super) unreachable: bool,
}

impl AttemptResult {
    pub(super) fn without_answer(outcome: AttemptOutcome, reason: &str) -> Self {
        let body = Bytes::copy_from_slice(reason.as_bytes());
        Self { outcome, status: 0, body, unreachable: false }
    }
}

/// Sends an item to an upstream once, unless `start_by` has passed.
pub(super) async fn run(
    client: Rc<dyn Client>,
    clock: &dyn Clock,
    upstream: &Upstream,
    item: &LeasedItem,
    start_by: Time,
    timeout: Duration,
) -> AttemptResult {
    let now = clock.now();
    // After this time a cancellation of the job may have been acknowledged.
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
            Ok(Part::Data(data)) => body.extend_from_slice(&data),
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
    let retryable = status >= 500 || RETRYABLE.contains(&status);
    let outcome = if retryable { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
    AttemptResult { outcome, status: u32::from(status), body, unreachable: false }
}

fn failed(failure: Failure, idempotent: bool) -> AttemptResult {
    match failure {
        Failure::NotSent(error) => {
            let result = AttemptResult::without_answer(AttemptOutcome::NotSent, &error.detail);
            AttemptResult { unreachable: true, ..result }
        }
        Failure::Sent(error) if idempotent && error.kind == Kind::DeadlineExceeded => {
            AttemptResult::without_answer(AttemptOutcome::Failed, &error.detail)
        }
        Failure::Sent(error) => {
            AttemptResult::without_answer(AttemptOutcome::UpstreamLost, &error.detail)
        }
    }
}
