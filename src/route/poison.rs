//! Requests that crash upstreams, known by a fingerprint of path and body.
//!
//! Each fingerprint has one owner among the entry VMs, which is asked before
//! a request runs. Until a run of it has ended well, lost upstreams and runs
//! under way are never more than `LOSS_LIMIT` together, through however many
//! VMs the request is sent. After one loss it runs alone; after the last one
//! it is quarantined. A run that ends well clears the fingerprint.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// Upstreams that one request may cost the fleet.
pub const LOSS_LIMIT: u32 = 2;

/// How long a fingerprint is remembered after it was last met.
const MEMORY: Duration = Duration::from_secs(600);
/// How long a quarantine lasts after it was last met.
const QUARANTINE: Duration = Duration::from_secs(3_600);
/// How long a run counts after its deadline, when its end is never told.
const RUN_GRACE: Duration = Duration::from_secs(2);
/// Fingerprints kept; beyond, those that lost nothing are dropped first.
const MAX_RECORDS: usize = 100_000;

key! {
    /// Digest of a request's path and body.
    pub struct Fingerprint(pub u128);

    /// What may be done with a request now.
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
        Whole,
        /// Its upstream's answer broke off.
        Died,
        /// It was not sent, or given up, or answered wrongly.
        Other,
    }
}

/// One run of a request, unique over the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// VM that runs it.
    pub vm: Vm,
    /// Its number on that VM.
    pub number: u64,
}

#[derive(Clone, Debug, Default)]
struct Record {
    running: HashMap<Run, Time>,
    lost: u32,
    cleared: bool,
    until: Time,
}

/// What an owner knows.
#[derive(Clone, Debug, Default)]
pub struct Poison {
    records: HashMap<Fingerprint, Record>,
}

impl Poison {
    /// Asks to run a request until `deadline`.
    pub fn begin(&mut self, print: Fingerprint, run: Run, deadline: Time, now: Time) -> Verdict {
        self.make_room(now);
        let record = self.records.entry(print).or_default();
        record.refresh(now);
        let verdict = record.judge();
        if matches!(verdict, Verdict::Run | Verdict::Alone) {
            record.running.insert(run, deadline.after(RUN_GRACE));
            let risked = record.lost + record.running.len() as u32;
            assert!(
                record.cleared || risked <= LOSS_LIMIT,
                "a request may cost too many upstreams"
            );
        }
        verdict
    }

    /// Notes how a run ended; gives the losses so far if they have grown.
    pub fn end(&mut self, print: Fingerprint, run: &Run, how: Outcome, now: Time) -> Option<u32> {
        let record = self.records.entry(print).or_default();
        record.refresh(now);
        record.running.remove(run);
        match how {
            Outcome::Whole if record.lost < LOSS_LIMIT => {
                record.cleared = true;
                record.lost = 0;
                None
            }
            Outcome::Died => {
                record.cleared = false;
                record.lost += 1;
                Some(record.lost)
            }
            Outcome::Whole | Outcome::Other => None,
        }
    }

    /// Takes in losses that another VM tells.
    pub fn learn(&mut self, print: Fingerprint, lost: u32, now: Time) {
        self.make_room(now);
        let record = self.records.entry(print).or_default();
        record.lost = record.lost.max(lost);
        record.cleared = false;
        record.refresh(now);
    }

    /// Whether a request never runs again.
    pub fn is_quarantined(&mut self, print: Fingerprint, now: Time) -> bool {
        let Some(record) = self.records.get_mut(&print) else { return false };
        if record.until.passed(now) {
            self.records.remove(&print);
            return false;
        }
        record.lost >= LOSS_LIMIT
    }

    /// Whether a run of the request ended well and none has died since.
    pub fn is_cleared(&self, print: Fingerprint, now: Time) -> bool {
        self.records.get(&print).is_some_and(|record| record.cleared && !record.until.passed(now))
    }

    /// Fingerprints kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn make_room(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| !record.until.passed(now));
        if self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, record| record.lost > 0 || !record.running.is_empty());
        }
    }
}

impl Record {
    fn refresh(&mut self, now: Time) {
        if self.until.passed(now) && self.until > Time(0) && self.running.is_empty() {
            *self = Self::default();
        }
        self.running.retain(|_, until| !until.passed(now));
        let span = if self.lost >= LOSS_LIMIT { QUARANTINE } else { MEMORY };
        self.until = now.after(span);
    }

    fn judge(&self) -> Verdict {
        let running = self.running.len() as u32;
        match self.lost {
            lost if lost >= LOSS_LIMIT => Verdict::Quarantined,
            _ if self.cleared => Verdict::Run,
            lost if lost + running >= LOSS_LIMIT => Verdict::Wait,
            0 => Verdict::Run,
            _ => Verdict::Alone,
        }
    }
}
