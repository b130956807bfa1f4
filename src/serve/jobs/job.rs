//! State machine of one job at the VM that owns it.
//!
//! An item is waiting, running, done, or stored once its result is in the
//! store. The results of a write are fixed when it is first sent: a write whose
//! outcome is unknown is repeated unchanged until the outcome is known.

use std::rc::Rc;
use std::time::Duration;

use super::record::{Head, ItemResult, Outcome, Partial, Spec};
use super::run::{AttemptOutcome, Progress};
use super::schedule::{Rank, expected_end};
use crate::clock::Time;
use crate::serve::origin::Origin;
use crate::serve::upstream::Timing;

/// Delay before an item is retried after the upstream failed it.
const FAILURE_BACKOFF: Duration = Duration::from_millis(200);
/// Base of the backoff before an item is retried after its upstream refused or
/// the connection broke.
const BROKEN_BACKOFF: Duration = Duration::from_millis(100);
/// Delay before an item that was interrupted by online requests may run again.
const INTERRUPTION_BACKOFF: Duration = Duration::from_millis(60);
/// Delay before an item that its upstream's limit left no room for may run elsewhere.
const AT_LIMIT_BACKOFF: Duration = Duration::from_millis(30);
/// Delay before an item may run again for whose output no memory was left.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(500);
/// Number of crashes of upstreams under an item from which on it pauses longer.
const CRASHES_BEFORE_PAUSE: u32 = 3;
/// Delay before such an item is retried.
const CRASH_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which a write waits for further results, to save writes to the
/// store.
const WRITE_PAUSE: Duration = Duration::from_millis(700);
/// Time before a job is due at which its results start to be written at once.
const URGENT_BEFORE_DUE: Duration = Duration::from_secs(3);
/// Time for which an item with partial output waits for a slot at the version that made
/// it, before it starts over at any version.
const RESUME_PATIENCE: Duration = Duration::from_millis(1_500);
/// Maximum number of results in one write.
const MAX_RESULTS: usize = 16;
/// Maximum size of the results in one write, in bytes.
const MAX_RESULT_BYTES: usize = 700_000;

/// What an item waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A slot at an upstream.
    Slot,
    /// The backoff after an upstream failed it.
    Failed,
    /// The backoff after it was interrupted by online requests.
    Interrupted,
    /// The backoff after its upstream refused it or the connection broke.
    Broken,
    /// The backoff after its upstream crashed.
    Crashed,
    /// The backoff after its upstream was at the limit that it named.
    AtLimit,
    /// The backoff after no memory was left for its output.
    Shortage,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 7] = [
        Self::Slot,
        Self::Failed,
        Self::Interrupted,
        Self::Broken,
        Self::Crashed,
        Self::AtLimit,
        Self::Shortage,
    ];

    /// Value for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Slot => "slot",
            Cause::Failed => "failed",
            Cause::Interrupted => "interrupted",
            Cause::Broken => "broken",
            Cause::Crashed => "crashed",
            Cause::AtLimit => "at limit",
            Cause::Shortage => "shortage",
        }
    }
}

/// Progress of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// The item waits for an upstream.
    Waiting {
        /// Earliest time of the next attempt.
        not_before: Time,
        /// Time until which the item waits for the version that made its partial output.
        resume_until: Time,
        /// Why it waits until `not_before`.
        cause: Cause,
        /// Partial output of earlier attempts.
        progress: Progress,
    },
    /// An attempt is running.
    Running,
    /// The item has a result that isn't stored yet.
    Done(Rc<ItemResult>),
    /// The result is stored.
    Stored,
}

impl State {
    /// The state of an item that waits for `backoff` at least.
    fn waiting(progress: Progress, cause: Cause, now: Time, backoff: Duration) -> Self {
        let not_before = now.after(backoff);
        let resume_until = not_before.after(RESUME_PATIENCE);
        State::Waiting { not_before, resume_until, cause, progress }
    }

    /// Bytes of the output that it holds.
    fn output_bytes(&self) -> usize {
        match self {
            State::Waiting { progress, .. } => progress.bytes(),
            State::Done(result) => result.output.len(),
            State::Running | State::Stored => 0,
        }
    }
}

/// The next item to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// Index of the item in the spec.
    pub index: usize,
    /// Partial output of earlier attempts.
    pub progress: Progress,
}

/// Waiting items of a job that may run now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Rank and index of the most urgent one.
    pub first: Option<(Rank, usize)>,
    /// Number of those that can still end in time.
    pub in_time: u32,
}

