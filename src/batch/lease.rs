//! What only the primary knows: until when each lease holds.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::Attempt;
use super::state::State;
use crate::clock::Time;

/// Time without a renewal after which a lease is void.
pub const LEASE: Duration = Duration::from_millis(3_000);
/// Time from asking for a lease within which its items may be started.
pub const START_WINDOW: Duration = Duration::from_millis(1_000);

/// Deadlines of the leases that a primary gave or took over.
#[derive(Clone, Debug)]
pub struct Leases {
    until: BTreeMap<Attempt, Time>,
    /// Latest time at which an item of each job may be started.
    started_by: BTreeMap<u64, Time>,
    /// The same for leases that an earlier primary gave.
    took_over: Time,
}

impl Leases {
    /// A new primary gives every running attempt a full lease.
    pub fn new(state: &State, now: Time) -> Self {
        let until = state.running().map(|attempt| (attempt, now.after(LEASE))).collect();
        Self { until, started_by: BTreeMap::new(), took_over: now.after(START_WINDOW) }
    }

    /// A lease for this attempt was given.
    pub fn granted(&mut self, attempt: Attempt, now: Time) {
        self.until.insert(attempt, now.after(LEASE));
        self.started_by.insert(attempt.job, now.after(START_WINDOW));
    }

    /// A worker says what it still runs; gives the attempts it should stop.
    pub fn renew(&mut self, state: &State, running: &[Attempt], now: Time) -> Vec<Attempt> {
        let mut stop = Vec::new();
        for attempt in running {
            if !state.is_current(attempt) {
                stop.push(*attempt);
                continue;
            }
            self.until.insert(*attempt, now.after(LEASE));
        }
        stop
    }

    /// Attempts whose worker is silent.
    pub fn expired(&mut self, state: &State, now: Time) -> Vec<Attempt> {
        self.until.retain(|attempt, _| state.is_current(attempt));
        self.started_by.retain(|_, until| !until.passed(now));
        let silent = self.until.iter().filter(|(_, until)| until.passed(now));
        silent.map(|(attempt, _)| *attempt).collect()
    }

    /// From when on no item of a cancelled job can be started any more.
    pub fn quiet_from(&self, job: u64) -> Time {
        let given = self.started_by.get(&job).copied().unwrap_or(Time(0));
        given.max(self.took_over)
    }
}
