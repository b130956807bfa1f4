//! Simulation of entry VMs that queue requests for engines with continuous
//! batching, on a virtual clock.
//!
//! The queues and the upstream selection are the production code; the engines use
//! the same timing model as the engine stand-in.

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
/// Requests that an engine runs at once without overload.
pub const CAPACITY: u32 = 16;
/// Time to the first token of an idle engine, in milliseconds.
const FIRST_TOKEN_MS: f64 = 150.0;
/// Time between tokens of an idle engine, in milliseconds.
const TOKEN_MS: f64 = 18.0;
/// Increase of the time between tokens at full load, as a fraction of an idle engine's.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;

/// A simulated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the organisation that sent it.
    pub organisation: usize,
    /// Length of the response, in tokens.
    pub tokens: u32,
    /// Time at which it arrived.
    pub arrived_at: Time,
    /// Time at which its caller gives up.
    pub deadline: Time,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete by the deadline; holds the time to the first token.
    Completed(Duration),
    /// The request was refused, or its deadline passed.
    Failed,
}

struct Run {
    vm: usize,
    request: Request,
    started: Time,
    /// Remaining work until the first token, in milliseconds.
    first_token_work_ms: f64,
    /// Tokens still to generate.
    remaining_tokens: f64,
    first_token: Option<Time>,
}

/// How the slots of an engine are divided among the VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotSharing {
    /// An owner leases them in bulk, as in production.
    Leased,
    /// Each VM has the same number permanently.
    Fixed,
}

struct Engine {
    name: Upstream,
    owner: Owner,
    /// Speed, as a fraction of the normal one.
    speed: f64,
    runs: Vec<Run>,
}

struct Entry {
    vm: Vm,
    limits: BTreeMap<Upstream, u32>,
    last_lease: Time,
    selector: Box<dyn Selector>,
    queue: Queue,
    waiting: HashMap<u64, Request>,
}

/// Engine selection of a VM, and the feedback that it gets.
pub trait Selector {
    /// Returns the selection policy for the queue.
    fn pick(&self) -> &dyn Pick;

    /// Records that a request was sent.
    fn started(&self, _upstream: &Upstream) {}

    /// Records that a request was answered.
    fn finished(&self, _upstream: &Upstream, _now: Time) {}

    /// Records a load report of an engine, which is up to `REPORT_PERIOD` old when it is used.
    fn report(&self, _upstream: &Upstream, _running: u32, _at: Time) {}
}

/// Interval between a VM's lease requests for slots, as in production.
const LEASE_PERIOD: Duration = Duration::from_millis(300);
/// Interval between lease requests while requests are waiting.
const WAITING_LEASE_PERIOD: Duration = Duration::from_millis(20);
/// A VM asks for one spare slot, plus one for each this many slots in use.
const SPARE_SLOT_DIVISOR: u32 = 4;
/// Slots that an owner reserves for a VM that sends it no lease requests.
const FALLBACK_SLOTS: u32 = 1;
/// Interval between load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// State of the queues and engines.
pub struct Simulation {
    now: Time,
    target: Serves,
    organisations: Vec<Organisation>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    next_report: Time,
    slot_sharing: SlotSharing,
    lease_sequence: u64,
    /// Outcomes of ended requests, with the index of the organisation.
    pub outcomes: Vec<(usize, RequestOutcome)>,
}

impl Simulation {
    /// Creates a simulation with one VM per selector and one idle engine per speed.
    pub fn new(
        organisations: Vec<Organisation>,
        selectors: Vec<Box<dyn Selector>>,
        speeds: &[f64],
        policy: Policy,
        slot_sharing: SlotSharing,
    ) -> Self {
        let target = Serves::Model(Model::from("notes"));
        let vms: Vec<Vm> = (0..selectors.len()).map(|n| Vm::from(format!("entry-{n}"))).collect();
        let engines: Vec<_> =
            speeds.iter().enumerate().map(|(n, speed)| engine(n, *speed, &vms)).collect();
        let limit = (CAPACITY / vms.len() as u32).max(1);
        let limits: BTreeMap<_, _> =
            engines.iter().map(|engine| (engine.name.clone(), limit)).collect();
        let entry = |(vm, selector)| {
            let mut queue = Queue::new(policy);
            queue.set_limits(slots(&target, &limits));
            let (limits, last_lease) = (limits.clone(), Time(0));
            Entry { vm, limits, last_lease, selector, queue, waiting: HashMap::new() }
        };
        let entries = vms.into_iter().zip(selectors).map(entry).collect();
        let (now, next_report) = (Time(0), Time(0));
        Self {
            now,
            target,
            organisations,
            entries,
            engines,
            next_report,
            slot_sharing,
            lease_sequence: 0,
            outcomes: Vec::new(),
        }
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Enqueues a request at a VM.
    pub fn arrive(&mut self, vm: usize, request: Request) {
        let ticket = Ticket {
            organisation: self.organisations[request.organisation].clone(),
            target: self.target.clone(),
            cost: request.tokens,
            deadline: request.deadline,
            excluded: Vec::new(),
            exclusive: false,
            prefix: None,
        };
        let entry = &mut self.entries[vm];
        match entry.queue.enqueue(ticket, 1, self.now) {
            Ok(id) => {
                entry.waiting.insert(id, request);
            }
            Err(_) => self.outcomes.push((request.organisation, RequestOutcome::Failed)),
        }
    }

    /// Advances the simulation by one tick.
    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        for index in 0..self.engines.len() {
            self.advance(index);
        }
        if self.next_report.passed(self.now) {
            self.report();
        }
        for vm in 0..self.entries.len() {
            if self.slot_sharing == SlotSharing::Leased {
                self.lease(vm);
            }
            self.start(vm);
        }
    }

