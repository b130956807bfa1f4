//! The first moments of a process: callers come before it knows anything.
//!
//! A VM reads the store within milliseconds of its start, so requests that arrive before are
//! kept until it has: refusing them would send their callers to another VM that has just
//! started too, after a kill of all. Once `MAX_WAIT` has passed without a read, requests are
//! refused at once.
//!
//! Load: all VMs killed at the same moment, callers who come back to them at once.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::Time;

/// Time after the start of the process until which requests wait for the first view of the
/// store: half of a latency target of 300 ms.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Whether this process has opened for requests.
#[derive(Debug)]
pub struct Opening {
    is_open: Cell<bool>,
    opened: Notify,
    until: Time,
}

impl Opening {
    /// The state of a process that starts at `now`.
    pub fn new(now: Time) -> Self {
        Self { is_open: Cell::new(false), opened: Notify::new(), until: now.after(MAX_WAIT) }
    }

    /// Records that requests can be served.
    pub fn open(&self) {
        self.is_open.set(true);
        self.opened.notify_waiters();
    }

    /// Waits until requests can be served, or none is to wait any longer.
    pub async fn wait(&self, now: Time) {
        if !self.is_open.get() && !self.until.passed(now) {
            // After the time the request is refused, with the reason.
            let _ = tokio::time::timeout(now.until(self.until), self.opened.notified()).await;
        }
    }
}
