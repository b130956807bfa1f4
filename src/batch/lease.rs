//! Lease timers, which exist only in the primary's memory.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::Attempt;
use super::state::State;
use crate::clock::Time;

/// Time without a renewal after which a lease expires.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);
/// Time after the request for a lease within which its items may be started.
pub const START_WINDOW: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug)]
struct LeaseEntry {
    until: Time,
    /// Worker and number of its lease request, if this primary granted the lease.
    request: Option<(String, u64)>,
}

/// Leases that a primary granted itself or inherited from an earlier one.
#[derive(Clone, Debug)]
pub struct Leases {
    held: BTreeMap<Attempt, LeaseEntry>,
    /// Latest time at which a leased item of each job may be started.
    start_deadlines: BTreeMap<u64, Time>,
    /// Latest time at which items leased by an earlier primary may be started.
    inherited_start_deadline: Time,
}

/// A worker's renewal of its leases.
#[derive(Clone, Copy, Debug)]
pub struct Renewal<'a> {
    /// Name of the worker; it differs after each restart.
    pub worker: &'a str,
    /// The worker starts no further items of lease requests up to this number.
    pub closed: u64,
    /// Attempts that it runs or whose settlement isn't committed yet.
    pub running: &'a [Attempt],
}

/// Differences between the leases of a worker and those that it reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// Attempts that the worker must stop.
    pub stop: Vec<Attempt>,
    /// Attempts leased to the worker that it never received and won't start.
    pub undelivered: Vec<Attempt>,
}

impl Leases {
    /// Creates the leases of a new primary: every running attempt gets a full
    /// lease.
    pub fn new(state: &State, now: Time) -> Self {
        let held = || LeaseEntry { until: now.after(LEASE_DURATION), request: None };
        let held = state.running().map(|attempt| (attempt, held())).collect();
        Self {
            held,
            start_deadlines: BTreeMap::new(),
            inherited_start_deadline: now.after(START_WINDOW),
        }
    }

    /// Records that an attempt was leased, by which request if it is known.
    pub fn grant(&mut self, attempt: Attempt, request: Option<(String, u64)>, now: Time) {
        self.held.insert(attempt, LeaseEntry { until: now.after(LEASE_DURATION), request });
        self.start_deadlines.insert(attempt.job, now.after(START_WINDOW));
    }

    /// Renews a worker's leases and compares them with those granted to it.
    pub fn renew(&mut self, state: &State, renewal: &Renewal<'_>, now: Time) -> Reconciliation {
        let mut reconciliation = Reconciliation::default();
        for attempt in renewal.running {
            if !state.is_current(attempt) {
                reconciliation.stop.push(*attempt);
                continue;
            }
            let until = now.after(LEASE_DURATION);
            self.held.entry(*attempt).or_insert(LeaseEntry { until, request: None }).until = until;
        }
        let undelivered = self.held.iter().filter(|(attempt, held)| {
            let request = held.request.as_ref();
            let closed = request.is_some_and(|(worker, number)| {
                worker == renewal.worker && *number <= renewal.closed
            });
            closed && state.is_current(attempt) && !renewal.running.contains(attempt)
        });
        reconciliation.undelivered = undelivered.map(|(attempt, _)| *attempt).collect();
        reconciliation
    }

    /// Attempts whose worker stopped renewing them.
    pub fn expired(&mut self, state: &State, now: Time) -> Vec<Attempt> {
        self.held.retain(|attempt, _| state.is_current(attempt));
        self.start_deadlines.retain(|_, until| !until.passed(now));
        let expired = self.held.iter().filter(|(_, held)| held.until.passed(now));
        expired.map(|(attempt, _)| *attempt).collect()
    }

    /// Latest time at which a worker may still start an item of a job. A
    /// cancellation is acknowledged only after it.
    pub fn start_deadline(&self, job: u64) -> Time {
        let granted = self.start_deadlines.get(&job).copied().unwrap_or(Time(0));
        granted.max(self.inherited_start_deadline)
    }
}
