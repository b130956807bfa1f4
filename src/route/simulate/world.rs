//! State, event queue and invariant checks of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::{Job, Submission};
use super::engine::{Attempt, Engine};
use super::entry::Entry;
use super::{Report, Rule, Violation};
use crate::clock::Time;
use crate::config::resource::{self, Serves};
use crate::error::Error;
use crate::id;
use crate::route::{Outcome, Verdict};
use crate::upstream::Failure;
use crate::view::{Shared, State, Upstream, View};

/// Number of entry VMs.
const ENTRIES: usize = 4;
/// Number of upstreams, all of the same model.
const ENGINES: usize = 8;
/// Mean interval between two new jobs, in microseconds.
const MEAN_ARRIVAL_GAP_US: u64 = 4_000;
/// Range of intervals between spontaneous upstream crashes, in milliseconds.
const CRASH_GAP_MS: std::ops::Range<u64> = 200..1_200;
/// Range of intervals between VM crashes, in milliseconds.
const VM_LOSS_GAP_MS: std::ops::Range<u64> = 800..3_000;
/// Number of events after the last step within which all requests must end.
const DRAIN_STEPS: u32 = 2_000_000;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A new job arrives.
    Arrive,
    /// A caller submits or resubmits a job.
    Submit { job: usize, entry: usize },
    /// A VM asks whether a submission may run.
    RequestPermit { submission: usize },
    /// The begin call reaches an owner VM.
    BeginReceived { submission: usize, owner: usize, round: u32 },
    /// An owner's verdict arrives, or the call fails.
    VerdictReceived { submission: usize, round: u32, verdict: Option<Verdict> },
    /// A VM receives the outcome of a run.
    OutcomeReceived { owner: usize, submission: usize, run: u64, outcome: Outcome },
    /// A VM probes the upstream of a run that it cancelled.
    Probe { submission: usize, run: u64, asked_owners: Vec<usize>, engine: usize, incarnation: u64 },
    /// A VM selects an upstream.
    ChooseUpstream { submission: usize },
    /// A request reaches its upstream.
    RequestReceived { attempt: usize },
    /// An engine generates its next token.
    Token { attempt: usize, position: u32 },
    /// An engine finishes an answer that is not streamed.
    FinishAnswer { attempt: usize },
    /// A stream event reaches the VM.
    ChunkReceived { attempt: usize, event: Vec<u8>, job: usize },
    /// An answer that is not streamed reaches the VM.
    AnswerReceived { attempt: usize, name: String, job: usize },
    /// The VM detects that an attempt failed.
    AttemptFailed { attempt: usize, failure: Failure },
    /// All VMs have learned of a crash and the submission is retried.
    Retry { submission: usize, failure: Failure, upstream: id::Upstream },
    /// The cancellation of an attempt reaches the upstream.
    Cancel { attempt: usize },
    /// A submission's deadline passes.
    Deadline { submission: usize },
    /// An upstream crashes, spontaneously or because of an attempt.
    Crash { engine: usize, cause: Option<usize>, incarnation: u32 },
    /// An upstream comes back.
    RestoreEngine { engine: usize },
    /// A random upstream crashes spontaneously.
    RandomCrash,
    /// A VM crashes.
    LoseVm,
    /// A VM comes back.
    RestoreVm { entry: usize },
}

