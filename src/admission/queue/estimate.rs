//! Estimate of how long a request holds its slot, from recent requests of the same target.

use std::time::Duration;

/// Each new value has a weight of one in this many.
const SMOOTHING: u64 = 8;

/// Exponential moving average of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    micros: Option<u64>,
}

impl Estimate {
    /// Adds a duration to the average.
    pub fn observe(&mut self, span: Duration) {
        let micros = span.as_micros() as u64;
        self.micros = Some(match self.micros {
            Some(old) => (old * (SMOOTHING - 1) + micros) / SMOOTHING,
            None => micros,
        });
    }

    /// Expected wait behind `ahead` requests at `slots` slots, or `None` before the first request
    /// has ended.
    pub fn wait(&self, ahead: u64, slots: u64) -> Option<Duration> {
        let micros = self.micros?;
        Some(Duration::from_micros(micros.saturating_mul(ahead) / slots.max(1)))
    }
}