/// Status of a job after a write of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Items without a stored result remain.
    Open,
    /// All results are stored.
    Finished,
}

/// Stored state of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Immutable metadata of the job.
    pub head: Head,
    /// Items of the job.
    pub spec: Spec,
    /// Identifiers of the items whose results are stored, by position.
    pub listed: Vec<String>,
    /// Partial output of items.
    pub partials: Vec<Partial>,
}

/// Times of a job, on this VM's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Time at which this VM accepted the job or took it over.
    pub owned_since: Time,
    /// Target time for the completion of all items.
    pub due: Time,
    /// Time after which waiting items become dead letters.
    pub expires: Time,
}

/// A job that this VM owns.
pub struct Job {
    /// Identifier of the job.
    pub id: String,
    /// Immutable metadata of the job.
    pub head: Head,
    /// Items of the job.
    pub spec: Spec,
    /// Time at which this VM accepted the job or took it over.
    pub owned_since: Time,
    /// Version of the pending entry. Results are stored only while the entry
    /// has this version.
    pub fence: u64,
    /// Time after which waiting items become dead letters.
    pub expires: Time,
    /// Target time for the completion of all items.
    pub due: Time,
    /// Indices of the items whose results are stored, by position.
    pub listed: Vec<usize>,
    states: Vec<State>,
    /// Bytes of each item's output that isn't stored yet, without a running attempt's.
    output_bytes: Vec<usize>,
    broken_counts: Vec<u32>,
    crash_counts: Vec<u32>,
    /// Items that don't run until the number of their failed attempts is stored.
    held: Vec<bool>,
    pending_write: Option<Vec<Rc<ItemResult>>>,
}

impl Job {
    /// Creates a job from its stored state.
    pub fn new(id: String, snapshot: Snapshot, fence: u64, times: Times) -> Self {
        let Snapshot { head, spec, listed, partials } = snapshot;
        let Times { owned_since, due, expires } = times;
        let mut states =
            vec![
                State::waiting(Progress::default(), Cause::Slot, owned_since, Duration::ZERO);
                spec.items.len()
            ];
        for partial in partials {
            if let Some(index) = spec.items.iter().position(|item| item.id == partial.item) {
                states[index] =
                    State::waiting(partial.into(), Cause::Slot, owned_since, Duration::ZERO);
            }
        }
        let index = |item: &String| spec.items.iter().position(|stored| &stored.id == item);
        let listed: Vec<usize> = listed.iter().filter_map(index).collect();
        for index in &listed {
            states[*index] = State::Stored;
        }
        let output_bytes = states.iter().map(State::output_bytes).collect();
        let broken_counts = vec![0; spec.items.len()];
        let crash_counts = vec![0; spec.items.len()];
        let held = vec![false; spec.items.len()];
        Self {
            id,
            head,
            spec,
            owned_since,
            fence,
            expires,
            due,
            listed,
            states,
            output_bytes,
            broken_counts,
            crash_counts,
            held,
            pending_write: None,
        }
    }

    /// Waiting items that may run at `now`: the most urgent one and the number of
    /// those that can still end in time.
    /// Items whose partial output was made by a version for which `is_full` holds wait for it.
    pub fn ready<F>(&self, timing: Timing, is_full: F, now: Time) -> Ready
    where
        F: Fn(&Origin) -> bool,
    {
        let mut ready = Ready::default();
        for (index, (item, state)) in self.spec.items.iter().zip(&self.states).enumerate() {
            let State::Waiting { not_before, resume_until, progress, .. } = state else { continue };
            let waits = !resume_until.passed(now) && progress.origin.as_ref().is_some_and(&is_full);
            if !not_before.passed(now) || waits || self.held[index] {
                continue;
            }
            let ends_at = expected_end(item, progress, timing, now);
            let rank = Rank::new(self.due, ends_at);
            ready.in_time += u32::from(!rank.is_late());
            if ready.first.is_none_or(|(first, _)| rank < first) {
                ready.first = Some((rank, index));
            }
        }
        ready
    }

    /// Service and version that a waiting item should go on at; none if any will do.
    pub fn resumes_at(&self, index: usize, now: Time) -> Option<&Origin> {
        match self.states.get(index)? {
            State::Waiting { resume_until, progress, .. } if !resume_until.passed(now) => {
                progress.origin.as_ref()
            }
            _ => None,
        }
    }

