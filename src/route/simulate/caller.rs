//! Callers: what they ask, what they are told, and whether that is true.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::world::{Event, World};
use super::{Rule, Violation};
use crate::clock::Time;
use crate::error::{Error, Run};
use crate::id::Upstream;
use crate::route::{Fingerprint, MAX_CRASHES, Retry};
use crate::stream::Assembler;

/// Longest that a caller waits, in milliseconds.
const DEADLINE_MILLIS: std::ops::Range<u64> = 60..900;
/// Most tokens of an answer.
const MAX_TOKENS: u32 = 12;

/// What a caller wants, however often it asks.
pub(super) struct Job {
    pub(super) idempotent: bool,
    /// Shows an idempotency key.
    pub(super) claimed: bool,
    /// Crashes each upstream that runs it.
    pub(super) poison: bool,
    /// Tokens of its stream; none for a whole answer.
    pub(super) tokens: Option<u32>,
    /// Times that an upstream began it.
    pub(super) runs: u32,
    /// Upstreams that it crashed.
    pub(super) lost: u32,
}

impl Job {
    pub(super) fn draw(generator: &mut ChaCha8Rng) -> Self {
        let idempotent = generator.random_bool(0.6);
        let stream = idempotent && generator.random_bool(0.6);
        Self {
            idempotent,
            claimed: !idempotent && generator.random_bool(0.7),
            poison: generator.random_bool(0.04),
            tokens: stream.then(|| generator.random_range(1..=MAX_TOKENS)),
            runs: 0,
            lost: 0,
        }
    }
}

/// One sending of a job through one VM.
pub(super) struct Copy {
    pub(super) job: usize,
    pub(super) entry: usize,
    pub(super) deadline: Time,
    pub(super) course: Retry,
    pub(super) assembly: Assembler,
    pub(super) attempt: Option<usize>,
    /// Upstream that may be running it.
    pub(super) engine: Option<usize>,
    pub(super) excluded: Vec<Upstream>,
    pub(super) alone: bool,
    /// Number of its present run, and of the question about it.
    pub(super) run: u64,
    pub(super) round: u32,
    pub(super) votes: Vec<Option<crate::route::Verdict>>,
    pub(super) asked: Vec<usize>,
    pub(super) holds_claim: bool,
    /// Times that an upstream began this copy.
    pub(super) runs: u32,
    pub(super) tokens: u32,
    pub(super) ended: bool,
}

impl World {
    pub(super) fn send(&mut self, job: usize, entry: usize) -> Result<(), Violation> {
        if !self.entries[entry].up {
            let entry = self.any_entry();
            self.after(Duration::from_millis(1), Event::Send { job, entry });
            return Ok(());
        }
        self.report.requests += 1;
        let span = Duration::from_millis(self.generator.random_range(DEADLINE_MILLIS));
        let deadline = self.now.after(span);
        let number = self.copies.len();
        self.copies.push(Copy {
            job,
            entry,
            deadline,
            course: Retry::new(self.jobs[job].idempotent, deadline),
            assembly: Assembler::new(format!("caller-{number}")),
            attempt: None,
            engine: None,
            excluded: Vec::new(),
            alone: false,
            run: 0,
            round: 0,
            votes: Vec::new(),
            asked: Vec::new(),
            holds_claim: false,
            runs: 0,
            tokens: 0,
            ended: false,
        });
        self.after(span, Event::Deadline { copy: number });
        if self.jobs[job].claimed && !self.claim(number) {
            return Ok(());
        }
        self.ask(number)
    }

    /// Claims a job; true if this copy may send it.
    fn claim(&mut self, copy: usize) -> bool {
        let job = self.copies[copy].job;
        match self.claims.get(&job) {
            None => {
                self.claims.insert(job, false);
                self.copies[copy].holds_claim = true;
                true
            }
            Some(finished) => {
                match finished {
                    true => self.report.kept += 1,
                    false => self.report.unknown += 1,
                }
                self.copies[copy].ended = true;
                false
            }
        }
    }

    /// Gives a caller an error, which must be true.
    pub(super) fn refuse(&mut self, copy: usize, error: &Error) -> Result<(), Violation> {
        if self.copies[copy].ended {
            return Ok(());
        }
        self.end_copy(copy);
        let run = error.answer().run;
        self.report.count(run);
        if self.copies[copy].holds_claim && !self.copies[copy].course.sent() {
            self.claims.remove(&self.copies[copy].job);
        }
        let runs = self.copies[copy].runs;
        self.rule(run != Run::NotRun || runs == 0, Rule::FalseNotRun, || {
            format!("copy {copy} ran {runs} times: {error}")
        })
    }

    /// Ends a copy and lets its attempt go.
    pub(super) fn end_copy(&mut self, copy: usize) {
        self.copies[copy].ended = true;
        self.stop_attempt(copy);
        self.give_up_run(copy);
    }

    /// A caller loses its VM, and asks another one.
    pub(super) fn abandon(&mut self, copy: usize) {
        self.copies[copy].ended = true;
        self.close_attempt(copy);
        if self.chance(70) {
            let (job, entry) = (self.copies[copy].job, self.any_entry());
            let pause = Duration::from_millis(self.generator.random_range(1..20));
            self.after(pause, Event::Send { job, entry });
        }
    }

    pub(super) fn deadline(&mut self, copy: usize) -> Result<(), Violation> {
        if self.copies[copy].ended {
            return Ok(());
        }
        let error = self.copies[copy].course.check_deadline(self.now).err();
        let error = error.unwrap_or_else(|| unreachable!("the deadline has come"));
        self.refuse(copy, &error)
    }

    /// A whole answer reached the caller.
    pub(super) fn complete(&mut self, copy: usize) {
        self.report.whole += 1;
        if self.copies[copy].holds_claim {
            self.claims.insert(self.copies[copy].job, true);
        }
        self.copies[copy].ended = true;
        self.finish_attempt(copy);
    }

    /// Notes that an upstream began a copy.
    pub(super) fn began(&mut self, copy: usize) -> Result<(), Violation> {
        let job = self.copies[copy].job;
        self.copies[copy].runs += 1;
        self.jobs[job].runs += 1;
        let (runs, claimed) = (self.jobs[job].runs, self.jobs[job].claimed);
        let once =
            self.jobs[job].idempotent || (self.copies[copy].runs == 1 && (!claimed || runs == 1));
        self.rule(once, Rule::RanTwice, || format!("job {job} ran {runs} times"))
    }

    /// Notes that a job crashed an upstream.
    pub(super) fn cost(&mut self, job: usize) -> Result<(), Violation> {
        self.jobs[job].lost += 1;
        let lost = self.jobs[job].lost;
        self.report.most_lost = self.report.most_lost.max(lost);
        self.rule(lost as usize <= MAX_CRASHES, Rule::Poison, || {
            format!("job {job} cost {lost} upstreams")
        })
    }

    /// What a job is known by.
    pub(super) fn print(&self, copy: usize) -> Fingerprint {
        Fingerprint(self.copies[copy].job as u128)
    }
}
