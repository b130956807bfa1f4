//! Upstreams that are cold, and the quota of requests that each takes meanwhile.
//!
//! The remaining cold time of an upstream is stated by its entry in the store and by its
//! answers, and supposed by VMs that found it gone: a process that comes back is cold. VMs
//! tell each other the newest word. Words of one revision of an entry differ only in when
//! a VM first read it, so the earliest end of them holds. A new revision outweighs words
//! that are surely older than its write; of others the later end holds.
//!
//! When the cold time has ended, the quota doubles every `RAMP_DOUBLING` before it is
//! dropped, so that not all VMs use the upstream fully at the same moment.
//!
//! Quotas are granted as limits that upstreams name (`limit`), under a key of their own for
//! each upstream whatever its process, since VMs may know different ones for a while.

use std::collections::HashMap;
use std::time::Duration;

use super::configuration::Cold;
use super::departure::Process;
use super::repeat::Repeat;
use crate::clock::Time;

/// Time in which the quota doubles after the cold time.
const RAMP_DOUBLING: Duration = Duration::from_millis(500);
/// Time after the cold time at which the quota is dropped.
const RAMP: Duration = Duration::from_millis(3_000);
/// Time after the cold time, or after a peer's longer claim, for which a word is reported:
/// a VM that has just started may have read an entry that is older than it knows.
const REPORTED_FOR: Duration = Duration::from_secs(30);
/// Ends of a cold time that differ by less are the same word, told by several VMs.
const REPEATED_WITHIN: Duration = Duration::from_millis(100);
/// Part of the tolerated excess that is used as burst. The rest is for buckets of VMs that
/// take the granting over.
const BURST_SHARE: f64 = 0.25;
/// Start time in keys under which quotas are granted; no process has it.
const ANY_PROCESS: u64 = u64::MAX;

/// Key under which the quota of an upstream is granted.
pub fn key(upstream: u32) -> Process {
    Process { number: upstream, started_unix_ms: ANY_PROCESS }
}

/// Whether quotas are granted under this key.
pub fn is_key(process: Process) -> bool {
    process.started_unix_ms == ANY_PROCESS
}

/// Tolerated excess over quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Factor of the requests a second.
    pub overrun: f64,
    /// Number of requests a second beyond the factor.
    pub slack: f64,
}

/// Requests that may be sent to a cold upstream by all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub per_s: f64,
    /// Requests at once.
    pub burst: f64,
    /// Tolerated requests in a second beyond `per_s`.
    pub excess: f64,
}

impl Quota {
    /// Quota at `per_s` that keeps within `bounds` in each second.
    pub fn new(per_s: f64, bounds: Bounds) -> Self {
        let allowed = per_s * bounds.overrun + bounds.slack;
        let burst = ((allowed - per_s) * BURST_SHARE).max(1.0);
        let per_s = per_s.min(allowed - burst);
        Self { per_s, burst, excess: allowed - per_s }
    }
}

/// What is known of an upstream's cold time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// Start time of the process, as a Unix time in milliseconds.
    pub started_unix_ms: u64,
    /// When it was true.
    pub at: Time,
    /// When the cold time ends; not after `at` if it is warm.
    pub until: Time,
    /// Revision of the entry that states it; 0: not an entry.
    pub revision: u64,
}

/// An upstream's entry in the store, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Start time of the process, as a Unix time in milliseconds.
    pub started_unix_ms: u64,
    /// Revision of the entry.
    pub revision: u64,
    /// Remaining cold time when it was written; none: not stated.
    pub left: Option<Duration>,
}

/// Change of an upstream's state by a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was not known to be cold.
    Learnt,
    /// Its cold time has ended.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct State {
    word: Word,
    /// Highest revision of the entry that was read.
    revision: u64,
    /// Time at which the last own read was current.
    read_at: Time,
    /// Time until which other VMs may know worse.
    reported_until: Time,
    /// When this VM tells the others.
    repeat: Repeat,
    /// Whether its end is still to be told by `take_ended`.
    is_open: bool,
    /// When the log last said that the quota was used up.
    logged_at: Option<Time>,
}

impl State {
    fn is_reported(&self, now: Time) -> bool {
        !self.reported_until.passed(now) && self.word.until > Time(0)
    }
}

/// What an upstream takes, by its cold time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// Nothing is known of it here.
    Unknown,
    /// Any number of requests.
    Warm,
    /// Requests within a quota.
    Cold(Quota),
}

