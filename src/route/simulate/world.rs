//! The world's state, its events in the order of time, and its rules.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::caller::{Copy, Job};
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

/// Entry VMs.
const ENTRIES: usize = 4;
/// Upstreams, all of one model.
const ENGINES: usize = 8;
/// Mean pause between two new requests.
const ARRIVAL_MICROS: u64 = 4_000;
/// Pause between two natural crashes.
const CRASH_MILLIS: std::ops::Range<u64> = 200..1_200;
/// Pause between two losses of a VM.
const VM_LOSS_MILLIS: std::ops::Range<u64> = 800..3_000;
/// Events after which requests that haven't ended count as unanswered.
const DRAIN_STEPS: u32 = 2_000_000;

/// What happens.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The next new request comes.
    Arrive,
    /// A caller sends a request (again).
    Send { job: usize, entry: usize },
    /// A VM asks whether a request may run.
    Ask { copy: usize },
    /// The question reaches a keeper.
    Asked { copy: usize, keeper: usize, round: u32 },
    /// A keeper's verdict is back, or none came.
    Told { copy: usize, round: u32, verdict: Option<Verdict> },
    /// A keeper hears how a run ended.
    Ended { keeper: usize, copy: usize, run: u64, how: Outcome },
    /// A VM looks after the upstream of a run that it cancelled.
    Probe { copy: usize, run: u64, asked: Vec<usize>, engine: usize, life: u64 },
    /// A VM looks for an upstream.
    Choose { copy: usize },
    /// A request reaches its upstream.
    Reach { attempt: usize },
    /// An engine makes its next token.
    Token { attempt: usize, position: u32 },
    /// An engine has a whole answer.
    Whole { attempt: usize },
    /// An event of a stream reaches the VM.
    Deliver { attempt: usize, event: Vec<u8>, job: usize },
    /// A whole answer reaches the VM.
    Answer { attempt: usize, name: String, job: usize },
    /// The VM learns that an attempt failed.
    Fail { attempt: usize, failure: Failure },
    /// All that must know of a death do; the request goes on.
    Resume { copy: usize, failure: Failure, upstream: id::Upstream },
    /// The VM lets an attempt go, and the upstream learns of it.
    Cancel { attempt: usize },
    /// A request's deadline comes.
    Deadline { copy: usize },
    /// An upstream crashes, by itself or because of a request.
    Crash { engine: usize, cause: Option<usize>, life: u32 },
    /// An upstream is back.
    Revive { engine: usize },
    /// The next natural crash comes.
    Weather,
    /// A VM is lost.
    Lose,
    /// A VM is back.
    Return { entry: usize },
}

