//! What only the primary knows: who holds each lease, and until when.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::Attempt;
use super::state::State;
use crate::clock::Time;

/// Time without a renewal after which a lease is void.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);
/// Time from asking for a lease within which its items may be started.
pub const START_WINDOW: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug)]
struct Held {
    until: Time,
    /// Worker and number of its ask, if this primary gave the lease.
    ask: Option<(String, u64)>,
}

/// Leases that a primary gave or took over.
#[derive(Clone, Debug)]
pub struct Leases {
    held: BTreeMap<Attempt, Held>,
    /// Latest time at which an item of each job may be started.
    started_by: BTreeMap<u64, Time>,
    /// The same for leases that an earlier primary gave.
    took_over: Time,
}

/// What a worker says about its leases.
#[derive(Clone, Copy, Debug)]
pub struct Renewal<'a> {
    /// The worker, by a name that no restart repeats.
    pub worker: &'a str,
    /// Of asks up to this number it will start nothing any more.
    pub closed: u64,
    /// Attempts that it runs, or whose end isn't committed yet.
    pub running: &'a [Attempt],
}

/// What follows from a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// Attempts that the worker should stop.
    pub stop: Vec<Attempt>,
    /// Attempts that the worker never heard of and won't start.
    pub undelivered: Vec<Attempt>,
}

impl Leases {
    /// A new primary gives every running attempt a full lease.
    pub fn new(state: &State, now: Time) -> Self {
        let held = || Held { until: now.after(LEASE_DURATION), ask: None };
        let held = state.running().map(|attempt| (attempt, held())).collect();
        Self { held, started_by: BTreeMap::new(), took_over: now.after(START_WINDOW) }
    }

    /// A lease for this attempt was given.
    pub fn grant(&mut self, attempt: Attempt, ask: Option<(String, u64)>, now: Time) {
        self.held.insert(attempt, Held { until: now.after(LEASE_DURATION), ask });
        self.started_by.insert(attempt.job, now.after(START_WINDOW));
    }

    /// Renews a worker's leases and compares them with those given to it.
    pub fn renew(&mut self, state: &State, renewal: &Renewal<'_>, now: Time) -> Reconciliation {
        let mut renewed = Reconciliation::default();
        for attempt in renewal.running {
            if !state.is_current(attempt) {
                renewed.stop.push(*attempt);
                continue;
            }
            let until = now.after(LEASE_DURATION);
            self.held.entry(*attempt).or_insert(Held { until, ask: None }).until = until;
        }
        let lost = self.held.iter().filter(|(attempt, held)| {
            let ask = held.ask.as_ref();
            let closed =
                ask.is_some_and(|(worker, ask)| worker == renewal.worker && *ask <= renewal.closed);
            closed && state.is_current(attempt) && !renewal.running.contains(attempt)
        });
        renewed.undelivered = lost.map(|(attempt, _)| *attempt).collect();
        renewed
    }

    /// Attempts whose worker is silent.
    pub fn expired(&mut self, state: &State, now: Time) -> Vec<Attempt> {
        self.held.retain(|attempt, _| state.is_current(attempt));
        self.started_by.retain(|_, until| !until.passed(now));
        let silent = self.held.iter().filter(|(_, held)| held.until.passed(now));
        silent.map(|(attempt, _)| *attempt).collect()
    }

    /// From when on no item of a cancelled job can be started any more.
    pub fn start_deadline(&self, job: u64) -> Time {
        let given = self.started_by.get(&job).copied().unwrap_or(Time(0));
        given.max(self.took_over)
    }
}
