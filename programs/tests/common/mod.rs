//! Helpers for tests that run the daemons as processes on loopback.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod client;
pub mod fleet;
pub mod permit;
pub mod process;
pub mod scenario;

use std::future::Future;
use std::time::{Duration, Instant};

/// Time after which waiting for a condition fails. It is long enough for a busy
/// machine, so that only a fault reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an asynchronous test to completion.
pub fn run<F>(test: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(test)
}

/// Polls until `poll` returns a value. Returns that value and the time it took.
/// Panics with `what` after `WAIT_TIMEOUT`.
pub async fn eventually<T, P>(what: &str, mut poll: P) -> (T, Duration)
where
    P: AsyncFnMut() -> Option<T>,
{
    let started = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return (found, started.elapsed());
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting until {what}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