/// State of a simulation run.
pub(super) struct World {
    pub(super) now: Time,
    pub(super) random: ChaCha8Rng,
    pub(super) shared: Shared,
    pub(super) entries: Vec<Entry>,
    pub(super) engines: Vec<Engine>,
    pub(super) jobs: Vec<Job>,
    pub(super) submissions: Vec<Submission>,
    pub(super) attempts: Vec<Attempt>,
    /// Committed claims by job, and whether the job's answer is stored.
    pub(super) claims: BTreeMap<usize, bool>,
    pub(super) report: Report,
    pub(super) accepts_requests: bool,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
}

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let shared = Shared::default();
        let mut view = View { version: 1, ..View::default() };
        for n in 0..ENGINES {
            let upstream = upstream(n);
            view.upstreams.insert(upstream.name.clone(), upstream);
        }
        shared.view.store(Arc::new(view));
        let entries = (0..ENTRIES).map(|n| Entry::new(n, 0, &shared, seed)).collect();
        let engines = (0..ENGINES).map(|_| Engine::default()).collect();
        Self {
            now: Time(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            shared,
            entries,
            engines,
            jobs: Vec::new(),
            submissions: Vec::new(),
            attempts: Vec::new(),
            claims: BTreeMap::new(),
            report: Report::default(),
            accepts_requests: true,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }

    /// Runs `steps` events, then runs until all requests have ended.
    pub(super) fn run(mut self, steps: u32) -> Result<Report, Violation> {
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(Duration::from_millis(100), Event::RandomCrash);
        self.schedule(Duration::from_millis(1_000), Event::LoseVm);
        while let Some(event) = self.pop() {
            self.report.steps += 1;
            self.accepts_requests = self.report.steps < steps;
            if self.report.steps > steps.saturating_add(DRAIN_STEPS) {
                break;
            }
            self.handle(event)?;
        }
        let unanswered = self.submissions.iter().filter(|submission| !submission.ended).count();
        self.require(unanswered == 0, Rule::Unanswered, || format!("{unanswered} requests"))?;
        Ok(self.report)
    }

    fn handle(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Arrive => self.arrive(),
            Event::Submit { job, entry } => return self.submit(job, entry),
            Event::RequestPermit { submission } => return self.request_permit(submission),
            Event::BeginReceived { submission, owner, round } => {
                self.receive_begin(submission, owner, round)
            }
            Event::VerdictReceived { submission, round, verdict } => {
                return self.receive_verdict(submission, round, verdict);
            }
            Event::OutcomeReceived { owner, submission, run, outcome } => {
                self.receive_outcome(owner, submission, run, outcome)
            }
            Event::Probe { submission, run, asked_owners, engine, incarnation } => {
                let up = self.engines[engine].up;
                self.probe_upstream(submission, run, asked_owners, up, incarnation);
            }
            Event::ChooseUpstream { submission } => return self.choose_upstream(submission),
            Event::RequestReceived { attempt } => return self.receive_request(attempt),
            Event::Token { attempt, position } => self.token(attempt, position),
            Event::FinishAnswer { attempt } => self.finish_answer(attempt),
            Event::ChunkReceived { attempt, event, job } => {
                return self.receive_event(attempt, &event, job);
            }
            Event::AnswerReceived { attempt, name, job } => {
                return self.receive_answer(attempt, &name, job);
            }
            Event::AttemptFailed { attempt, failure } => {
                return self.fail_attempt(attempt, failure);
            }
            Event::Retry { submission, failure, upstream } => {
                return self.retry_or_refuse(submission, failure, &upstream);
            }
            Event::Cancel { attempt } => self.attempts[attempt].running = false,
            Event::Deadline { submission } => return self.deadline(submission),
            Event::Crash { engine, cause, incarnation } => {
                return self.crash(engine, cause, incarnation);
            }
            Event::RestoreEngine { engine } => self.engines[engine].up = true,
            Event::RandomCrash => self.crash_randomly(),
            Event::LoseVm => return self.lose_vm(),
            Event::RestoreVm { entry } => self.entries[entry].up = true,
        }
        Ok(())
    }

    fn arrive(&mut self) {
        if !self.accepts_requests {
            return;
        }
        let job = Job::draw(&mut self.random);
        self.jobs.push(job);
        let job = self.jobs.len() - 1;
        let submissions = if self.chance(30) { self.random.random_range(2..4) } else { 1 };
        for _ in 0..submissions {
            let entry = self.random_entry();
            let at = Duration::from_micros(self.random.random_range(0..30_000));
            self.schedule(at, Event::Submit { job, entry });
        }
        let pause = self.random.random_range(0..2 * MEAN_ARRIVAL_GAP_US);
        self.schedule(Duration::from_micros(pause), Event::Arrive);
    }

    fn crash_randomly(&mut self) {
        if !self.accepts_requests {
            return;
        }
        let engine = self.random.random_range(0..ENGINES);
        let incarnation = self.engines[engine].incarnation;
        self.schedule(Duration::ZERO, Event::Crash { engine, cause: None, incarnation });
        let pause = self.random.random_range(CRASH_GAP_MS);
        self.schedule(Duration::from_millis(pause), Event::RandomCrash);
    }

    fn lose_vm(&mut self) -> Result<(), Violation> {
        if !self.accepts_requests {
            return Ok(());
        }
        let pause = self.random.random_range(VM_LOSS_GAP_MS);
        self.schedule(Duration::from_millis(pause), Event::LoseVm);
        let entry = self.random_entry();
        self.report.vms_lost += 1;
        let incarnation = self.entries[entry].incarnation + 1;
        let seed = self.random.random();
        self.entries[entry] = Entry::new(entry, incarnation, &self.shared, seed);
        self.entries[entry].up = false;
        self.schedule(Duration::from_millis(pause / 2), Event::RestoreVm { entry });
        for submission in 0..self.submissions.len() {
            if self.submissions[submission].entry == entry && !self.submissions[submission].ended {
                self.abandon_submission(submission);
            }
        }
        Ok(())
    }

    /// Returns a random VM that is up.
    pub(super) fn random_entry(&mut self) -> usize {
        loop {
            let entry = self.random.random_range(0..ENTRIES);
            if self.entries[entry].up {
                return entry;
            }
        }
    }

    /// Returns true with a probability of `percent`.
    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Returns a random one-way delay between two processes.
    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..3_000))
    }

    pub(super) fn schedule(&mut self, span: Duration, event: Event) {
        let number = self.next;
        self.next += 1;
        self.events.insert(number, event);
        self.queue.push(Reverse((self.now.after(span), number)));
    }

    fn pop(&mut self) -> Option<Event> {
        let Reverse((time, number)) = self.queue.pop()?;
        self.now = time;
        self.events.remove(&number)
    }

    /// Returns a violation of `rule` unless `holds`.
    pub(super) fn require<F>(&self, holds: bool, rule: Rule, detail: F) -> Result<(), Violation>
    where
        F: FnOnce() -> String,
    {
        if holds {
            return Ok(());
        }
        Err(Violation { rule, step: self.report.steps, detail: detail() })
    }
}

/// Returns the name of the n-th upstream.
pub(super) fn engine_name(n: usize) -> id::Upstream {
    id::Upstream::from(format!("engine-{n}"))
}

fn upstream(n: usize) -> Upstream {
    let spec = resource::Upstream {
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "porto".into(),
        serves: Serves::Model("m".into()),
        capacity: 8,
        fenced: true,
    };
    Upstream { name: engine_name(n), spec, state: State::Live }
}

/// Returns the failure of an attempt whose connection broke.
pub(super) fn connection_error() -> Failure {
    Failure::Sent(Error::new(crate::error::Kind::OutcomeUnknown, "connection closed"))
}
