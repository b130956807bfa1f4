//! Limits that processes of upstreams name in their answers: requests per second
//! from all VMs together.
//!
//! A limit stands until a later answer of the process names another one or none,
//! or the upstream's entry shows another process. VMs tell each other of it in
//! load reports. Each request to such a process must be granted before it is sent, by one
//! VM, chosen by rendezvous hashing among the members that are heard.
//!
//! VMs may disagree for a while on which VM that is: one was lost, cut off or
//! frozen. So each VM keeps a bucket for each process, reports how many requests
//! it has granted, and removes from its bucket what others report; and a VM that
//! doesn't hear all members grants only its part of the limit. Nothing of this
//! needs the store.

use std::collections::HashMap;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use super::bucket::Bucket;
use super::cold::Quota;
use super::departure::Process;
use super::repeat::Repeat;
use super::upstream::Use;
use crate::clock::Time;
use crate::id::Vm;

/// Time after the last word of a process for which it is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which this VM reports what a process told it, and what it granted.
const REPORTED_FOR: Duration = Duration::from_secs(10);
/// Time for which it tells the others of its own accord what it granted.
const GRANTED_FOR: Duration = Duration::from_secs(5);
/// Lowest rate of grants, in requests per second: an answer tells when a limit has ended.
const MIN_PER_S: f64 = 0.2;
/// Requests that may be granted at once, on top of those of `BURST_S`.
const MIN_BURST: f64 = 2.0;
/// Part of the burst that grows with the limit, in seconds of it.
const BURST_S: f64 = 0.25;
/// Part of a quota below which many VMs may grant parts of it at the same time.
const MINOR_SHARE: f64 = 0.5;
/// Shortest time for which a VM sends no requests to a process after one was denied.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// Longest such time.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// What an answer said of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// Requests per second; none if the answer named no limit.
    pub per_s: Option<f64>,
    /// When a VM read the answer.
    pub at: Time,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent now.
    Granted,
    /// Not before this time, and then only if it is granted.
    Denied(Time),
}

/// Who is asked whether a request may be sent to a process that has named a limit.
pub trait Gate {
    /// Asks for one request of a kind.
    fn admit(&self, process: Process, kind: Use) -> LocalBoxFuture<'_, Admission>;
}

/// Number of requests that a VM's process has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Incarnation of the VM's process.
    pub incarnation: u64,
    /// Requests granted since its start, modulo 2^32.
    pub count: u32,
}

#[derive(Clone, Debug)]
struct State {
    word: Word,
    /// When the process last told this VM itself.
    told_at: Option<Time>,
    bucket: Bucket,
    /// Requests at once, if not by `burst`.
    burst: Option<f64>,
    /// Whether this VM grants less than `MINOR_SHARE`.
    is_minor: bool,
    granted: u32,
    granted_at: Option<Time>,
    /// Latest time for which a VM whose request was denied was told to ask again.
    last_turn: Time,
    /// The same for items, whose turns don't delay online requests.
    last_item_turn: Time,
    /// What other VMs have granted, as far as it was removed from `bucket`.
    removed: HashMap<Vm, Granted>,
    /// When the others are told of what this VM knows first-hand.
    repeat: Repeat,
}

impl State {
    fn is_reported(&self, now: Time) -> bool {
        is_recent(self.told_at, REPORTED_FOR, now) || is_recent(self.granted_at, REPORTED_FOR, now)
    }

    fn is_due(&self, now: Time) -> bool {
        let is_told = is_recent(self.told_at, REPORTED_FOR, now)
            || is_recent(self.granted_at, GRANTED_FOR, now);
        is_told && self.repeat.is_due(now)
    }
}

/// What this VM reports of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The process.
    pub process: Process,
    /// Its last word.
    pub word: Word,
    /// Requests that this VM's process has granted, modulo 2^32.
    pub granted: u32,
}

/// Part of a quota that a VM grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Part of the whole.
    pub share: f64,
    /// Random number between 0 and 1. Many VMs that are cut off at the same time begin to
    /// grant their parts at different times.
    pub phase: f64,
}

/// Limits of processes.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    states: HashMap<Process, State>,
}

impl Limits {
    /// Records what a process said, to this VM if `own`; whether this changes its limit.
    /// A word older than the last one is ignored.
    pub fn record(&mut self, process: Process, word: Word, own: bool, now: Time) -> bool {
        if !self.states.contains_key(&process) {
            if word.per_s.is_none() {
                return false;
            }
            self.states.retain(|_, state| !state.word.at.after(RETENTION).passed(now));
        }
        let state = self.states.entry(process).or_insert_with(|| State {
            word: Word { per_s: None, at: word.at },
            told_at: None,
            bucket: Bucket::new(0.0, now),
            burst: None,
            is_minor: false,
            granted: 0,
            granted_at: None,
            last_turn: now,
            last_item_turn: now,
            removed: HashMap::new(),
            repeat: Repeat::word(now),
        });
        if own {
            state.told_at = Some(now);
        }
        if state.word.at > word.at {
            return false;
        }
        let before = state.word.per_s;
        state.word = word;
        if own && before != word.per_s {
            state.repeat = Repeat::word(now);
        }
        before != word.per_s
    }

