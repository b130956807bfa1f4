//! Random runs of orders: an order of an earlier holder never takes effect
//! after one of a later holder, on upstreams that know fencing numbers and on
//! those that don't.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Timeline, Violation};
use crate::clock::Time;
use crate::id::Upstream;
use crate::order::{
    Controller, LEASE_TTL, Leadership, Limits, Loaded, ORDER_TIMEOUT, Observed, Order, Step, Target,
};

/// VMs that compete for the lease.
const VMS: usize = 3;
/// Upstreams; every second one knows fencing numbers.
const UPSTREAMS: usize = 4;
/// Pause between rounds of a VM.
const TICK_MS: u64 = 400;

/// What a run did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Orders that took effect.
    pub effective: u64,
    /// Orders that an upstream refused as old.
    pub fenced: u64,
    /// Changes of holder.
    pub holders: u64,
    /// Orders that a holder didn't send, as its time had passed.
    pub withheld: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Fault,
    Publish,
    Send { vm: usize, order: Order },
    Arrive { vm: usize, fence: u64, issue: u64, order: Order },
    Answer { vm: usize, upstream: Upstream, fenced: bool, issue: u64 },
    Read { vm: usize, upstream: Upstream, asked: Time },
    State { vm: usize, upstream: Upstream, observed: Observed, asked: Time },
}

#[derive(Clone, Debug, Default)]
struct Site {
    observed: Observed,
    fence: u64,
    highest: (u64, u64),
}

struct Node {
    controller: Controller,
    tenure: Option<Leadership>,
    version: u64,
    frozen_until: Time,
    issued: BTreeMap<Upstream, u64>,
}

struct Lease {
    holder: usize,
    ends: Time,
}

struct World {
    random: ChaCha8Rng,
    now: Time,
    timeline: Timeline<Event>,
    nodes: Vec<Node>,
    sites: BTreeMap<Upstream, Site>,
    lease: Option<Lease>,
    fence: u64,
    issues: u64,
    version: u64,
    report: Report,
}

/// Runs `steps` events from `seed`.
pub fn simulate(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut world = World::new(ChaCha8Rng::seed_from_u64(seed));
    for step in 0..steps {
        world.step().map_err(|detail| Violation { seed, step, detail })?;
    }
    Ok(world.report)
}

fn upstreams() -> impl Iterator<Item = Upstream> {
    (0..UPSTREAMS).map(|index| format!("engine-{index}").into())
}

fn is_fenced(upstream: &Upstream) -> bool {
    upstream.as_str().ends_with(['0', '2'])
}

fn target(version: u64) -> Target {
    Target { model: "notes".into(), version: format!("v{version}"), adapters: vec!["pt".into()] }
}

impl World {
    fn new(random: ChaCha8Rng) -> Self {
        let now = Time::from_millis(1_000);
        let node = || Node {
            controller: Controller::new(target(0), Limits { max_changing: 1.0, max_loads: 4 }),
            tenure: None,
            version: 0,
            frozen_until: Time(0),
            issued: BTreeMap::new(),
        };
        let mut world = Self {
            random,
            now,
            timeline: Timeline::default(),
            nodes: (0..VMS).map(|_| node()).collect(),
            sites: upstreams().map(|name| (name, Site::default())).collect(),
            lease: None,
            fence: 0,
            issues: 0,
            version: 0,
            report: Report::default(),
        };
        (0..VMS).for_each(|vm| world.plan(0..TICK_MS, Event::Tick(vm)));
        world.plan(0..1_000, Event::Fault);
        world.plan(0..1_000, Event::Publish);
        world
    }

    fn step(&mut self) -> Result<(), String> {
        let Some((now, event)) = self.timeline.pop() else { return Ok(()) };
        self.now = now;
        if let Some(vm) = actor(&event).filter(|vm| !self.nodes[*vm].frozen_until.passed(now)) {
            // A frozen process goes on where it stopped.
            self.timeline.add(self.nodes[vm].frozen_until, event);
            return Ok(());
        }
        match event {
            Event::Tick(vm) => self.tick(vm),
            Event::Fault => self.fault(),
            Event::Publish => {
                self.version += 1;
                self.plan(500..6_000, Event::Publish);
            }
            Event::Send { vm, order } => self.send(vm, order),
            Event::Arrive { vm, fence, issue, order } => {
                return self.arrive(vm, fence, issue, order);
            }
            Event::Answer { vm, upstream, fenced, issue } => {
                self.answer(vm, &upstream, fenced, issue);
            }
            Event::Read { vm, upstream, asked } => {
                let observed = self.sites[&upstream].observed.clone();
                self.reply(Event::State { vm, upstream, observed, asked });
            }
            Event::State { vm, upstream, observed, asked } => {
                self.nodes[vm].controller.on_state(&upstream, observed, asked);
            }
        }
        Ok(())
    }

