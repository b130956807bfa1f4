//! Bounds the batch work of one upstream beside its online requests.
//!
//! Engines have no priorities, so capacity for online requests is reserved by
//! bounding batch work: it starts only in the slots that online requests leave
//! free. While any online request waits for the upstream, no batch work starts
//! and what runs is preempted. Afterwards the bound doubles every 100 ms, so
//! that a burst that returns soon still finds free slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// Batch and online requests together may exceed the capacity by one in this
/// many slots before batch work is preempted. Preempting for each online
/// request would waste more work than it saves.
const SLACK_DIVISOR: u32 = 16;
/// Time after which the report of a VM is ignored.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time in which the bound doubles after online requests were waiting.
const RAMP_PERIOD: Duration = Duration::from_millis(100);
/// Time without batch work after online requests were waiting.
const COOLDOWN: Duration = Duration::from_millis(100);

/// Online requests of one entry VM at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OnlineLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Limits on the number of batch requests at an upstream. The gap between the
/// two admits a few more online requests without preempting batch work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Further batch requests start while fewer than this are running.
    pub start_below: u32,
    /// Batch requests above this number are preempted.
    pub preempt_above: u32,
}

/// Limits the batch requests of one upstream by the reported online load.
#[derive(Clone, Debug)]
pub struct Limiter {
    capacity: u32,
    reports: BTreeMap<Vm, (OnlineLoad, Time)>,
    /// Bound on batch requests during the ramp-up.
    ramp: u32,
    next_ramp: Time,
    cooldown_until: Time,
    preempts: bool,
}

impl Limiter {
    /// Creates a limiter for an upstream that runs `capacity` requests at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            reports: BTreeMap::new(),
            ramp: capacity,
            next_ramp: Time(0),
            cooldown_until: Time(0),
            preempts: true,
        }
    }

    /// Creates a limiter that ignores online requests, as a baseline for
    /// comparisons.
    pub fn without_preemption(capacity: u32) -> Self {
        Self { preempts: false, ..Self::new(capacity) }
    }

    /// Sets the upstream's capacity.
    pub fn resize(&mut self, capacity: u32) {
        if self.capacity != capacity {
            self.capacity = capacity;
            self.ramp = self.ramp.min(capacity).max(1);
        }
    }

    /// Takes an entry VM's report of its online requests at the upstream.
    pub fn report(&mut self, vm: Vm, online: OnlineLoad, now: Time) {
        if online.waiting > 0 {
            self.cooldown_until = now.after(COOLDOWN);
            self.ramp = (self.capacity / 4).max(1);
            self.next_ramp = now.after(COOLDOWN + RAMP_PERIOD);
        }
        self.reports.insert(vm, (online, now.after(REPORT_LIFETIME)));
    }

    /// Limits that apply at `now`.
    pub fn limits(&mut self, now: Time) -> Limits {
        if !self.preempts {
            return Limits { start_below: self.capacity, preempt_above: self.capacity };
        }
        self.reports.retain(|_, (_, until)| !until.passed(now));
        if !self.cooldown_until.passed(now) {
            return Limits { start_below: 0, preempt_above: 0 };
        }
        while self.ramp < self.capacity && self.next_ramp.passed(now) {
            self.ramp = (self.ramp * 2).min(self.capacity);
            self.next_ramp = self.next_ramp.after(RAMP_PERIOD);
        }
        let online: u32 = self.reports.values().map(|(online, _)| online.running).sum();
        let free = self.capacity.saturating_sub(online);
        let slack = if free == 0 { 0 } else { self.capacity.div_ceil(SLACK_DIVISOR) };
        Limits { start_below: free.min(self.ramp), preempt_above: free + slack }
    }
}
