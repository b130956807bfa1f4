//! Waits of requests for a current view of the store.
//!
//! A VM that may not act on its view reads the store at once, and what it would send waits for
//! that read for a short time: it takes milliseconds, unless the store is away.
//!
//! Load: all requests of a VM that was suspended or had no processor time, at its return.

use std::time::Duration;

use tokio::sync::Notify;

use super::context::Context;
use super::freshness::Terms;
use crate::clock::Time;

/// Time for which a request waits for a read at most: half of a latency target of 300 ms.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Time for which a request waits for a view that is younger than itself: a follower's snapshot
/// is up to 0.9 s old, and callers leave a stream after 2 s.
const MAX_WAIT_SINCE: Duration = Duration::from_millis(1_500);

/// Requests for a read of the store, and its end.
#[derive(Debug, Default)]
pub struct Renewal {
    wanted: Notify,
    renewed: Notify,
}

impl Renewal {
    /// Waits until a read is wanted.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Asks for a read.
    pub fn record_wanted(&self) {
        self.wanted.notify_one();
    }

    /// Wakes those who wait for a view.
    pub fn record_renewed(&self) {
        self.renewed.notify_waiters();
    }
}

impl Context {
    /// Terms of sends, by the shortest promise.
    pub fn send_terms(&self) -> Terms {
        self.settings().bounds.send_terms()
    }

    /// Deadline of a send that is decided now.
    pub fn send_by(&self) -> Time {
        self.freshness.borrow().valid_until(self.send_terms())
    }

    /// Whether this VM may not send, as its view is too old.
    pub fn may_lag(&self) -> bool {
        self.freshness.borrow().may_lag(self.send_terms(), self.now())
    }

    /// Waits for a view of the store as it was at `time` or later; whether there is one.
    pub async fn view_since(&self, time: Time) -> bool {
        let until = self.now().after(MAX_WAIT_SINCE);
        while self.view.borrow().confirmed_at < time {
            let renewed = self.renewal.renewed.notified();
            self.renewal.record_wanted();
            if tokio::time::timeout(self.now().until(until), renewed).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Waits for a current view, if this VM may not act on its own.
    pub async fn renew_view(&self) {
        if !self.may_lag() {
            return;
        }
        let renewed = self.renewal.renewed.notified();
        self.renewal.record_wanted();
        // Whoever waits checks the view afterwards.
        let _ = tokio::time::timeout(MAX_WAIT, renewed).await;
    }
}
