//! Client for segments, usable from any VM of the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::record::{Event, Record};
use crate::clock::Time;
use crate::context::Context;
use crate::error::{Error, Kind, Result};
use crate::id::Vm;
use crate::segment::SegmentId;
use crate::view::{Member, Role};
use crate::wire::batch::{Body, Message, Operation, Reply, Request};

/// Timeout of a call to one store. It must exceed the second for which the
/// answer to a cancellation may be held back.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before the next round after no store could answer.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a request is retried until a primary answers.
const RETRY_TIMEOUT: Duration = Duration::from_secs(8);

/// Finds the primary of a segment and sends requests to it.
#[derive(Clone)]
pub struct Client {
    context: Context,
    primaries: Arc<Mutex<HashMap<SegmentId, Vm>>>,
}

impl Client {
    /// Creates a client that finds the stores through `context`.
    pub fn new(context: Context) -> Self {
        Self { context, primaries: Arc::default() }
    }

    /// Context of the process that the client was created with.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Commits a record. It may be sent more than once, so applying it must be
    /// idempotent. Fails with `StoreUnavailable` if it isn't known to be
    /// committed.
    pub async fn commit(&self, segment: SegmentId, event: Event) -> Result<Reply> {
        self.ask(segment, Operation::Commit(Record::new(0, event))).await
    }

    /// Sends a request to the primary, retrying for several seconds. Reads fall
    /// back to any member of the replica set.
    pub async fn ask(&self, segment: SegmentId, operation: Operation) -> Result<Reply> {
        let deadline = self.context.clock.now().after(RETRY_TIMEOUT);
        self.ask_until(segment, operation, deadline).await
    }

    /// Like `ask`, but retries until `deadline`.
    pub async fn ask_until(
        &self,
        segment: SegmentId,
        operation: Operation,
        deadline: Time,
    ) -> Result<Reply> {
        let read =
            matches!(operation, Operation::Status(_) | Operation::List(_) | Operation::Results(_));
        let mut request =
            Request { segment: segment.0, any_member: false, operation: Some(operation) };
        loop {
            let error = match self.ask_round(segment, &request, deadline).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            if !is_retryable(error.kind) || deadline.passed(self.context.clock.now()) {
                return Err(error);
            }
            request.any_member = read;
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Tries each store once, starting with the last known primary.
    async fn ask_round(
        &self,
        segment: SegmentId,
        request: &Request,
        deadline: Time,
    ) -> Result<Reply> {
        let mut untried = self.stores(segment);
        let mut error = unavailable("no store is known");
        while let Some(store) = untried.pop() {
            if deadline.passed(self.context.clock.now()) {
                break;
            }
            match self.call(&store, request).await {
                Ok(Reply::Redirect(primary)) => {
                    error = unavailable("the segment has no primary at present");
                    if let Some(index) = untried.iter().position(|each| each.vm.as_str() == primary)
                    {
                        let next = untried.remove(index);
                        untried.push(next);
                    }
                }
                Ok(reply) => {
                    self.primaries.lock().insert(segment, store.vm);
                    return Ok(reply);
                }
                Err(failure) if !is_retryable(failure.kind) => return Err(failure),
                Err(failure) => error = unavailable(&failure.detail),
            }
        }
        self.primaries.lock().remove(&segment);
        Err(error)
    }

    /// Stores in the view; the one to try first comes last.
    fn stores(&self, segment: SegmentId) -> Vec<Member> {
        let view = self.context.shared.load();
        let members = view.members.values();
        let mut stores: Vec<Member> =
            members.filter(|member| member.role == Role::Store).cloned().collect();
        if let Some(primary) = self.primaries.lock().get(&segment) {
            stores.sort_by_key(|store| store.vm == *primary);
        }
        stores
    }

    async fn call(&self, store: &Member, request: &Request) -> Result<Reply> {
        let body = Message::frame(Body::Request(request.clone()));
        let answer = self.context.peers.get(store.peer).call(body, CALL_TIMEOUT).await?;
        match Message::unframe(answer)? {
            Body::Response(answer) => answer.reply.ok_or_else(|| unavailable("an empty answer")),
            _ => Err(Error::new(Kind::Peer, "not an answer of a segment")),
        }
    }
}

/// Whether a retry, or another store, may succeed.
fn is_retryable(kind: Kind) -> bool {
    matches!(kind, Kind::StoreUnavailable | Kind::Peer)
}

fn unavailable(detail: &str) -> Error {
    Error::new(Kind::StoreUnavailable, detail).retry_after(Duration::from_secs(1))
}
