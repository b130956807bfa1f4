//! Time as the decisions see it.
//!
//! State machines take `now` as an argument and keep deadlines. Daemons read
//! `Monotonic`, tests and random runs move a `Manual` clock by hand. A `Time`
//! has meaning only within one process; what crosses the wire is the time
//! left until a deadline, taken off again on arrival.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

key! {
    /// A point in time, in microseconds since the clock's own start.
    #[derive(Default)]
    pub struct Time(pub u64);
}

impl Time {
    /// A deadline that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// Builds a time from milliseconds.
    pub fn from_millis(millis: u64) -> Self {
        Time(millis.saturating_mul(1_000))
    }

    /// Milliseconds since the clock's start, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The deadline `span` from here.
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }

    /// Time left until `deadline`, zero once it has passed.
    pub fn until(self, deadline: Time) -> Duration {
        Duration::from_micros(deadline.0.saturating_sub(self.0))
    }

    /// Whether this deadline has passed at `now`.
    pub fn passed(self, now: Time) -> bool {
        now >= self
    }
}

/// Source of `now`.
pub trait Clock: Send + Sync {
    /// The present.
    fn now(&self) -> Time;
}

/// The machine's monotonic clock, counted from a start shared by the process.
#[derive(Clone, Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// Starts a clock.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }
}

impl Default for Monotonic {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Time {
        // Starts at one second so that `Time(0)` is always in the past.
        Time(1_000_000).after(self.start.elapsed())
    }
}

/// The machine's clock since it booted. Unlike `Monotonic` it goes on while
/// the machine is suspended, so deadlines that others rely on hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boottime;

impl Clock for Boottime {
    fn now(&self) -> Time {
        let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
        let since_boot = read.expect("Linux has a boot-time clock");
        // Starts at one second so that `Time(0)` is always in the past.
        Time(1_000_000).after(Duration::from(since_boot))
    }
}

/// A clock moved by hand.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    micros: Arc<AtomicU64>,
}

impl Manual {
    /// Moves the clock forward.
    pub fn advance(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(micros, Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Time {
        Time(self.micros.load(Ordering::SeqCst))
    }
}
