//! Finds the parts of prompts that crash the upstreams that run them.
//!
//! Requests with such a part are not alike, so no single one of them crashes
//! many upstreams. Each crash comes with the requests that were in flight at the
//! upstream, on any VM, sound ones too. Parts that such requests share with many
//! others soon stand out by the answers that are completed with them; a part
//! that crashes upstreams never has one. So a part is held off
//!
//! - after `MIN_CRASHES` crashes under `MIN_REQUESTS` requests, if no answer with
//!   it was completed lately;
//! - after `MIN_CRASHES_ONCE_SOUND` crashes since the last one, reported by two
//!   VMs: a VM that is cut off from upstreams sees them as crashed;
//!
//! and only for crashes that no other part explains. Of several parts at once,
//! that which explains most crashes is held off, then that of the fewest requests.
//!
//! Any answer that is completed with the part, on any VM, ends it. As none can be
//! while requests with it are refused, one is let through now and then.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Time;
use crate::route::Fingerprint;
use crate::serve::protocol::Part;

/// Crashes after which a part without completed answers is held off.
const MIN_CRASHES: usize = 4;
/// Distinct requests that must have been in flight in these crashes.
const MIN_REQUESTS: usize = 3;
/// Crashes since the last completed answer after which any part is held off.
const MIN_CRASHES_ONCE_SOUND: usize = 5;
/// Number of VMs that must have reported these crashes.
const MIN_REPORTERS: usize = 2;
/// Time in which other VMs can report answers that were completed with a part.
const SETTLE: Duration = Duration::from_millis(150);
/// The same for a part that had completed answers: its crashes may be explained by
/// another part in reports that are still repeated.
const SETTLE_ONCE_SOUND: Duration = Duration::from_millis(1_200);
/// Time for which a completed answer speaks for a part, and a crash against it.
const MEMORY: Duration = Duration::from_secs(60);
/// Time after the last crash until a request is let through; doubles each time.
const FIRST_TRIAL: Duration = Duration::from_secs(30);
/// Maximum time between two such requests.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(3_600);
/// Time after the last crash after which a part that is held off is forgotten.
const RETENTION: Duration = Duration::from_secs(4 * 3_600);
/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;
/// Maximum number of parts with completed answers that are remembered.
const MAX_COMPLETED: usize = 8_192;

key! {
    /// A crash of an upstream's process.
    pub struct Crash(pub u64);
    /// A VM that reported a crash.
    pub struct Reporter(pub u64);
}

/// A request that was in flight at an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The crash.
    pub crash: Crash,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other requests may share, in order.
    pub shared_parts: Vec<Part>,
}

#[derive(Debug, Default)]
struct Incident {
    at: Time,
    runs: Vec<(Run, Reporter)>,
}

impl Incident {
    fn holds(&self, part: Part) -> bool {
        self.runs.iter().any(|(run, _)| run.shared_parts.contains(&part))
    }
}

/// Why and until when a part is held off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Time of the last crash under it.
    pub last_crash: Time,
    /// Time from which one request with it is let through.
    pub trial_at: Time,
    /// Number of requests let through so far.
    pub trials: u32,
}

impl Held {
    /// A part whose last crash was at `last_crash`, with its next trial at the usual time.
    pub fn new(last_crash: Time, trials: u32) -> Self {
        let interval = FIRST_TRIAL.saturating_mul(1 << trials.min(16)).min(MAX_TRIAL_INTERVAL);
        Self { last_crash, trial_at: last_crash.after(interval), trials }
    }

    /// The later of each value, since ages in reports are a little off each time.
    fn later(self, other: Self) -> Self {
        Self {
            last_crash: self.last_crash.max(other.last_crash),
            trial_at: self.trial_at.max(other.trial_at),
            trials: self.trials.max(other.trials),
        }
    }
}

/// Evidence against a part.
#[derive(Debug, Default)]
struct Case {
    crashes: usize,
    requests: BTreeSet<Fingerprint>,
    reporters: BTreeSet<Reporter>,
    /// Largest number of parts before it in a prompt.
    depth: usize,
}

/// Parts of prompts, by what happened to upstreams that ran them.
#[derive(Debug, Default)]
pub struct Parts {
    incidents: HashMap<Crash, Incident>,
    completed: HashMap<Part, Time>,
    held: HashMap<Part, Held>,
    /// Parts with enough evidence, with the times from which it counts.
    settling: HashMap<Part, Time>,
}

