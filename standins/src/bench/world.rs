//! Entry VMs' queues before engines that batch continuously, on a virtual
//! clock.
//!
//! The queues and the choice of an upstream are the product's; the engines
//! follow the same arithmetic as the engine stand-in.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use parsleybeam::admission::capacity::{Demand, Owner};
use parsleybeam::admission::queue::{Limit, Policy, Queue};
use parsleybeam::admission::{Pick, Ticket};
use parsleybeam::clock::Time;
use parsleybeam::config::resource::Serves;
use parsleybeam::id::{Model, Organisation, Upstream, Vm};

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

/// How an engine's slots are divided over the VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// Leased in bulk by an owner, as in the product.
    Leased,
    /// The same number to each VM, for good.
    Fixed,
}

struct Engine {
    name: Upstream,
    owner: Owner,
    /// Share of the normal speed.
    speed: f64,
    runs: Vec<Run>,
}

struct Entry {
    vm: Vm,
    limits: BTreeMap<Upstream, u32>,
    asked: Time,
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

/// Time between a VM's questions for slots, as in the product.
const LEASE_PERIOD: Duration = Duration::from_millis(300);
/// The same while requests wait.
const STARVED_PERIOD: Duration = Duration::from_millis(20);
/// One slot is asked for beyond what is used, and one more for each so many.
const SPARE_PART: u32 = 4;
/// Slots that an owner keeps for a silent VM.
const FALLBACK_SLOTS: u32 = 1;
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
    division: Division,
    questions: u64,
    /// Ended requests with their organisation.
    pub ended: Vec<(usize, End)>,
}

impl World {
    /// Makes an idle world.
    pub fn new(
        organisations: Vec<Organisation>,
        choices: Vec<Box<dyn Choice>>,
        speeds: &[f64],
        order: Policy,
        division: Division,
    ) -> Self {
        let target = Serves::Model(Model::from("notes"));
        let vms: Vec<Vm> = (0..choices.len()).map(|n| Vm::from(format!("entry-{n}"))).collect();
        let engines: Vec<_> =
            speeds.iter().enumerate().map(|(n, speed)| engine(n, *speed, &vms)).collect();
        let limit = (CAPACITY / vms.len() as u32).max(1);
        let limits: BTreeMap<_, _> =
            engines.iter().map(|engine| (engine.name.clone(), limit)).collect();
        let entry = |(vm, choice)| {
            let mut queue = Queue::new(order);
            queue.set_limits(slots(&target, &limits));
            let (limits, asked) = (limits.clone(), Time(0));
            Entry { vm, limits, asked, choice, queue, waiting: HashMap::new() }
        };
        let entries = vms.into_iter().zip(choices).map(entry).collect();
        let (now, next_report) = (Time(0), Time(0));
        Self {
            now,
            target,
            organisations,
            entries,
            engines,
            next_report,
            division,
            questions: 0,
            ended: Vec::new(),
        }
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
            exclusive: false,
            prefix: None,
        };
        let entry = &mut self.entries[vm];
        match entry.queue.enqueue(ticket, 1, self.now) {
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
            if self.division == Division::Leased {
                self.lease(vm);
            }
            self.start(vm);
        }
    }

    /// Asks each engine's owner for slots: at intervals, and soon after
    /// requests found none.
    fn lease(&mut self, vm: usize) {
        let entry = &mut self.entries[vm];
        let period = if entry.queue.any_waiting() { STARVED_PERIOD } else { LEASE_PERIOD };
        if !entry.asked.after(period).passed(self.now) {
            return;
        }
        entry.asked = self.now;
        self.questions += 1;
        for room in entry.queue.occupancy() {
            let engine = self.engines.iter_mut().find(|engine| engine.name == room.upstream);
            let Some(engine) = engine else { continue };
            let busy = room.online_running + room.online_waiting;
            let want = busy + 1 + busy / SPARE_PART;
            let held = entry.limits.get(&room.upstream).copied().unwrap_or_default().min(want);
            let running = room.online_running;
            let asked =
                Demand { wanted: want, needed: busy, running, held, sequence: self.questions };
            let count = engine.owner.lease(&entry.vm, asked, self.now);
            entry.limits.insert(room.upstream, count);
        }
        entry.queue.set_limits(slots(&self.target, &entry.limits));
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
            self.entries[run.vm].queue.finish(&self.target, &name, held);
            let first = run.first_token.map(|at| run.job.came.until(at)).unwrap_or_default();
            let whole = self.now <= run.job.deadline;
            let end = if whole { End::Answered(first) } else { End::Failed };
            self.ended.push((run.job.organisation, end));
        }
    }
}

fn engine(number: usize, speed: f64, vms: &[Vm]) -> Engine {
    let mut owner = Owner::new(Time(0));
    owner.configure(CAPACITY, vms.iter().map(|vm| (vm.clone(), FALLBACK_SLOTS)).collect());
    Engine { name: Upstream::from(format!("engine-{number}")), owner, speed, runs: Vec::new() }
}

fn slots(target: &Serves, limits: &BTreeMap<Upstream, u32>) -> BTreeMap<Upstream, Limit> {
    let slot = |limit| Limit { serves: target.clone(), concurrency: limit, live: true };
    limits.iter().map(|(name, limit)| (name.clone(), slot(*limit))).collect()
}

fn token_ms(running: usize) -> f64 {
    let load = running as f64 / f64::from(CAPACITY);
    if load <= 1.0 {
        TOKEN_MS * (1.0 + FULL_SLOWING * load)
    } else {
        TOKEN_MS * (1.0 + FULL_SLOWING) * load
    }
}
