//! One job at the VM that owns it: which items are left, which results stand.
//!
//! Items wait, run, are done, and are listed once their result is stored. The
//! results of one write are fixed when it is first sent: a write whose outcome
//! is unknown is sent again unchanged until it is known.

use std::rc::Rc;
use std::time::Duration;

use super::record::{Head, ItemResult, Outcome, Partial, Spec};
use super::run::{AttemptOutcome, Progress};
use crate::clock::Time;

/// Wait before an item that failed is tried again.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(200);
/// Wait before an item whose upstream broke off is tried again.
const RETRY_AFTER_BREAK: Duration = Duration::from_millis(100);
/// Wait before an item that made room looks for a slot again.
const RETRY_AFTER_INTERRUPTION: Duration = Duration::from_millis(60);
/// Wait before it is looked again whether an item that was held may run.
const HELD: Duration = Duration::from_secs(2);
/// Longest wait between attempts.
const MAX_RETRY: Duration = Duration::from_secs(3);
/// Wait for further results before a write, since each write has its price.
const WRITE_PAUSE: Duration = Duration::from_millis(700);
/// Time before a job is due from which its results are written at once.
const NEARLY_DUE: Duration = Duration::from_secs(3);
/// Most results in one write.
const MAX_RESULTS: usize = 16;
/// Most bytes of results in one write.
const MAX_RESULT_BYTES: usize = 700_000;

/// Where an item stands.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// It waits for an upstream.
    Waiting {
        /// It isn't tried before this time.
        not_before: Time,
        /// What it has of earlier attempts.
        progress: Progress,
    },
    /// It runs.
    Running,
    /// Its result isn't stored yet.
    Done(ItemResult),
    /// Its result is stored.
    Stored,
}

/// The next item to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// Its index in the spec.
    pub index: usize,
    /// What it has of earlier attempts.
    pub progress: Progress,
}

/// What a stored write means for the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Items are left.
    Open,
    /// All results are stored.
    Finished,
}

/// What is stored of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// What is known of it for good.
    pub head: Head,
    /// Its items.
    pub spec: Spec,
    /// Its results, by position.
    pub results: Vec<ItemResult>,
    /// What its items have of earlier attempts.
    pub partials: Vec<Partial>,
}

/// Times of a job on this VM's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// When it was accepted or taken over here.
    pub owned_since: Time,
    /// Its items should be done by this time.
    pub due: Time,
    /// Its items are given up after this time.
    pub expires: Time,
}

/// A job that this VM owns.
pub struct Job {
    /// Its identifier.
    pub id: String,
    /// What is known of it for good.
    pub head: Head,
    /// Its items.
    pub spec: Spec,
    /// When it was accepted or taken over here.
    pub owned_since: Time,
    /// Version of its pending entry; results are stored only while it stands.
    pub fence: u64,
    /// Its items are given up after this time.
    pub expires: Time,
    /// Its items should be done by this time.
    pub due: Time,
    /// Stored results, by position.
    pub results: Vec<Rc<ItemResult>>,
    states: Vec<State>,
    breaks: Vec<u32>,
    writing: Option<Vec<ItemResult>>,
}

impl Job {
    /// A job with the results that are already stored.
    pub fn new(id: String, stored: Snapshot, fence: u64, times: Times) -> Self {
        let Snapshot { head, spec, results, partials } = stored;
        let Times { owned_since, due, expires } = times;
        let waiting = State::Waiting { not_before: Time(0), progress: Progress::default() };
        let mut states = vec![waiting; spec.items.len()];
        for partial in partials {
            if let Some(index) = spec.items.iter().position(|item| item.id == partial.item) {
                let Partial { events, last_event_id, failures, .. } = partial;
                let progress = Progress { events, last_event_id, failures };
                states[index] = State::Waiting { not_before: Time(0), progress };
            }
        }
        for result in &results {
            if let Some(index) = spec.items.iter().position(|item| item.id == result.item) {
                states[index] = State::Stored;
            }
        }
        let breaks = vec![0; spec.items.len()];
        Self {
            id,
            head,
            spec,
            owned_since,
            fence,
            expires,
            due,
            results: results.into_iter().map(Rc::new).collect(),
            states,
            breaks,
            writing: None,
        }
    }

    /// Takes the first item that may run at `now`.
    pub fn start(&mut self, now: Time) -> Option<Task> {
        let ready = |state: &State| matches!(state, State::Waiting { not_before, .. } if not_before.passed(now));
        let index = self.states.iter().position(ready)?;
        let state = std::mem::replace(&mut self.states[index], State::Running);
        let State::Waiting { progress, .. } = state else { return None };
        Some(Task { index, progress })
    }

    /// Whether an item may run at `now`.
    pub fn has_ready(&self, now: Time) -> bool {
        self.states.iter().any(
            |state| matches!(state, State::Waiting { not_before, .. } if not_before.passed(now)),
        )
    }

    /// Items whose result isn't stored yet.
    pub fn remaining(&self) -> usize {
        self.states.iter().filter(|state| **state != State::Stored).count()
    }

