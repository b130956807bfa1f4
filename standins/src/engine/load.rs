//! The engine's load report, which lags.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What the engine says of its load.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Requests that ran.
    pub running: u32,
    /// Requests beyond what runs without slowing.
    pub waiting: u32,
    /// Requests that run without slowing.
    pub capacity: u32,
    /// Age of this report, in milliseconds.
    pub age_ms: u64,
}

pub(super) struct Load {
    lag: Duration,
    capacity: u32,
    taken: Mutex<(Instant, u32)>,
}

impl Load {
    pub(super) fn new(lag_ms: u64, capacity: u32) -> Self {
        let lag = Duration::from_millis(lag_ms);
        Self { lag, capacity, taken: Mutex::new((Instant::now(), 0)) }
    }

    /// The latest report; a new one is taken once it is older than the lag.
    pub(super) fn report(&self, active: u32) -> Report {
        let now = Instant::now();
        let mut taken = self.taken.lock();
        if now.duration_since(taken.0) >= self.lag {
            *taken = (now, active);
        }
        let running = taken.1.min(self.capacity);
        Report {
            running,
            waiting: taken.1 - running,
            capacity: self.capacity,
            age_ms: now.duration_since(taken.0).as_millis() as u64,
        }
    }
}
