//! Detection of requests that crash upstreams, identified by a fingerprint of
//! path and body.
//!
//! Each fingerprint is owned by two entry VMs, chosen by rendezvous hashing.
//! The owners are asked before each run, and the strictest verdict applies.
//! Until a run has completed, the number of crashes plus runs in progress never
//! exceeds `MAX_CRASHES`, no matter how many VMs receive the request. After one
//! crash the request runs alone on its upstream; at `MAX_CRASHES` it is
//! quarantined. A run that completes clears the fingerprint.
//!
//! Crashes are stored as a set of runs, so reporting the same crash more than
//! once has no effect.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher24;

use crate::clock::Time;
use crate::id::Vm;

/// Number of upstreams that one request may crash in the whole fleet.
pub const MAX_CRASHES: usize = 2;
/// Number of entry VMs that store the record of a fingerprint.
pub const OWNERS: usize = 2;

/// Delay before the upstream of a cancelled run is probed, long enough for a
/// crash that preceded the cancellation to become visible.
pub const PROBE_DELAY: Duration = Duration::from_millis(500);

/// Time for which a record is kept after the fingerprint was last seen.
const RECORD_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a quarantine lasts after the fingerprint was last seen.
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(3_600);
/// Time after its deadline for which a run counts as in progress if its end is never reported.
const RUN_GRACE: Duration = Duration::from_secs(2);
/// Maximum number of records; beyond it, expired ones are dropped first, then those without
/// crashes, runs or quarantine.
const MAX_RECORDS: usize = 100_000;

key! {
    /// Hash of a request's path and body.
    pub struct Fingerprint(pub u128);

    /// Whether a request may run now, ordered from least to most strict.
    pub enum Verdict {
        /// The request may run.
        Run,
        /// The request may run on an upstream without other requests.
        Isolated,
        /// The request must wait until another run of it has ended.
        Wait,
        /// The request is rejected because it crashed too many upstreams.
        Quarantined,
    }

    /// How a run ended.
    pub enum Outcome {
        /// The response was complete.
        Completed,
        /// The upstream's response broke off, as it does in a crash.
        Crashed,
        /// The request was not sent, was cancelled or got an invalid response.
        Other,
    }
}

impl Verdict {
    /// Whether the verdict permits the request to run now.
    pub fn allows(self) -> bool {
        matches!(self, Verdict::Run | Verdict::Isolated)
    }

    /// Returns the strictest verdict, or `Run` if there are none.
    pub fn strictest<I>(verdicts: I) -> Self
    where
        I: IntoIterator<Item = Verdict>,
    {
        verdicts.into_iter().max().unwrap_or(Verdict::Run)
    }
}

/// Identifier of one run of a request, unique in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// VM that started the run.
    pub vm: Vm,
    /// Number of the run on that VM.
    pub number: u64,
}

#[derive(Clone, Debug, Default)]
struct Record {
    running: BTreeMap<Run, Time>,
    crashes: BTreeSet<Run>,
    cleared: bool,
    quarantine_reported: bool,
    expires_at: Time,
}

/// Crash records known to one VM.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    records: HashMap<Fingerprint, Record>,
}

impl Crashes {
    /// Asks whether a request may run until `deadline`, and records the run if it may.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        run: Run,
        deadline: Time,
        now: Time,
    ) -> Verdict {
        let record = self.record(fingerprint, now);
        record.running.remove(&run);
        let verdict = record.verdict();
        if verdict.allows() {
            record.running.insert(run, deadline.after(RUN_GRACE));
            let at_risk = record.crashes.len() + record.running.len();
            assert!(
                record.cleared || at_risk <= MAX_CRASHES,
                "a request may crash too many upstreams"
            );
        }
        verdict
    }

    /// Records how a run ended; returns true if this put the request into quarantine.
    pub fn end(
        &mut self,
        fingerprint: Fingerprint,
        run: &Run,
        outcome: Outcome,
        now: Time,
    ) -> bool {
        let record = self.record(fingerprint, now);
        let before = record.quarantined();
        record.running.remove(run);
        match outcome {
            Outcome::Completed if !before => {
                record.cleared = true;
                record.crashes.clear();
            }
            Outcome::Crashed => {
                record.cleared = false;
                record.crashes.insert(run.clone());
            }
            Outcome::Completed | Outcome::Other => {}
        }
        record.quarantined() && !before
    }

    /// Records that an owner of the fingerprint has quarantined the request.
    pub fn quarantine(&mut self, fingerprint: Fingerprint, now: Time) {
        self.record(fingerprint, now).quarantine_reported = true;
    }

    /// Whether the request is quarantined according to this VM's records.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.live_record(fingerprint, now).is_some_and(Record::quarantined)
    }

    /// Whether a run of the request completed and none has crashed since.
    pub fn is_cleared(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.live_record(fingerprint, now).is_some_and(|record| record.cleared)
    }

    fn live_record(&self, fingerprint: Fingerprint, now: Time) -> Option<&Record> {
        self.records.get(&fingerprint).filter(|record| !record.expires_at.passed(now))
    }

    fn record(&mut self, fingerprint: Fingerprint, now: Time) -> &mut Record {
        self.evict_records(now);
        let record = self.records.entry(fingerprint).or_default();
        record.refresh(now);
        record
    }

    fn evict_records(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| !record.expires_at.passed(now));
        if self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, record| {
                record.quarantine_reported
                    || !record.crashes.is_empty()
                    || !record.running.is_empty()
            });
        }
    }
}

impl Record {
    fn refresh(&mut self, now: Time) {
        self.running.retain(|_, until| !until.passed(now));
        if self.expires_at.passed(now) && self.running.is_empty() {
            *self = Self::default();
        }
        let lifetime = if self.quarantined() { QUARANTINE_LIFETIME } else { RECORD_LIFETIME };
        self.expires_at = now.after(lifetime);
    }

    fn quarantined(&self) -> bool {
        self.quarantine_reported || self.crashes.len() >= MAX_CRASHES
    }

    fn verdict(&self) -> Verdict {
        if self.quarantined() {
            return Verdict::Quarantined;
        }
        if self.cleared {
            return Verdict::Run;
        }
        if self.crashes.len() + self.running.len() >= MAX_CRASHES {
            return Verdict::Wait;
        }
        if self.crashes.is_empty() { Verdict::Run } else { Verdict::Isolated }
    }
}

/// Returns the VMs that own a fingerprint, highest rank first.
pub fn owners<'a, I>(fingerprint: Fingerprint, vms: I) -> Vec<&'a Vm>
where
    I: IntoIterator<Item = &'a Vm>,
{
    let mut ranked: Vec<&Vm> = vms.into_iter().collect();
    ranked.sort_by_key(|vm| std::cmp::Reverse(rank(fingerprint, vm)));
    ranked.truncate(OWNERS);
    ranked
}

fn rank(fingerprint: Fingerprint, vm: &Vm) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write_u128(fingerprint.0);
    hasher.write(vm.as_str().as_bytes());
    hasher.finish()
}
