//! Clocks and deadlines of the state machines.
//!
//! State machines take `now` as an argument and store deadlines. Daemons read
//! `Monotonic`; tests and simulations advance a `Manual` clock. A `Time` is
//! valid only within one process. Messages carry the time remaining until a
//! deadline, from which the receiver computes its own deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

key! {
    /// A point in time, in microseconds on a clock of this process.
    #[derive(Default)]
    pub struct Time(pub u64);
}

impl Time {
    /// A deadline that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// Creates a time from milliseconds.
    pub fn from_millis(millis: u64) -> Self {
        Time(millis.saturating_mul(1_000))
    }

    /// Returns the time in milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time `span` after this one.
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }

    /// Returns the time left until `deadline`, or zero if it has passed.
    pub fn until(self, deadline: Time) -> Duration {
        Duration::from_micros(deadline.0.saturating_sub(self.0))
    }

    /// The time `age_ms` milliseconds earlier; the start of the clock at the earliest.
    pub fn before_millis(self, age_ms: u32) -> Self {
        Time(self.0.saturating_sub(Time::from_millis(age_ms.into()).0))
    }

    /// Milliseconds from this time to `now`, as VMs report ages to each other.
    pub fn age_millis(self, now: Time) -> u32 {
        u32::try_from(self.until(now).as_millis()).unwrap_or(u32::MAX)
    }

    /// Whether this deadline has passed at `now`.
    pub fn passed(self, now: Time) -> bool {
        now >= self
    }
}

/// Source of `now`.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// Monotonic clock, counted from the creation of the instance.
#[derive(Clone, Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// Creates a clock that starts now.
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

/// Time since boot (`CLOCK_BOOTTIME`). Unlike `Monotonic`, it includes suspend
/// time, so deadlines that other processes rely on are kept.
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

/// Clock that is advanced explicitly.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    micros: Arc<AtomicU64>,
}

impl Manual {
    /// Advances the clock by `span`.
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