    fn tick(&mut self, vm: usize) {
        self.plan(TICK_MS..2 * TICK_MS, Event::Tick(vm));
        self.keep_lease(vm);
        let (now, newest) = (self.now, self.version);
        let informed = self.random.random_bool(0.5);
        let node = &mut self.nodes[vm];
        if informed {
            node.version = newest;
        }
        if !node.tenure.is_some_and(|tenure| tenure.is_current(now)) {
            return;
        }
        node.controller.configure(target(node.version), upstreams());
        for step in node.controller.steps(now) {
            match step {
                Step::Read(upstream) => {
                    self.reply(Event::Read { vm, upstream, asked: now });
                }
                // The process may be frozen between decision and sending.
                Step::Send(order) => self.plan(0..50, Event::Send { vm, order }),
            }
        }
    }

    fn keep_lease(&mut self, vm: usize) {
        let now = self.now;
        if self.lease.as_ref().is_some_and(|lease| lease.ends.passed(now)) {
            self.lease = None;
        }
        if self.random.random_bool(0.2) {
            return;
        }
        let ends = now.after(LEASE_TTL);
        match &mut self.lease {
            Some(lease) if lease.holder == vm => {
                lease.ends = ends;
                if let Some(tenure) = &mut self.nodes[vm].tenure {
                    tenure.renew(now);
                }
            }
            Some(_) => self.nodes[vm].tenure = None,
            None => {
                self.lease = Some(Lease { holder: vm, ends });
                self.fence += 1;
                self.report.holders += 1;
                self.nodes[vm].tenure = Some(Leadership::new(self.fence, now, now));
            }
        }
    }

    fn send(&mut self, vm: usize, order: Order) {
        let now = self.now;
        let node = &mut self.nodes[vm];
        let fenced = is_fenced(&order.upstream);
        let Some(tenure) = node.tenure.filter(|tenure| tenure.may_send(fenced, now)) else {
            self.report.withheld += 1;
            return;
        };
        if !node.controller.begin_order(&order.upstream, now) {
            return;
        }
        self.issues += 1;
        let issue = self.issues;
        node.issued.insert(order.upstream.clone(), issue);
        if self.random.random_bool(0.1) {
            return;
        }
        let most = if self.random.random_bool(0.3) { ORDER_TIMEOUT.as_millis() as u64 } else { 20 };
        self.plan(1..most, Event::Arrive { vm, fence: tenure.fencing_token(), issue, order });
    }

    fn arrive(&mut self, vm: usize, fence: u64, issue: u64, order: Order) -> Result<(), String> {
        let upstream = order.upstream.clone();
        let Some(site) = self.sites.get_mut(&upstream) else { return Ok(()) };
        if is_fenced(&upstream) && fence < site.fence {
            self.report.fenced += 1;
            self.reply(Event::Answer { vm, upstream, fenced: true, issue });
            return Ok(());
        }
        site.fence = site.fence.max(fence);
        if (fence, issue) < site.highest {
            let (held, now) = (site.highest, self.now.as_millis());
            return Err(format!(
                "{upstream}: {:?} took effect after {held:?} at {now} ms",
                (fence, issue)
            ));
        }
        site.highest = (fence, issue);
        let loaded = site.observed.models.entry("notes".into()).or_default();
        match order.adapter {
            Some(adapter) => loaded.adapters.push(adapter),
            None => *loaded = Loaded { version: order.version, adapters: Vec::new() },
        }
        self.report.effective += 1;
        self.reply(Event::Answer { vm, upstream, fenced: false, issue });
        Ok(())
    }

    fn answer(&mut self, vm: usize, upstream: &Upstream, fenced: bool, issue: u64) {
        let node = &mut self.nodes[vm];
        // The answer of a call that was given up is not heard.
        if node.issued.get(upstream) != Some(&issue) {
            return;
        }
        if fenced {
            node.tenure = None;
        }
        node.controller.on_answer(upstream, self.now);
    }

    fn fault(&mut self) {
        self.plan(500..8_000, Event::Fault);
        let vm = self.random.random_range(0..VMS);
        let span = Duration::from_millis(self.random.random_range(100..25_000));
        self.nodes[vm].frozen_until = self.now.after(span);
    }

    fn reply(&mut self, event: Event) {
        if !self.random.random_bool(0.05) {
            self.plan(1..40, event);
        }
    }

    fn plan(&mut self, span_ms: std::ops::Range<u64>, event: Event) {
        let micros = self.random.random_range(span_ms.start * 1_000..span_ms.end * 1_000);
        self.timeline.add(self.now.after(Duration::from_micros(micros)), event);
    }
}

/// The VM whose process runs an event.
fn actor(event: &Event) -> Option<usize> {
    match event {
        Event::Tick(vm)
        | Event::Send { vm, .. }
        | Event::Answer { vm, .. }
        | Event::State { vm, .. } => Some(*vm),
        _ => None,
    }
}
