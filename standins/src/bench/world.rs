//! Entry VMs' queues before engines that batch continuously, on a virtual
//! clock.
//!
//! The queues and the choice of an upstream are the product's; the engines
//! follow the same arithmetic as the engine stand-in.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use parsleybeam::admission::queue::{Order, Queue, Slot};
use parsleybeam::admission::{Pick, Ticket};
use parsleybeam::clock::Time;
use parsleybeam::config::resource::Serves;
use parsleybeam::id::{Model, Organisation, Upstream};

/// Step of the virtual clock.
pub const TICK: Duration = Duration::from_millis(4);
/// Requests that an engine runs without slowing.
pub const CAPACITY: u32 = 16;
/// Time to the first token of an idle engine, in milliseconds.
const FIRST_TOKEN_MS: f64 = 150.0;
/// Time between tokens of an idle engine, in milliseconds.
const TOKEN_MS: f64 = 18.0;
/// Slowing of a token when the engine is just full, against an idle one.
const FULL_SLOWING: f64 = 0.5;

/// A request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Whose it is, by number.
    pub organisation: usize,
    /// Length of the answer.
    pub tokens: u32,
    /// When it came.
    pub came: Time,
    /// When its caller gives up.
    pub deadline: Time,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer was whole at the deadline; time to its first token.
    Answered(Duration),
    /// It was refused, or its deadline passed.
    Failed,
}

struct Run {
    vm: usize,
    job: Job,
    started: Time,
    /// Milliseconds of work until the first token.
    first: f64,
    /// Tokens still to come.
    left: f64,
    first_token: Option<Time>,
}

struct Engine {
    name: Upstream,
    /// Share of the normal speed.
    speed: f64,
    runs: Vec<Run>,
}

struct Entry {
    choice: Box<dyn Choice>,
    queue: Queue,
    waiting: HashMap<u64, Job>,
}

/// How a VM chooses an engine, and what it is told of its choices.
pub trait Choice {
    /// The choice itself.
    fn pick(&self) -> &dyn Pick;

    /// A request was sent.
    fn started(&self, _upstream: &Upstream) {}

    /// A request was answered.
    fn ended(&self, _upstream: &Upstream, _now: Time) {}

    /// An engine reports its load, with a lag.
    fn report(&self, _upstream: &Upstream, _running: u32, _at: Time) {}
}

/// Time between load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Queues and engines.
pub struct World {
    now: Time,
    target: Serves,
    organisations: Vec<Organisation>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    next_report: Time,
    /// Ended requests with their organisation.
    pub ended: Vec<(usize, End)>,
}

impl World {
    /// Makes an idle world; each VM holds an equal part of each engine.
    pub fn new(
        organisations: Vec<Organisation>,
        choices: Vec<Box<dyn Choice>>,
        speeds: &[f64],
        order: Order,
    ) -> Self {
        let target = Serves::Model(Model::from("notes"));
        let engines: Vec<_> =
            speeds.iter().enumerate().map(|(n, speed)| engine(n, *speed)).collect();
        let limit = (CAPACITY / choices.len() as u32).max(1);
        let slot = Slot { serves: target.clone(), limit, live: true };
        let slots: BTreeMap<_, _> =
            engines.iter().map(|engine| (engine.name.clone(), slot.clone())).collect();
        let entry = |choice| {
            let mut queue = Queue::new(order);
            queue.set_slots(slots.clone());
            Entry { choice, queue, waiting: HashMap::new() }
        };
        let entries = choices.into_iter().map(entry).collect();
        let (now, next_report) = (Time(0), Time(0));
        Self { now, target, organisations, entries, engines, next_report, ended: Vec::new() }
    }

    /// The present.
    pub fn now(&self) -> Time {
        self.now
    }

    /// A request comes to a VM.
    pub fn arrive(&mut self, vm: usize, job: Job) {
        let ticket = Ticket {
            organisation: self.organisations[job.organisation].clone(),
            target: self.target.clone(),
            cost: job.tokens,
            deadline: job.deadline,
            excluded: Vec::new(),
            alone: false,
            prefix: None,
        };
        let entry = &mut self.entries[vm];
        match entry.queue.enter(ticket, 1, self.now) {
            Ok(id) => {
                entry.waiting.insert(id, job);
            }
            Err(_) => self.ended.push((job.organisation, End::Failed)),
        }
    }

    /// Lets one tick pass.
    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        for place in 0..self.engines.len() {
            self.advance(place);
        }
        if self.next_report.passed(self.now) {
            self.report();
        }
        for vm in 0..self.entries.len() {
            self.start(vm);
        }
    }

    fn report(&mut self) {
        self.next_report = self.now.after(REPORT_PERIOD);
        for engine in &self.engines {
            let running = engine.runs.len() as u32;
            for entry in &self.entries {
                entry.choice.report(&engine.name, running, self.now);
            }
        }
    }

    fn start(&mut self, vm: usize) {
        let now = self.now;
        let entry = &mut self.entries[vm];
        let late: Vec<u64> = entry
            .waiting
            .iter()
            .filter(|(_, job)| job.deadline.passed(now))
            .map(|(id, _)| *id)
            .collect();
        for grant in entry.queue.start(entry.choice.pick(), now) {
            let Some(job) = entry.waiting.remove(&grant.id) else { continue };
            entry.choice.started(&grant.upstream);
            let left = f64::from(job.tokens);
            let run = Run { vm, job, started: now, first: FIRST_TOKEN_MS, left, first_token: None };
            if let Some(engine) =
                self.engines.iter_mut().find(|engine| engine.name == grant.upstream)
            {
                engine.runs.push(run);
            }
        }
        for id in late {
            if let Some(job) = entry.waiting.remove(&id) {
                self.ended.push((job.organisation, End::Failed));
            }
        }
    }

    fn advance(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        let step = TICK.as_secs_f64() * 1_000.0 * engine.speed;
        let token = token_ms(engine.runs.len());
        for run in &mut engine.runs {
            if run.first > 0.0 {
                run.first -= step;
                continue;
            }
            run.left -= step / token;
            if run.first_token.is_none() {
                run.first_token = Some(self.now);
            }
        }
        let (done, runs): (Vec<_>, Vec<_>) =
            std::mem::take(&mut engine.runs).into_iter().partition(|run| run.left <= 0.0);
        engine.runs = runs;
        let name = engine.name.clone();
        for run in done {
            let held = run.started.until(self.now);
            self.entries[run.vm].choice.ended(&name, self.now);
            self.entries[run.vm].queue.end(&self.target, &name, held);
            let first = run.first_token.map(|at| run.job.came.until(at)).unwrap_or_default();
            let whole = self.now <= run.job.deadline;
            let end = if whole { End::Answered(first) } else { End::Failed };
            self.ended.push((run.job.organisation, end));
        }
    }
}

fn engine(number: usize, speed: f64) -> Engine {
    Engine { name: Upstream::from(format!("engine-{number}")), speed, runs: Vec::new() }
}

fn token_ms(running: usize) -> f64 {
    let load = running as f64 / f64::from(CAPACITY);
    if load <= 1.0 {
        TOKEN_MS * (1.0 + FULL_SLOWING * load)
    } else {
        TOKEN_MS * (1.0 + FULL_SLOWING) * load
    }
}
