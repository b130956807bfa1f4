//! Streams whose callers read slowly.
//!
//! actix asks a stream for more only while its write buffer has room, so a caller that reads
//! nothing stops the relay and with it the reading from the upstream: hyper takes no more than
//! its read buffer, and the sockets fill up. No timer of the relay runs meanwhile. A task of
//! its own therefore ends a stream that stays unread once the request's deadline has passed.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};
use tokio_util::task::AbortOnDropHandle;

use super::exchange::Incomplete;
use super::relay::Relay;
use crate::clock::Time;

/// Pause of a caller from which on it counts as slow.
pub(super) const SLOW_AFTER: Duration = Duration::from_millis(1_000);
/// Interval at which a stream past its deadline is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// When the caller stopped taking what is ready, and for how long it did at most.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pause {
    since: Option<Time>,
    is_slow: bool,
}

impl Pause {
    /// Something was handed to the caller's connection.
    pub fn begin(&mut self, now: Time) {
        self.since = Some(now);
    }

    /// The caller's connection asks for more; how long it didn't.
    pub fn end(&mut self, now: Time) -> Duration {
        let span = self.since.take().map_or(Duration::ZERO, |since| since.until(now));
        self.record(span);
        span
    }

    /// Nothing was read from the upstream for `span`.
    pub fn record(&mut self, span: Duration) {
        self.is_slow |= span >= SLOW_AFTER;
    }

    /// How long the caller's connection has asked for nothing.
    pub fn lasts(&self, now: Time) -> Duration {
        self.since.map_or(Duration::ZERO, |since| since.until(now))
    }

    /// Whether the upstream's answer stayed unread for long since `reset`.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Another upstream goes on with the stream; what was unread says nothing of it.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The stream of a relay, ended while it stays unread past its deadline.
pub(super) fn stream(relay: Relay) -> LocalBoxStream<'static, Result<Bytes, Incomplete>> {
    let (context, deadline) = (relay.context(), relay.deadline());
    let relay = Rc::new(RefCell::new(Some(relay)));
    let watched = Rc::downgrade(&relay);
    let watch = actix_rt::spawn(async move {
        tokio::time::sleep(context.now().until(deadline)).await;
        while let Some(relay) = watched.upgrade() {
            let unread = {
                let relay = relay.borrow();
                relay.as_ref().is_some_and(|relay| relay.unread_for() >= SLOW_AFTER)
            };
            // The next time that actix asks, it finds none and aborts the connection.
            let ended = if unread { relay.borrow_mut().take() } else { None };
            if let Some(mut ended) = ended {
                ended.end_unread();
                return;
            }
            drop(relay);
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
    let watch = AbortOnDropHandle::new(watch);
    stream::unfold(Some((relay, watch)), |state| async move {
        let (relay, watch) = state?;
        let taken = relay.borrow_mut().take();
        let Some(mut taken) = taken else { return Some((Err(Incomplete), None)) };
        let chunk = taken.next().await?;
        relay.replace(Some(taken));
        Some((chunk, Some((relay, watch))))
    })
    .boxed_local()
}
