//! The first moments of a process: callers come before it knows anything.
//!
//! A VM reads the store within milliseconds of its start, so requests that arrive before wait
//! for the outcome of that read: refusing them would send their callers to another VM that has
//! just started too, after a kill of all. After a read that failed, requests are refused at
//! once.
//!
//! Load: all VMs killed at the same moment, callers who come back to them at once.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

/// Time for which a request waits for the first read at most: half of a latency target of
/// 300 ms.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Whether this process knows the outcome of its first read of the store.
#[derive(Debug, Default)]
pub struct Opening {
    is_decided: Cell<bool>,
    decided: Notify,
}

impl Opening {
    /// Records that requests can be served, or that this isn't known to be soon.
    pub fn decide(&self) {
        self.is_decided.set(true);
        self.decided.notify_waiters();
    }

    /// Waits for the outcome of the first read.
    pub async fn wait(&self) {
        if !self.is_decided.get() {
            // After the time the request is refused, with the reason.
            let _ = tokio::time::timeout(MAX_WAIT, self.decided.notified()).await;
        }
    }
}
