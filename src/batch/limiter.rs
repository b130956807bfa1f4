//! How much batch work one upstream may run beside online requests.
//!
//! Engines know no priorities, so room is kept for online requests by
//! bounding batch work: it starts only in what online requests leave. While
//! any online request waits for the upstream nothing starts and what runs
//! gives way; afterwards the bound doubles every tenth of a second, so that a
//! burst that comes back soon finds room.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// Share of an upstream's capacity by which batch and online requests may be
/// over it together before batch work is interrupted: one in this many slots.
/// Interrupting for each online request would waste more than it spares.
const SLACK_DIVISOR: u32 = 16;
/// Time after which another VM's report no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time in which the bound doubles after online requests waited.
const RAMP_PERIOD: Duration = Duration::from_millis(100);
/// Time without batch work after online requests waited.
const QUIET: Duration = Duration::from_millis(100);

/// Online requests of one VM at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OnlineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How many batch requests may run at an upstream. The gap between the two
/// lets a few more online requests in without interrupting anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// More are started below this.
    pub start_below: u32,
    /// Those above this give way.
    pub preempt_above: u32,
}

/// What one upstream's dispatcher knows and decides.
#[derive(Clone, Debug)]
pub struct Limiter {
    capacity: u32,
    reports: BTreeMap<Vm, (OnlineLoad, Time)>,
    /// Bound on batch work while it ramps up.
    ramp: u32,
    ramp_next: Time,
    quiet_until: Time,
    preempts: bool,
}

impl Limiter {
    /// Begins with an upstream of that capacity, in requests at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            reports: BTreeMap::new(),
            ramp: capacity,
            ramp_next: Time(0),
            quiet_until: Time(0),
            preempts: true,
        }
    }

    /// A dispatcher that takes no notice of online requests, to compare with.
    pub fn without_preemption(capacity: u32) -> Self {
        Self { preempts: false, ..Self::new(capacity) }
    }

    /// The upstream's capacity was changed.
    pub fn resize(&mut self, capacity: u32) {
        if self.capacity != capacity {
            self.capacity = capacity;
            self.ramp = self.ramp.min(capacity).max(1);
        }
    }

    /// A VM tells what it has at this upstream.
    pub fn report(&mut self, vm: Vm, online: OnlineLoad, now: Time) {
        if online.waiting > 0 {
            self.quiet_until = now.after(QUIET);
            self.ramp = (self.capacity / 4).max(1);
            self.ramp_next = now.after(QUIET + RAMP_PERIOD);
        }
        self.reports.insert(vm, (online, now.after(REPORT_LIFETIME)));
    }

    /// How many batch requests may run now.
    pub fn limits(&mut self, now: Time) -> Limits {
        if !self.preempts {
            return Limits { start_below: self.capacity, preempt_above: self.capacity };
        }
        self.reports.retain(|_, (_, until)| !until.passed(now));
        if !self.quiet_until.passed(now) {
            return Limits { start_below: 0, preempt_above: 0 };
        }
        while self.ramp < self.capacity && self.ramp_next.passed(now) {
            self.ramp = (self.ramp * 2).min(self.capacity);
            self.ramp_next = self.ramp_next.after(RAMP_PERIOD);
        }
        let online: u32 = self.reports.values().map(|(online, _)| online.running).sum();
        let left = self.capacity.saturating_sub(online);
        let slack = if left == 0 { 0 } else { self.capacity.div_ceil(SLACK_DIVISOR) };
        Limits { start_below: left.min(self.ramp), preempt_above: left + slack }
    }
}