/// Cold upstreams, by their numbers in datagrams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    states: HashMap<u32, State>,
    rules: HashMap<u32, Cold>,
    /// Whether a list of upstreams was read before.
    has_read: bool,
}

impl Upstreams {
    /// Applies one list of all upstreams, with the rules of their services if these have
    /// cold upstreams, that was current at `current_at`; returns the upstreams that changed.
    pub fn record_list(
        &mut self,
        list: &[(u32, Option<Cold>, Reading)],
        current_at: Time,
        now: Time,
    ) -> Vec<(u32, Change)> {
        let is_first = !std::mem::replace(&mut self.has_read, true);
        let ruled = list.iter().filter_map(|(upstream, rule, _)| Some((*upstream, (*rule)?)));
        self.rules = ruled.collect();
        let mut changes = Vec::new();
        for (upstream, rule, reading) in list {
            let change = self.record_reading(*upstream, *rule, *reading, is_first, current_at, now);
            changes.extend(change.map(|change| (*upstream, change)));
        }
        changes
    }

    fn record_reading(
        &mut self,
        upstream: u32,
        rule: Option<Cold>,
        reading: Reading,
        is_first: bool,
        current_at: Time,
        now: Time,
    ) -> Option<Change> {
        let Reading { started_unix_ms, revision, left } = reading;
        let known = self.states.get_mut(&upstream);
        let known = known.filter(|state| state.word.started_unix_ms >= started_unix_ms);
        if let Some(state) = known {
            if state.word.started_unix_ms > started_unix_ms || state.revision >= revision {
                state.read_at = current_at;
                return None;
            }
            let last_read_at = std::mem::replace(&mut state.read_at, current_at);
            state.revision = revision;
            let until = match left? {
                Duration::ZERO => current_at,
                left => now.after(left),
            };
            let word = Word { started_unix_ms, at: current_at, until, revision };
            // The entry may have been written before the word that is no entry's.
            if state.word.revision == 0 && state.word.at > last_read_at {
                let word = Word { until: until.max(state.word.until), revision: 0, ..word };
                return self.set(upstream, word, true, now);
            }
            return self.set(upstream, word, true, now);
        }
        // A process that appears while others serve is cold unless it says otherwise.
        let supposed = rule.filter(|_| !is_first).map_or(Duration::ZERO, |rule| rule.lasts);
        let until = match left.unwrap_or(supposed) {
            Duration::ZERO => current_at,
            left => now.after(left),
        };
        let word = Word { started_unix_ms, at: current_at, until, revision };
        let change = self.set(upstream, word, true, now);
        if let Some(state) = self.states.get_mut(&upstream) {
            (state.revision, state.read_at) = (revision, current_at);
        }
        change
    }

    /// Records a word: of an answer to this VM if `own`, or of another VM.
    pub fn record(&mut self, upstream: u32, word: Word, own: bool, now: Time) -> Option<Change> {
        let Some(state) = self.states.get_mut(&upstream) else {
            return self.set(upstream, word, own, now);
        };
        let last = state.word;
        if word.started_unix_ms < last.started_unix_ms {
            return None;
        }
        if word.started_unix_ms > last.started_unix_ms {
            return self.set(upstream, word, own, now);
        }
        if word.revision != 0 && word.revision == last.revision {
            // The other VM's cold time has ended; the ramp goes on from this VM's own end.
            if word.until <= word.at {
                let until = if last.until > now { now } else { last.until };
                return self.set(upstream, Word { until, ..last }, own, now);
            }
            if word.until > last.until {
                state.reported_until = now.after(REPORTED_FOR);
                return None;
            }
            let at = word.at.min(last.at);
            return self.set(upstream, Word { at, ..word }, own, now);
        }
        let is_older = word.revision != 0 && word.revision < state.revision;
        if is_older || word.at <= last.at {
            return None;
        }
        state.revision = state.revision.max(word.revision);
        self.set(upstream, word, own, now)
    }

    /// Records that an upstream may be cold from now on, since it was gone or out of sight.
    pub fn suspect(&mut self, upstream: u32, started_unix_ms: u64, now: Time) -> Option<Change> {
        let rule = self.rules.get(&upstream)?;
        let last = self.states.get(&upstream).map(|state| state.word);
        let started_unix_ms =
            last.map_or(started_unix_ms, |last| last.started_unix_ms.max(started_unix_ms));
        let until = now.after(rule.lasts).max(last.map_or(Time(0), |last| last.until));
        self.set(upstream, Word { started_unix_ms, at: now, until, revision: 0 }, true, now)
    }