/// Everything there is.
pub(super) struct World {
    pub(super) now: Time,
    pub(super) generator: ChaCha8Rng,
    pub(super) shared: Shared,
    pub(super) entries: Vec<Entry>,
    pub(super) engines: Vec<Engine>,
    pub(super) jobs: Vec<Job>,
    pub(super) copies: Vec<Copy>,
    pub(super) attempts: Vec<Attempt>,
    /// Claims that are committed, with the job's kept answer.
    pub(super) claims: BTreeMap<usize, bool>,
    pub(super) report: Report,
    pub(super) open: bool,
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
            generator: ChaCha8Rng::seed_from_u64(seed),
            shared,
            entries,
            engines,
            jobs: Vec::new(),
            copies: Vec::new(),
            attempts: Vec::new(),
            claims: BTreeMap::new(),
            report: Report::default(),
            open: true,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }

    /// Runs `steps` events, then to the end of all requests.
    pub(super) fn run(mut self, steps: u32) -> Result<Report, Violation> {
        self.after(Duration::ZERO, Event::Arrive);
        self.after(Duration::from_millis(100), Event::Weather);
        self.after(Duration::from_millis(1_000), Event::Lose);
        while let Some(event) = self.pop() {
            self.report.steps += 1;
            self.open = self.report.steps < steps;
            if self.report.steps > steps.saturating_add(DRAIN_STEPS) {
                break;
            }
            self.handle(event)?;
        }
        let unanswered = self.copies.iter().filter(|copy| !copy.ended).count();
        self.rule(unanswered == 0, Rule::Unanswered, || format!("{unanswered} requests"))?;
        Ok(self.report)
    }

    fn handle(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Arrive => self.arrive(),
            Event::Send { job, entry } => return self.send(job, entry),
            Event::Ask { copy } => return self.ask(copy),
            Event::Asked { copy, keeper, round } => self.asked(copy, keeper, round),
            Event::Told { copy, round, verdict } => return self.told(copy, round, verdict),
            Event::Ended { keeper, copy, run, how } => self.ended(keeper, copy, run, how),
            Event::Probe { copy, run, asked, engine, life } => {
                let up = self.engines[engine].up;
                self.probe(copy, run, asked, up, life);
            }
            Event::Choose { copy } => return self.choose(copy),
            Event::Reach { attempt } => return self.reach(attempt),
            Event::Token { attempt, position } => self.token(attempt, position),
            Event::Whole { attempt } => self.whole(attempt),
            Event::Deliver { attempt, event, job } => return self.deliver(attempt, &event, job),
            Event::Answer { attempt, name, job } => return self.answer(attempt, &name, job),
            Event::Fail { attempt, failure } => return self.fail(attempt, failure),
            Event::Resume { copy, failure, upstream } => {
                return self.resume(copy, failure, &upstream);
            }
            Event::Cancel { attempt } => self.attempts[attempt].running = false,
            Event::Deadline { copy } => return self.deadline(copy),
            Event::Crash { engine, cause, life } => return self.crash(engine, cause, life),
            Event::Revive { engine } => self.engines[engine].up = true,
            Event::Weather => self.weather(),
            Event::Lose => return self.lose(),
            Event::Return { entry } => self.entries[entry].up = true,
        }
        Ok(())
    }

    fn arrive(&mut self) {
        if !self.open {
            return;
        }
        let job = Job::draw(&mut self.generator);
        self.jobs.push(job);
        let job = self.jobs.len() - 1;
        let copies = if self.chance(30) { self.generator.random_range(2..4) } else { 1 };
        for _ in 0..copies {
            let entry = self.any_entry();
            let at = Duration::from_micros(self.generator.random_range(0..30_000));
            self.after(at, Event::Send { job, entry });
        }
        let pause = self.generator.random_range(0..2 * ARRIVAL_MICROS);
        self.after(Duration::from_micros(pause), Event::Arrive);
    }

    fn weather(&mut self) {
        if !self.open {
            return;
        }
        let engine = self.generator.random_range(0..ENGINES);
        let life = self.engines[engine].life;
        self.after(Duration::ZERO, Event::Crash { engine, cause: None, life });
        let pause = self.generator.random_range(CRASH_MILLIS);
        self.after(Duration::from_millis(pause), Event::Weather);
    }

    fn lose(&mut self) -> Result<(), Violation> {
        if !self.open {
            return Ok(());
        }
        let pause = self.generator.random_range(VM_LOSS_MILLIS);
        self.after(Duration::from_millis(pause), Event::Lose);
        let entry = self.any_entry();
        self.report.vms_lost += 1;
        let life = self.entries[entry].life + 1;
        let seed = self.generator.random();
        self.entries[entry] = Entry::new(entry, life, &self.shared, seed);
        self.entries[entry].up = false;
        self.after(Duration::from_millis(pause / 2), Event::Return { entry });
        for copy in 0..self.copies.len() {
            if self.copies[copy].entry == entry && !self.copies[copy].ended {
                self.abandon(copy);
            }
        }
        Ok(())
    }

    /// A VM that is up.
    pub(super) fn any_entry(&mut self) -> usize {
        loop {
            let entry = self.generator.random_range(0..ENTRIES);
            if self.entries[entry].up {
                return entry;
            }
        }
    }

    /// Draws with a probability in a hundred.
    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.generator.random_range(0..100) < percent
    }

    /// One way between two processes.
    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_micros(self.generator.random_range(300..3_000))
    }

    pub(super) fn after(&mut self, span: Duration, event: Event) {
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

    /// Fails unless `holds`.
    pub(super) fn rule<F>(&self, holds: bool, rule: Rule, detail: F) -> Result<(), Violation>
    where
        F: FnOnce() -> String,
    {
        if holds {
            return Ok(());
        }
        Err(Violation { rule, step: self.report.steps, detail: detail() })
    }
}

/// Name of the n-th upstream.
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

/// An error of an upstream whose connection broke.
pub(super) fn broken() -> Failure {
    Failure::Sent(Error::new(crate::error::Kind::OutcomeUnknown, "broke off"))
}
