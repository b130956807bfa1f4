//! Requests that crash upstreams, known by a fingerprint of path and body.
//!
//! Each fingerprint has two owners among the entry VMs, those that rank first
//! for it. They are asked before each run, and the strictest verdict counts.
//! Until a run has ended well, deaths and runs under way are never more than
//! `MAX_CRASHES` together, through however many VMs the request comes. After
//! one death it runs alone; after the last it is quarantined. A run that ends
//! well clears the fingerprint.
//!
//! Deaths are a set of runs, so that VMs may tell each other the same death
//! any number of times.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher24;

use crate::clock::Time;
use crate::id::Vm;

/// Upstreams that one request may cost the fleet.
pub const MAX_CRASHES: usize = 2;
/// Entry VMs that keep a fingerprint's record.
pub const OWNERS: usize = 2;

/// How long a cancelled run counts before its upstream is looked at: a crash
/// that came before the cancellation must have shown by then.
pub const PROBE_DELAY: Duration = Duration::from_millis(500);

/// How long a fingerprint is remembered after it was last met.
const MEMORY: Duration = Duration::from_secs(600);
/// How long a quarantine lasts after it was last met.
const QUARANTINE: Duration = Duration::from_secs(3_600);
/// How long a run counts after its deadline, when its end is never told.
const RUN_GRACE: Duration = Duration::from_secs(2);
/// Fingerprints kept; beyond, those without deaths or runs are dropped first.
const MAX_RECORDS: usize = 100_000;

key! {
    /// Digest of a request's path and body.
    pub struct Fingerprint(pub u128);

    /// What may be done with a request now, from loose to strict.
    pub enum Verdict {
        /// It may run.
        Run,
        /// It may run where nothing else runs.
        Alone,
        /// It may not run before another run of it has ended.
        Wait,
        /// It never runs again.
        Quarantined,
    }

    /// How a run ended.
    pub enum Outcome {
        /// Its answer came whole.
        Completed,
        /// Its upstream's answer broke off.
        Crashed,
        /// It was not sent, or given up, or answered wrongly.
        Other,
    }
}

impl Verdict {
    /// Whether the request may run now.
    pub fn allows(self) -> bool {
        matches!(self, Verdict::Run | Verdict::Alone)
    }

    /// The strictest of several verdicts.
    pub fn strictest<I>(verdicts: I) -> Self
    where
        I: IntoIterator<Item = Verdict>,
    {
        verdicts.into_iter().max().unwrap_or(Verdict::Run)
    }
}

/// One run of a request, unique over the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// VM that runs it.
    pub vm: Vm,
    /// Its number on that VM.
    pub number: u64,
}

#[derive(Clone, Debug, Default)]
struct Record {
    running: BTreeMap<Run, Time>,
    deaths: BTreeSet<Run>,
    cleared: bool,
    condemned: bool,
    until: Time,
}

/// What one VM knows.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    records: HashMap<Fingerprint, Record>,
}

impl Crashes {
    /// Asks to run a request until `deadline`.
    pub fn begin(&mut self, print: Fingerprint, run: Run, deadline: Time, now: Time) -> Verdict {
        let record = self.record(print, now);
        record.running.remove(&run);
        let verdict = record.judge();
        if verdict.allows() {
            record.running.insert(run, deadline.after(RUN_GRACE));
            let risked = record.deaths.len() + record.running.len();
            assert!(
                record.cleared || risked <= MAX_CRASHES,
                "a request may cost too many upstreams"
            );
        }
        verdict
    }

    /// Notes how a run ended; true if that quarantined the request.
    pub fn end(&mut self, print: Fingerprint, run: &Run, how: Outcome, now: Time) -> bool {
        let record = self.record(print, now);
        let before = record.quarantined();
        record.running.remove(run);
        match how {
            Outcome::Completed if !before => {
                record.cleared = true;
                record.deaths.clear();
            }
            Outcome::Crashed => {
                record.cleared = false;
                record.deaths.insert(run.clone());
            }
            Outcome::Completed | Outcome::Other => {}
        }
        record.quarantined() && !before
    }

    /// Notes that a owner refuses the request for good.
    pub fn condemn(&mut self, print: Fingerprint, now: Time) {
        self.record(print, now).condemned = true;
    }

    /// Whether a request never runs again, as far as this VM knows.
    pub fn is_quarantined(&self, print: Fingerprint, now: Time) -> bool {
        self.known(print, now).is_some_and(Record::quarantined)
    }

    /// Whether a run of the request ended well and none has died since.
    pub fn is_cleared(&self, print: Fingerprint, now: Time) -> bool {
        self.known(print, now).is_some_and(|record| record.cleared)
    }

    fn known(&self, print: Fingerprint, now: Time) -> Option<&Record> {
        self.records.get(&print).filter(|record| !record.until.passed(now))
    }

    fn record(&mut self, print: Fingerprint, now: Time) -> &mut Record {
        self.make_room(now);
        let record = self.records.entry(print).or_default();
        record.refresh(now);
        record
    }

    fn make_room(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| !record.until.passed(now));
        if self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, record| {
                record.condemned || !record.deaths.is_empty() || !record.running.is_empty()
            });
        }
    }
}

impl Record {
    fn refresh(&mut self, now: Time) {
        self.running.retain(|_, until| !until.passed(now));
        if self.until.passed(now) && self.running.is_empty() {
            *self = Self::default();
        }
        let span = if self.quarantined() { QUARANTINE } else { MEMORY };
        self.until = now.after(span);
    }

    fn quarantined(&self) -> bool {
        self.condemned || self.deaths.len() >= MAX_CRASHES
    }

    fn judge(&self) -> Verdict {
        if self.quarantined() {
            return Verdict::Quarantined;
        }
        if self.cleared {
            return Verdict::Run;
        }
        if self.deaths.len() + self.running.len() >= MAX_CRASHES {
            return Verdict::Wait;
        }
        if self.deaths.is_empty() { Verdict::Run } else { Verdict::Alone }
    }
}

/// The VMs that keep a fingerprint, in the order they are asked.
pub fn owners<'a, I>(print: Fingerprint, vms: I) -> Vec<&'a Vm>
where
    I: IntoIterator<Item = &'a Vm>,
{
    let mut ranked: Vec<&Vm> = vms.into_iter().collect();
    ranked.sort_by_key(|vm| std::cmp::Reverse(score(print, vm)));
    ranked.truncate(OWNERS);
    ranked
}

fn score(print: Fingerprint, vm: &Vm) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write_u128(print.0);
    hasher.write(vm.as_str().as_bytes());
    hasher.finish()
}