impl Parts {
    /// Adds a request that was in flight at a crash; whether it is new here.
    pub fn record_crash(&mut self, run: Run, reporter: Reporter, at: Time) -> bool {
        let known = |(known, _): &(Run, Reporter)| known.fingerprint == run.fingerprint;
        let incident = self.incidents.get(&run.crash);
        if run.shared_parts.is_empty() || incident.is_some_and(|it| it.runs.iter().any(known)) {
            return false;
        }
        for part in &run.shared_parts {
            if let Some(held) = self.held.get_mut(part)
                && at > held.last_crash
            {
                *held = Held::new(at, held.trials);
            }
        }
        let incident = self.incidents.entry(run.crash).or_default();
        incident.at = if incident.runs.is_empty() { at } else { incident.at.min(at) };
        incident.runs.push((run, reporter));
        self.drop_oldest();
        true
    }

    fn drop_oldest(&mut self) {
        while self.incidents.len() > MAX_CRASHES {
            let oldest = self.incidents.iter().min_by_key(|(_, incident)| incident.at);
            let Some(crash) = oldest.map(|(crash, _)| *crash) else { return };
            self.incidents.remove(&crash);
        }
    }

    /// Records that an answer was completed with `parts`; those no longer held off.
    pub fn record_completed(&mut self, parts: &[Part], at: Time) -> Vec<Part> {
        let mut cleared = Vec::new();
        for part in parts {
            let last = self.completed.entry(*part).or_insert(at);
            *last = (*last).max(at);
            if self.held.get(part).is_some_and(|held| at > held.last_crash) {
                self.held.remove(part);
                cleared.push(*part);
            }
        }
        if self.completed.len() > MAX_COMPLETED {
            self.drop_oldest_half();
        }
        cleared
    }

