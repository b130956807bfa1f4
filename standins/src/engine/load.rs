//! The engine's load report, which is refreshed only after a lag.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Load report of the engine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Running requests, at most `capacity`.
    pub running: u32,
    /// Requests beyond `capacity`.
    pub waiting: u32,
    /// Requests that run at once without overload.
    pub capacity: u32,
    /// Age of this report, in milliseconds.
    pub age_ms: u64,
}

pub(super) struct Load {
    lag: Duration,
    capacity: u32,
    sample: Mutex<(Instant, u32)>,
}

impl Load {
    pub(super) fn new(lag_ms: u64, capacity: u32) -> Self {
        let lag = Duration::from_millis(lag_ms);
        Self { lag, capacity, sample: Mutex::new((Instant::now(), 0)) }
    }

    /// Returns the last sample, replaced by a new one once it is as old as the lag.
    pub(super) fn report(&self, active: u32) -> Report {
        let now = Instant::now();
        let mut sample = self.sample.lock();
        if now.duration_since(sample.0) >= self.lag {
            *sample = (now, active);
        }
        let running = sample.1.min(self.capacity);
        Report {
            running,
            waiting: sample.1 - running,
            capacity: self.capacity,
            age_ms: now.duration_since(sample.0).as_millis() as u64,
        }
    }
}