    /// Requests slots from each engine's owner: at intervals, which are shorter while requests
    /// are waiting.
    fn lease(&mut self, vm: usize) {
        let entry = &mut self.entries[vm];
        let period = if entry.queue.any_waiting() { WAITING_LEASE_PERIOD } else { LEASE_PERIOD };
        if !entry.last_lease.after(period).passed(self.now) {
            return;
        }
        entry.last_lease = self.now;
        self.lease_sequence += 1;
        for occupancy in entry.queue.occupancy() {
            let engine = self.engines.iter_mut().find(|engine| engine.name == occupancy.upstream);
            let Some(engine) = engine else { continue };
            let used = occupancy.online_running + occupancy.online_waiting;
            let wanted = used + 1 + used / SPARE_SLOT_DIVISOR;
            let held =
                entry.limits.get(&occupancy.upstream).copied().unwrap_or_default().min(wanted);
            let running = occupancy.online_running;
            let demand =
                Demand { wanted, needed: used, running, held, sequence: self.lease_sequence };
            let count = engine.owner.lease(&entry.vm, demand, self.now);
            entry.limits.insert(occupancy.upstream, count);
        }
        entry.queue.set_limits(slots(&self.target, &entry.limits));
    }

    fn report(&mut self) {
        self.next_report = self.now.after(REPORT_PERIOD);
        for engine in &self.engines {
            let running = engine.runs.len() as u32;
            for entry in &self.entries {
                entry.selector.report(&engine.name, running, self.now);
            }
        }
    }

    fn start(&mut self, vm: usize) {
        let now = self.now;
        let entry = &mut self.entries[vm];
        let expired: Vec<u64> = entry
            .waiting
            .iter()
            .filter(|(_, request)| request.deadline.passed(now))
            .map(|(id, _)| *id)
            .collect();
        for grant in entry.queue.start(entry.selector.pick(), now) {
            let Some(request) = entry.waiting.remove(&grant.id) else { continue };
            entry.selector.started(&grant.upstream);
            let remaining_tokens = f64::from(request.tokens);
            let run = Run {
                vm,
                request,
                started: now,
                first_token_work_ms: FIRST_TOKEN_MS,
                remaining_tokens,
                first_token: None,
            };
            if let Some(engine) =
                self.engines.iter_mut().find(|engine| engine.name == grant.upstream)
            {
                engine.runs.push(run);
            }
        }
        for id in expired {
            if let Some(request) = entry.waiting.remove(&id) {
                self.outcomes.push((request.organisation, RequestOutcome::Failed));
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let step = TICK.as_secs_f64() * 1_000.0 * engine.speed;
        let token = token_ms(engine.runs.len());
        for run in &mut engine.runs {
            if run.first_token_work_ms > 0.0 {
                run.first_token_work_ms -= step;
                continue;
            }
            run.remaining_tokens -= step / token;
            if run.first_token.is_none() {
                run.first_token = Some(self.now);
            }
        }
        let (done, runs): (Vec<_>, Vec<_>) = std::mem::take(&mut engine.runs)
            .into_iter()
            .partition(|run| run.remaining_tokens <= 0.0);
        engine.runs = runs;
        let name = engine.name.clone();
        for run in done {
            let held = run.started.until(self.now);
            self.entries[run.vm].selector.finished(&name, self.now);
            self.entries[run.vm].queue.finish(&self.target, &name, held);
            let first_token_latency =
                run.first_token.map(|at| run.request.arrived_at.until(at)).unwrap_or_default();
            let in_time = self.now <= run.request.deadline;
            let outcome = if in_time {
                RequestOutcome::Completed(first_token_latency)
            } else {
                RequestOutcome::Failed
            };
            self.outcomes.push((run.request.organisation, outcome));
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
        TOKEN_MS * (1.0 + FULL_LOAD_SLOWDOWN * load)
    } else {
        TOKEN_MS * (1.0 + FULL_LOAD_SLOWDOWN) * load
    }
}
