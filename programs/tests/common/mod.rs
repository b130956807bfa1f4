//! Real processes on loopback, for tests of what only processes show.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod client;
pub mod fleet;
pub mod permit;
pub mod process;
pub mod scenario;

use std::future::Future;
use std::time::{Duration, Instant};

/// Longest time that a condition may take on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Runs an asynchronous test to its end.
pub fn run<F>(test: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(test)
}

/// Waits until `look` gives something; gives the time that it took.
pub async fn eventually<T, L>(what: &str, mut look: L) -> (T, Duration)
where
    L: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    loop {
        if let Some(found) = look().await {
            return (found, start.elapsed());
        }
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        actix_rt::time::sleep(POLL).await;
    }
}