    /// Marks a waiting item as running; none if it isn't waiting.
    pub fn start(&mut self, index: usize) -> Option<Task> {
        if !matches!(self.states.get(index), Some(State::Waiting { .. })) {
            return None;
        }
        let state = std::mem::replace(&mut self.states[index], State::Running);
        let State::Waiting { progress, .. } = state else { return None };
        self.output_bytes[index] = 0;
        Some(Task { index, progress })
    }

    /// Number of items without a stored result.
    pub fn remaining(&self) -> usize {
        self.states.iter().filter(|state| **state != State::Stored).count()
    }

    /// Tokens of the items that are waiting or running.
    pub fn remaining_tokens(&self) -> u64 {
        let unfinished = |state: &State| matches!(state, State::Waiting { .. } | State::Running);
        let items = self.spec.items.iter().zip(&self.states);
        let tokens = items.filter(|(_, state)| unfinished(state)).map(|(item, _)| item.tokens);
        tokens.fold(0, u64::saturating_add)
    }

    /// Applies the outcome of an attempt. `max_attempts` limits only the attempts
    /// that an upstream failed.
    pub fn finish_attempt(
        &mut self,
        index: usize,
        outcome: AttemptOutcome,
        max_attempts: u32,
        now: Time,
    ) {
        let item = self.spec.items[index].id.clone();
        let done = |outcome: Outcome, output: String| {
            let outcome = outcome as i32;
            State::Done(Rc::new(ItemResult { item: item.clone(), outcome, output }))
        };
        self.states[index] = match outcome {
            AttemptOutcome::Completed(output) => done(Outcome::Completed, output),
            AttemptOutcome::Impossible => done(Outcome::DeadLetter, String::new()),
            AttemptOutcome::Failed(progress) if progress.failures >= max_attempts => {
                done(Outcome::DeadLetter, String::new())
            }
            AttemptOutcome::Failed(progress) => {
                State::waiting(progress, Cause::Failed, now, FAILURE_BACKOFF)
            }
            AttemptOutcome::Interrupted(progress) => {
                State::waiting(progress, Cause::Interrupted, now, INTERRUPTION_BACKOFF)
            }
            AttemptOutcome::AtLimit(progress) => {
                State::waiting(progress, Cause::AtLimit, now, AT_LIMIT_BACKOFF)
            }
            AttemptOutcome::Shortage(progress) => {
                State::waiting(progress, Cause::Shortage, now, SHORTAGE_BACKOFF)
            }
            AttemptOutcome::Broken(progress) => {
                State::waiting(progress, Cause::Broken, now, self.broken_backoff(index))
            }
            AttemptOutcome::Crashed(progress) => {
                self.crash_counts[index] += 1;
                let paused = self.crash_counts[index] >= CRASHES_BEFORE_PAUSE;
                let backoff = self.broken_backoff(index);
                let backoff = if paused { CRASH_BACKOFF } else { backoff };
                State::waiting(progress, Cause::Crashed, now, backoff)
            }
        };
        self.output_bytes[index] = self.states[index].output_bytes();
    }

    /// Bytes of outputs that aren't stored yet, without those of running attempts.
    pub fn output_bytes(&self) -> usize {
        self.output_bytes.iter().sum()
    }

    /// Bytes of the outputs of items that are done.
    fn done_bytes(&self) -> usize {
        let done = self.states.iter().filter_map(|state| match state {
            State::Done(result) => Some(result.output.len()),
            _ => None,
        });
        done.sum()
    }

    fn broken_backoff(&mut self, index: usize) -> Duration {
        self.broken_counts[index] += 1;
        let backoff = BROKEN_BACKOFF.saturating_mul(1 << self.broken_counts[index].min(5));
        backoff.min(MAX_BACKOFF)
    }

    /// Earliest time of a waiting item's next attempt; none if it isn't waiting.
    pub fn not_before(&self, index: usize) -> Option<Time> {
        match self.states.get(index)? {
            State::Waiting { not_before, .. } => Some(*not_before),
            _ => None,
        }
    }

    /// What each waiting item waits for at `now`.
    pub fn waiting(&self, now: Time) -> impl Iterator<Item = Cause> {
        self.states.iter().filter_map(move |state| match state {
            State::Waiting { not_before, .. } if not_before.passed(now) => Some(Cause::Slot),
            State::Waiting { cause, .. } => Some(*cause),
            _ => None,
        })
    }