    /// Limit of a process, in requests per second; none if it names none.
    pub fn per_s(&self, process: Process) -> Option<f64> {
        self.states.get(&process)?.word.per_s
    }

    /// Last word of a process; none if it has never named a limit.
    pub fn word(&self, process: Process) -> Option<Word> {
        self.states.get(&process).map(|state| state.word)
    }

    /// Grants or denies a request; `heard_share` is the part of all members that this VM
    /// hears, itself included. VMs that are denied are told to ask again one after the
    /// other, as requests can be granted.
    pub fn grant(&mut self, process: Process, heard_share: f64, now: Time) -> Admission {
        self.grant_for(process, Use::Online, 0.0, heard_share, now)
    }

    /// The same for a request of a kind that leaves `reserve` further ones grantable.
    pub fn grant_for(
        &mut self,
        process: Process,
        kind: Use,
        reserve: f64,
        heard_share: f64,
        now: Time,
    ) -> Admission {
        let Some(state) = self.states.get_mut(&process) else { return Admission::Granted };
        let Some(per_s) = state.word.per_s else { return Admission::Granted };
        let per_s = per_s.max(MIN_PER_S) * heard_share;
        let burst = state.burst.map_or_else(|| burst(per_s), |burst| burst * heard_share);
        match state.bucket.take_above(reserve, per_s, burst, now) {
            Ok(()) => {
                state.granted = state.granted.wrapping_add(1);
                state.granted_at = Some(now);
                state.repeat.record_counted(now);
                Admission::Granted
            }
            Err(wait) => {
                let last_turn = match kind {
                    Use::Online => &mut state.last_turn,
                    Use::Batch => &mut state.last_item_turn,
                };
                let turn = last_turn.after(Duration::from_secs_f64(1.0 / per_s));
                let next = now.after(wait.max(MIN_WAIT)).max(turn).min(now.after(MAX_WAIT));
                *last_turn = next;
                Admission::Denied(next)
            }
        }
    }

    /// Begins the quota of an upstream that is newly known to be cold, at which `running`
    /// requests run: they may have been sent within the last second. After one more second
    /// they no longer matter.
    pub fn begin_quota(&mut self, key: Process, quota: Quota, running: u32, now: Time) {
        self.record(key, Word { per_s: Some(quota.per_s), at: now }, false, now);
        let one_second_later = (1.0 - quota.per_s).min(0.0);
        let tokens = (quota.excess - f64::from(running)).clamp(one_second_later, 0.0);
        if let Some(state) = self.states.get_mut(&key) {
            state.bucket.drain(tokens, now);
        }
    }

    /// Grants or denies a request within the quota of a cold upstream, whose `key` is no
    /// process's.
    pub fn grant_quota(&mut self, key: Process, quota: Quota, part: Part, now: Time) -> Admission {
        self.record(key, Word { per_s: Some(quota.per_s), at: now }, false, now);
        if let Some(state) = self.states.get_mut(&key) {
            state.burst = Some(quota.burst);
            let is_minor = part.share < MINOR_SHARE;
            if !std::mem::replace(&mut state.is_minor, is_minor) && is_minor {
                state.bucket.drain(-part.phase, now);
            }
        }
        self.grant(key, part.share, now)
    }

    /// Removes what another VM reports to have granted from this VM's bucket.
    pub fn record_granted(&mut self, process: Process, vm: &Vm, granted: Granted, now: Time) {
        let Some(state) = self.states.get_mut(&process) else { return };
        let last = state.removed.insert(vm.clone(), granted);
        let last = last.filter(|last| last.incarnation == granted.incarnation);
        let count = granted.count.wrapping_sub(last.map_or(0, |last| last.count));
        let per_s = state.word.per_s.unwrap_or_default().max(MIN_PER_S);
        let burst = state.burst.unwrap_or_else(|| burst(per_s));
        state.bucket.remove(f64::from(count), per_s, burst, now);
    }

    /// What this VM tells the others now, `most` rows at once.
    pub fn take_due(&mut self, most: usize, now: Time) -> Vec<Row> {
        let due = self.states.iter_mut().filter(|(_, state)| state.is_due(now));
        let row = |(process, state): (&Process, &mut State)| {
            state.repeat.record_told(now);
            Row { process: *process, word: state.word, granted: state.granted }
        };
        due.take(most).map(row).collect()
    }

    /// What this VM reports of one process; none if it has never named a limit.
    pub fn row(&self, process: Process) -> Option<Row> {
        let state = self.states.get(&process)?;
        Some(Row { process, word: state.word, granted: state.granted })
    }

    /// What this VM tells one that may have missed it.
    pub fn report(&self, now: Time) -> impl Iterator<Item = Row> {
        let reported = self.states.iter().filter(move |(_, state)| state.is_reported(now));
        reported.map(|(process, state)| Row {
            process: *process,
            word: state.word,
            granted: state.granted,
        })
    }
}

/// Most requests that are granted at once at a limit of `per_s`.
fn burst(per_s: f64) -> f64 {
    MIN_BURST + BURST_S * per_s
}

fn is_recent(at: Option<Time>, span: Duration, now: Time) -> bool {
    at.is_some_and(|at| !at.after(span).passed(now))
}