    fn set(&mut self, upstream: u32, word: Word, own: bool, now: Time) -> Option<Change> {
        let last = self.states.get(&upstream).map(|state| state.word.until);
        let was_cold = last.is_some_and(|until| until > now);
        // A word that it is warm doesn't begin the ramp again.
        let is_warm = word.until <= word.at;
        let until = if is_warm && !was_cold { last.unwrap_or_default() } else { word.until };
        let until = if is_warm && was_cold { now } else { until };
        let is_new = !self.states.contains_key(&upstream);
        let state = self.states.entry(upstream).or_insert(State {
            word,
            revision: word.revision,
            read_at: Time(0),
            reported_until: Time(0),
            repeat: Repeat::default(),
            is_open: false,
            logged_at: None,
        });
        let moved = until.until(state.word.until).max(state.word.until.until(until));
        let is_news =
            is_new || state.word.started_unix_ms != word.started_unix_ms || moved > REPEATED_WITHIN;
        state.word = Word { until, ..word };
        let is_cold = until > now;
        state.is_open = is_cold;
        // What is only told again isn't passed on again: VMs would keep it alive for ever.
        if is_news {
            state.reported_until = until.max(now).after(REPORTED_FOR);
            state.repeat = if own { Repeat::word(now) } else { Repeat::heard(now) };
        }
        match (was_cold, is_cold) {
            (false, true) => Some(Change::Learnt),
            (true, false) => Some(Change::Ended),
            _ => None,
        }
    }

    /// Upstreams whose cold time has ended by itself, each one once.
    pub fn take_ended(&mut self, now: Time) -> Vec<u32> {
        let mut ended = Vec::new();
        for (upstream, state) in &mut self.states {
            if state.is_open && state.word.until.passed(now) {
                state.is_open = false;
                ended.push(*upstream);
            }
        }
        ended
    }

    /// What an upstream takes now.
    pub fn standing(&self, upstream: u32, bounds: Bounds, now: Time) -> Standing {
        let Some(rule) = self.rules.get(&upstream) else { return Standing::Unknown };
        let Some(state) = self.states.get(&upstream) else { return Standing::Unknown };
        let until = state.word.until;
        let quota = Quota::new(rule.per_s, bounds);
        if !until.passed(now) {
            return Standing::Cold(quota);
        }
        if until.after(RAMP).passed(now) {
            return Standing::Warm;
        }
        let doublings = until.until(now).as_secs_f64() / RAMP_DOUBLING.as_secs_f64();
        Standing::Cold(Quota { per_s: quota.per_s * doublings.exp2(), ..quota })
    }

    /// The newest word of an upstream.
    pub fn word(&self, upstream: u32) -> Option<Word> {
        self.states.get(&upstream).map(|state| state.word)
    }

    /// Words that this VM tells the others now, `most` at once.
    pub fn take_due(&mut self, most: usize, now: Time) -> Vec<(u32, Word)> {
        let due = self.states.iter_mut().filter_map(|(upstream, state)| {
            let is_due = state.is_reported(now) && state.repeat.is_due(now);
            is_due.then(|| {
                state.repeat.record_told(now);
                (*upstream, state.word)
            })
        });
        due.take(most).collect()
    }

    /// Whether another VM's word is to be corrected: its cold time ends later by the same
    /// revision of the entry.
    pub fn corrects(&self, upstream: u32, word: Word) -> bool {
        let own = self.states.get(&upstream).map(|state| state.word);
        own.is_some_and(|own| {
            own.revision != 0
                && own.revision == word.revision
                && own.started_unix_ms == word.started_unix_ms
                && own.until.after(REPEATED_WITHIN) < word.until
        })
    }

    /// Words that this VM tells one that may have missed them.
    pub fn report(&self, now: Time) -> impl Iterator<Item = (u32, Word)> {
        let reported = self.states.iter().filter(move |(_, state)| state.is_reported(now));
        reported.map(|(upstream, state)| (*upstream, state.word))
    }

    /// Whether the log is to say that the quota is used up, once in `interval`.
    pub fn logs_used_up(&mut self, upstream: u32, interval: Duration, now: Time) -> bool {
        let Some(state) = self.states.get_mut(&upstream) else { return false };
        if state.logged_at.is_some_and(|at| !at.after(interval).passed(now)) {
            return false;
        }
        state.logged_at = Some(now);
        true
    }
}