    /// Holds an item back until the number of its failed attempts is stored. Returns what is
    /// to be stored; none if the item isn't waiting.
    pub fn hold(&mut self, index: usize) -> Option<Partial> {
        let State::Waiting { progress, .. } = self.states.get(index)? else { return None };
        self.held[index] = true;
        Some(Partial::new(self.spec.items[index].id.clone(), progress.clone()))
    }

    /// Lets an item run again that was held back.
    pub fn unhold(&mut self, index: usize) {
        self.held[index] = false;
    }

    /// Partial output of the waiting items, with their indices.
    pub fn partials(&self) -> Vec<(usize, Partial)> {
        let items = self.spec.items.iter().zip(&self.states).enumerate();
        let partial = |(index, (item, state)): (usize, (&super::Item, &State))| match state {
            State::Waiting { progress, .. } if progress.last_event_id.is_some() => {
                Some((index, Partial::new(item.id.clone(), progress.clone())))
            }
            _ => None,
        };
        items.filter_map(partial).collect()
    }

    /// Completes all waiting items as dead letters; false if there are none.
    pub fn dead_letter_waiting(&mut self) -> bool {
        let mut any = false;
        for (item, state) in self.spec.items.iter().zip(&mut self.states) {
            if matches!(state, State::Waiting { .. }) {
                let outcome = Outcome::DeadLetter as i32;
                let output = String::new();
                let item = item.id.clone();
                *state = State::Done(Rc::new(ItemResult { item, outcome, output }));
                any = true;
            }
        }
        any
    }

    /// Results to store next, with the position of the first one. Returns the
    /// same results until `confirm_write` is called.
    pub fn next_write(&mut self) -> Option<(usize, Vec<Rc<ItemResult>>)> {
        if self.pending_write.is_none() {
            let mut bytes = 0;
            let mut unstored = Vec::new();
            for state in &self.states {
                let State::Done(result) = state else { continue };
                bytes += result.output.len();
                if unstored.len() == MAX_RESULTS
                    || (bytes > MAX_RESULT_BYTES && !unstored.is_empty())
                {
                    break;
                }
                unstored.push(result.clone());
            }
            self.pending_write = (!unstored.is_empty()).then_some(unstored);
        }
        self.pending_write.clone().map(|unstored| (self.listed.len(), unstored))
    }

    /// Time to wait for further results before a write; zero once all items are
    /// done, the job is nearly due, or an item is a dead letter.
    pub fn write_pause(&self, now: Time) -> Duration {
        let unfinished = |state: &State| matches!(state, State::Waiting { .. } | State::Running);
        let is_dead = |state: &State| match state {
            State::Done(result) => result.outcome == Outcome::DeadLetter as i32,
            _ => false,
        };
        // A VM that takes the job over would run an item again that is known to fail.
        if self.states.iter().any(is_dead) {
            return Duration::ZERO;
        }
        let is_last = !self.states.iter().any(unfinished);
        if is_last || self.has_full_write() || now.after(URGENT_BEFORE_DUE) >= self.due {
            return Duration::ZERO;
        }
        WRITE_PAUSE
    }

    /// Whether a write would gain nothing by waiting for further results.
    pub fn has_full_write(&self) -> bool {
        let done = self.states.iter().filter(|state| matches!(state, State::Done(_)));
        done.count() >= MAX_RESULTS || self.done_bytes() >= MAX_RESULT_BYTES
    }

    /// Whether the pending write stores the last results.
    pub fn write_is_last(&self) -> bool {
        let pending_write = self.pending_write.as_ref().map_or(0, Vec::len);
        self.listed.len() + pending_write == self.spec.items.len()
    }

    /// Results of the pending write.
    pub fn pending_write(&self) -> Vec<Rc<ItemResult>> {
        self.pending_write.clone().unwrap_or_default()
    }

    /// Marks the results of the pending write as stored.
    pub fn confirm_write(&mut self) -> Status {
        for result in self.pending_write.take().unwrap_or_default() {
            let index = self.spec.items.iter().position(|item| item.id == result.item);
            let index = index.expect("every result belongs to an item of the job");
            self.states[index] = State::Stored;
            self.output_bytes[index] = 0;
            self.listed.push(index);
        }
        assert!(self.listed.len() <= self.spec.items.len(), "more results than items");
        if self.remaining() == 0 { Status::Finished } else { Status::Open }
    }

    /// Looks up an item by its identifier.
    pub fn item(&self, id: &str) -> Option<&super::Item> {
        self.spec.items.iter().find(|item| item.id == id)
    }
}