    /// Tokens of items that aren't done.
    pub fn remaining_tokens(&self) -> u64 {
        let waits = |state: &State| matches!(state, State::Waiting { .. } | State::Running);
        let items = self.spec.items.iter().zip(&self.states);
        items.filter(|(_, state)| waits(state)).map(|(item, _)| item.tokens).sum()
    }

    /// Takes the end of an attempt. `max_attempts` bounds the upstream's own failures.
    pub fn finish_attempt(
        &mut self,
        index: usize,
        ended: AttemptOutcome,
        max_attempts: u32,
        now: Time,
    ) {
        let item = self.spec.items[index].id.clone();
        let done = |outcome: Outcome, output: String| {
            State::Done(ItemResult { item: item.clone(), outcome: outcome as i32, output })
        };
        self.states[index] = match ended {
            AttemptOutcome::Completed(output) => done(Outcome::Completed, output),
            AttemptOutcome::Impossible => done(Outcome::DeadLetter, String::new()),
            AttemptOutcome::Failed(progress) if progress.failures >= max_attempts => {
                done(Outcome::DeadLetter, String::new())
            }
            AttemptOutcome::Failed(progress) => {
                State::Waiting { not_before: now.after(RETRY_AFTER_FAILURE), progress }
            }
            AttemptOutcome::Interrupted(progress) => {
                State::Waiting { not_before: now.after(RETRY_AFTER_INTERRUPTION), progress }
            }
            AttemptOutcome::Held(progress) => {
                State::Waiting { not_before: now.after(HELD), progress }
            }
            AttemptOutcome::Broken(progress) => {
                self.breaks[index] += 1;
                let wait = RETRY_AFTER_BREAK.saturating_mul(1 << self.breaks[index].min(5));
                State::Waiting { not_before: now.after(wait.min(MAX_RETRY)), progress }
            }
        };
    }

    /// What items that wait have of earlier attempts, with their indices.
    pub fn partials(&self) -> Vec<(usize, Partial)> {
        let items = self.spec.items.iter().zip(&self.states).enumerate();
        let partial = |(index, (item, state)): (usize, (&super::Item, &State))| match state {
            State::Waiting { progress, .. } if progress.last_event_id.is_some() => {
                let Progress { events, last_event_id, failures } = progress.clone();
                Some((index, Partial { item: item.id.clone(), events, last_event_id, failures }))
            }
            _ => None,
        };
        items.filter_map(partial).collect()
    }

    /// Gives up all items that wait; false if none did.
    pub fn dead_letter_waiting(&mut self) -> bool {
        let mut any = false;
        for (item, state) in self.spec.items.iter().zip(&mut self.states) {
            if matches!(state, State::Waiting { .. }) {
                let outcome = Outcome::DeadLetter as i32;
                let output = String::new();
                *state = State::Done(ItemResult { item: item.id.clone(), outcome, output });
                any = true;
            }
        }
        any
    }

    /// The results to store next, with the position of the first. The same
    /// ones until `stored` or `dropped` is told.
    pub fn next_write(&mut self) -> Option<(usize, Vec<ItemResult>)> {
        if self.writing.is_none() {
            let mut bytes = 0;
            let mut batch = Vec::new();
            for state in &self.states {
                let State::Done(listed) = state else { continue };
                bytes += listed.output.len();
                if batch.len() == MAX_RESULTS || (bytes > MAX_RESULT_BYTES && !batch.is_empty()) {
                    break;
                }
                batch.push(listed.clone());
            }
            self.writing = (!batch.is_empty()).then_some(batch);
        }
        self.writing.clone().map(|batch| (self.results.len(), batch))
    }

    /// How long to wait for further results before a write: none is waited for
    /// once all are there or the job is nearly due.
    pub fn write_pause(&self, now: Time) -> Duration {
        let open = |state: &State| matches!(state, State::Waiting { .. } | State::Running);
        if !self.states.iter().any(open) || now.after(NEARLY_DUE) >= self.due {
            return Duration::ZERO;
        }
        WRITE_PAUSE
    }

    /// Whether the write under way stores the last results.
    pub fn write_is_last(&self) -> bool {
        let writing = self.writing.as_ref().map_or(0, Vec::len);
        self.results.len() + writing == self.spec.items.len()
    }

    /// The write under way is stored.
    pub fn confirm_write(&mut self) -> Status {
        for listed in self.writing.take().unwrap_or_default() {
            let index = self.spec.items.iter().position(|item| item.id == listed.item);
            let index = index.expect("a result belongs to an item");
            self.states[index] = State::Stored;
            self.results.push(Rc::new(listed));
        }
        assert!(self.results.len() <= self.spec.items.len(), "more results than items");
        if self.remaining() == 0 { Status::Finished } else { Status::Open }
    }

    /// The body of an item, by its identifier.
    pub fn item(&self, id: &str) -> Option<&super::Item> {
        self.spec.items.iter().find(|item| item.id == id)
    }
}