    fn drop_oldest_half(&mut self) {
        let mut times: Vec<Time> = self.completed.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_COMPLETED / 2);
        let median = *median;
        self.completed.retain(|_, last| *last > median);
    }

    /// Adopts a part that another VM holds off; whether it is new here.
    pub fn adopt(&mut self, part: Part, told: Held) -> bool {
        if self.completed.get(&part).is_some_and(|completed| *completed > told.last_crash) {
            return false;
        }
        let known = self.held.get(&part).copied();
        let merged = known.map_or(told, |known| known.later(told));
        self.held.insert(part, merged);
        known.is_none()
    }

    /// Crashes that speak against parts which aren't held off, from the second crash and the
    /// second request on, with these parts only.
    pub fn open_evidence(&self) -> impl Iterator<Item = (Run, Time)> {
        let mut cases = self.cases();
        cases.retain(|_, case| case.crashes > 1 && case.requests.len() > 1);
        let mut rows = Vec::new();
        for incident in self.incidents.values().filter(|incident| !self.is_explained(incident)) {
            for (run, _) in &incident.runs {
                let parts = run.shared_parts.iter().copied();
                let shared_parts: Vec<Part> =
                    parts.filter(|part| cases.contains_key(part)).collect();
                if !shared_parts.is_empty() {
                    rows.push((Run { shared_parts, ..run.clone() }, incident.at));
                }
            }
        }
        rows.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        rows.into_iter()
    }

    /// Decides by the evidence so far; parts that are held off from now on.
    pub fn decide(&mut self, now: Time) -> Vec<Part> {
        self.expire(now);
        let mut decided = Vec::new();
        while let Some(part) = self.next_case(now) {
            let crashes = self.incidents.values().filter(|incident| incident.holds(part));
            let last_crash = crashes.map(|incident| incident.at).max().unwrap_or(now);
            self.held.insert(part, Held::new(last_crash, 0));
            decided.push(part);
        }
        decided
    }

    fn expire(&mut self, now: Time) {
        self.incidents.retain(|_, incident| !incident.at.after(MEMORY).passed(now));
        self.held.retain(|_, held| !held.last_crash.after(RETENTION).passed(now));
    }

    /// The part that explains most of the crashes that aren't explained yet, if the
    /// evidence against it is enough and has settled.
    fn next_case(&mut self, now: Time) -> Option<Part> {
        let mut cases = self.cases();
        cases.retain(|part, case| self.is_enough(*part, case, now));
        self.settling.retain(|part, _| cases.contains_key(part));
        for part in cases.keys() {
            let settle = if self.was_sound(*part, now) { SETTLE_ONCE_SOUND } else { SETTLE };
            self.settling.entry(*part).or_insert(now.after(settle));
        }
        let most = cases.values().map(|case| case.crashes).max()?;
        let settled = cases
            .iter()
            .filter(|(part, case)| case.crashes + 1 >= most && self.settling[part].passed(now));
        let first = settled.min_by_key(|(part, case)| {
            let depth = std::cmp::Reverse(case.depth);
            (self.was_sound(**part, now), case.requests.len(), depth, **part)
        });
        first.map(|(part, _)| *part)
    }

    /// Evidence from crashes that no part held off explains.
    fn cases(&self) -> HashMap<Part, Case> {
        let mut cases: HashMap<Part, Case> = HashMap::new();
        let unexplained = self.incidents.values().filter(|incident| !self.is_explained(incident));
        for incident in unexplained {
            let mut counted = BTreeSet::new();
            for (run, reporter) in &incident.runs {
                for (depth, part) in run.shared_parts.iter().enumerate() {
                    if self.completed.get(part).is_some_and(|completed| *completed > incident.at) {
                        continue;
                    }
                    let case = cases.entry(*part).or_default();
                    case.crashes += usize::from(counted.insert(*part));
                    case.requests.insert(run.fingerprint);
                    case.reporters.insert(*reporter);
                    case.depth = case.depth.max(depth);
                }
            }
        }
        cases.retain(|part, _| !self.held.contains_key(part));
        cases
    }

    fn is_enough(&self, part: Part, case: &Case, now: Time) -> bool {
        if case.requests.len() < MIN_REQUESTS {
            return false;
        }
        if self.was_sound(part, now) {
            return case.crashes >= MIN_CRASHES_ONCE_SOUND && case.reporters.len() >= MIN_REPORTERS;
        }
        case.crashes >= MIN_CRASHES
    }

    /// Whether an answer was completed with the part lately.
    fn was_sound(&self, part: Part, now: Time) -> bool {
        self.completed.get(&part).is_some_and(|last| !last.after(MEMORY).passed(now))
    }

    fn is_explained(&self, incident: &Incident) -> bool {
        self.held.keys().any(|part| incident.holds(*part))
    }

    /// Whether a part that is held off explains a crash.
    pub fn explains(&self, crash: Crash) -> bool {
        self.incidents.get(&crash).is_some_and(|incident| self.is_explained(incident))
    }

    /// Whether `part` has been in a crash that nothing explains, with no answer completed since.
    pub fn is_suspected(&self, part: Part) -> bool {
        self.incidents.values().any(|incident| {
            incident.holds(part)
                && !self.is_explained(incident)
                && self.completed.get(&part).is_none_or(|completed| *completed <= incident.at)
        })
    }

    /// The part of `parts` that is held off, if any.
    pub fn held_part(&self, parts: &[Part]) -> Option<(Part, Held)> {
        if self.held.is_empty() {
            return None;
        }
        parts.iter().find_map(|part| self.held.get(part).map(|held| (*part, *held)))
    }

    /// Lets a request with a part that is held off through if its time has come.
    pub fn begin_trial(&mut self, part: Part, now: Time) -> bool {
        let Some(held) = self.held.get_mut(&part) else { return true };
        if !held.trial_at.passed(now) {
            return false;
        }
        // Whatever becomes of it, the next one waits as if this one had crashed.
        let next = Held::new(now, held.trials + 1);
        *held = Held { last_crash: held.last_crash, ..next };
        true
    }

    /// When an answer with the part was last completed.
    pub fn completed_at(&self, part: Part) -> Option<Time> {
        self.completed.get(&part).copied()
    }

    /// All parts that are held off.
    pub fn held(&self) -> impl Iterator<Item = (Part, Held)> {
        self.held.iter().map(|(part, held)| (*part, *held))
    }

    /// Whether some part is held off, or evidence is settling.
    pub fn is_active(&self) -> bool {
        !self.held.is_empty() || self.is_settling()
    }

    /// Whether there is evidence that doesn't count yet.
    pub fn is_settling(&self) -> bool {
        !self.settling.is_empty()
    }
}
