//! Callers: their requests, the answers they receive and the checks of these.

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

/// Range of request deadlines, in milliseconds after submission.
const DEADLINE_MS: std::ops::Range<u64> = 60..900;
/// Maximum number of tokens in a streamed answer.
const MAX_TOKENS: u32 = 12;

/// A caller's request, independent of how often it is submitted.
pub(super) struct Job {
    pub(super) idempotent: bool,
    /// Whether it is sent with an idempotency key.
    pub(super) has_idempotency_key: bool,
    /// Whether it crashes every upstream that runs it.
    pub(super) poison: bool,
    /// Number of tokens in its stream; `None` if it is not streamed.
    pub(super) tokens: Option<u32>,
    /// Number of times that an upstream started it.
    pub(super) runs: u32,
    /// Number of upstreams that it crashed.
    pub(super) crashed_upstreams: u32,
}

impl Job {
    pub(super) fn draw(random: &mut ChaCha8Rng) -> Self {
        let idempotent = random.random_bool(0.6);
        let stream = idempotent && random.random_bool(0.6);
        Self {
            idempotent,
            has_idempotency_key: !idempotent && random.random_bool(0.7),
            poison: random.random_bool(0.04),
            tokens: stream.then(|| random.random_range(1..=MAX_TOKENS)),
            runs: 0,
            crashed_upstreams: 0,
        }
    }
}

/// One submission of a job through one VM.
pub(super) struct Submission {
    pub(super) job: usize,
    pub(super) entry: usize,
    pub(super) deadline: Time,
    pub(super) retry: Retry,
    pub(super) assembler: Assembler,
    pub(super) attempt: Option<usize>,
    /// Index of the engine that may be running it.
    pub(super) engine: Option<usize>,
    pub(super) excluded: Vec<Upstream>,
    pub(super) exclusive: bool,
    /// Number of its current run; 0 if there is none.
    pub(super) run: u64,
    /// Number of its current round of begin calls.
    pub(super) round: u32,
    pub(super) verdicts: Vec<Option<crate::route::Verdict>>,
    pub(super) asked_owners: Vec<usize>,
    pub(super) holds_claim: bool,
    /// Number of times that an upstream started this submission.
    pub(super) runs: u32,
    pub(super) tokens: u32,
    pub(super) ended: bool,
}

impl World {
    pub(super) fn submit(&mut self, job: usize, entry: usize) -> Result<(), Violation> {
        if !self.entries[entry].up {
            let entry = self.random_entry();
            self.schedule(Duration::from_millis(1), Event::Submit { job, entry });
            return Ok(());
        }
        self.report.requests += 1;
        let span = Duration::from_millis(self.random.random_range(DEADLINE_MS));
        let deadline = self.now.after(span);
        let number = self.submissions.len();
        self.submissions.push(Submission {
            job,
            entry,
            deadline,
            retry: Retry::new(self.jobs[job].idempotent, deadline),
            assembler: Assembler::new(format!("caller-{number}")),
            attempt: None,
            engine: None,
            excluded: Vec::new(),
            exclusive: false,
            run: 0,
            round: 0,
            verdicts: Vec::new(),
            asked_owners: Vec::new(),
            holds_claim: false,
            runs: 0,
            tokens: 0,
            ended: false,
        });
        self.schedule(span, Event::Deadline { submission: number });
        if self.jobs[job].has_idempotency_key && !self.claim(number) {
            return Ok(());
        }
        self.request_permit(number)
    }

    /// Claims a job; returns true if this submission may run it.
    fn claim(&mut self, submission: usize) -> bool {
        let job = self.submissions[submission].job;
        match self.claims.get(&job) {
            None => {
                self.claims.insert(job, false);
                self.submissions[submission].holds_claim = true;
                true
            }
            Some(finished) => {
                match finished {
                    true => self.report.kept += 1,
                    false => self.report.unknown += 1,
                }
                self.submissions[submission].ended = true;
                false
            }
        }
    }

    /// Answers a caller with an error and checks that its run state is correct.
    pub(super) fn refuse(&mut self, submission: usize, error: &Error) -> Result<(), Violation> {
        if self.submissions[submission].ended {
            return Ok(());
        }
        self.end_submission(submission);
        let run = error.answer().run;
        self.report.count(run);
        if self.submissions[submission].holds_claim && !self.submissions[submission].retry.sent() {
            self.claims.remove(&self.submissions[submission].job);
        }
        let runs = self.submissions[submission].runs;
        self.require(run != Run::NotRun || runs == 0, Rule::FalseNotRun, || {
            format!("submission {submission} ran {runs} times: {error}")
        })
    }

    /// Ends a submission and closes its attempt.
    pub(super) fn end_submission(&mut self, submission: usize) {
        self.submissions[submission].ended = true;
        self.stop_attempt(submission);
        self.cancel_run(submission);
    }

    /// Handles the loss of the submission's VM: the caller may resend the job to
    /// another VM.
    pub(super) fn abandon_submission(&mut self, submission: usize) {
        self.submissions[submission].ended = true;
        self.close_attempt(submission);
        if self.chance(70) {
            let (job, entry) = (self.submissions[submission].job, self.random_entry());
            let pause = Duration::from_millis(self.random.random_range(1..20));
            self.schedule(pause, Event::Submit { job, entry });
        }
    }

    pub(super) fn deadline(&mut self, submission: usize) -> Result<(), Violation> {
        if self.submissions[submission].ended {
            return Ok(());
        }
        let error = self.submissions[submission].retry.check_deadline(self.now).err();
        let error = error.unwrap_or_else(|| unreachable!("the deadline has passed"));
        self.refuse(submission, &error)
    }

    /// Handles delivery of the complete answer to the caller.
    pub(super) fn complete_submission(&mut self, submission: usize) {
        self.report.whole += 1;
        if self.submissions[submission].holds_claim {
            self.claims.insert(self.submissions[submission].job, true);
        }
        self.submissions[submission].ended = true;
        self.finish_attempt(submission);
    }

    /// Records that an upstream started a submission.
    pub(super) fn record_run(&mut self, submission: usize) -> Result<(), Violation> {
        let job = self.submissions[submission].job;
        self.submissions[submission].runs += 1;
        self.jobs[job].runs += 1;
        let (runs, has_idempotency_key) = (self.jobs[job].runs, self.jobs[job].has_idempotency_key);
        let allowed = self.jobs[job].idempotent
            || (self.submissions[submission].runs == 1 && (!has_idempotency_key || runs == 1));
        self.require(allowed, Rule::RanTwice, || format!("job {job} ran {runs} times"))
    }

    /// Records that a job crashed an upstream.
    pub(super) fn record_crash(&mut self, job: usize) -> Result<(), Violation> {
        self.jobs[job].crashed_upstreams += 1;
        let crashed_upstreams = self.jobs[job].crashed_upstreams;
        self.report.most_lost = self.report.most_lost.max(crashed_upstreams);
        self.require(crashed_upstreams as usize <= MAX_CRASHES, Rule::Poison, || {
            format!("job {job} crashed {crashed_upstreams} upstreams")
        })
    }

    /// Returns the fingerprint of a submission's job.
    pub(super) fn fingerprint(&self, submission: usize) -> Fingerprint {
        Fingerprint(self.submissions[submission].job as u128)
    }
}
