//! How long a slot is held, averaged over the last requests of a target.

use std::time::Duration;

/// One part in this many of each new value enters the average.
const SMOOTHING: u64 = 8;

/// Moving average of a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    micros: Option<u64>,
}

impl Estimate {
    /// Takes one more span in.
    pub fn observe(&mut self, span: Duration) {
        let micros = span.as_micros() as u64;
        self.micros = Some(match self.micros {
            Some(old) => (old * (SMOOTHING - 1) + micros) / SMOOTHING,
            None => micros,
        });
    }

    /// Expected wait behind `ahead` requests at `slots` slots; none before
    /// the first request has ended.
    pub fn wait(&self, ahead: u64, slots: u64) -> Option<Duration> {
        let micros = self.micros?;
        Some(Duration::from_micros(micros.saturating_mul(ahead) / slots.max(1)))
    }
}
