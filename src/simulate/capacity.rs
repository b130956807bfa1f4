//! Random runs of leased slots: all VMs together never start more at an
//! upstream than it runs at once, through cuts, restarts and changes of owner.
//!
//! Requests that run on after their VM was cut off or restarted are left out:
//! nobody can take them back, only no further ones may start beside them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Timeline, Violation};
use crate::admission::capacity::{Demand, Lessee, Owner};
use crate::clock::Time;
use crate::id::{Upstream, Vm};

/// VMs of a run.
const VMS: u32 = 5;
/// Slots of the one upstream.
const CAPACITY: u32 = 8;
/// Pause between questions to the owner.
const TICK_MS: u64 = 200;
/// Longest delay of a message, and so of news of another owner.
const DELAY_MS: u64 = 250;

/// How long a VM waits for an answer before it asks again.
const PATIENCE: Duration = Duration::from_millis(400);

/// What a run did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that ran.
    pub started: u64,
    /// Most that ran at once.
    pub most: u32,
    /// Changes of owner.
    pub owners: u64,
    /// Requests that ran on fallback slots.
    pub fallback: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(u32),
    Arrive,
    End(u32),
    Cut,
    Elect,
    Learn { vm: u32, owner: u32, election: u64 },
    Ask { from: u32, to: u32, want: Demand, asked: Time },
    Leased { from: u32, to: u32, count: u32, asked: Time },
}

struct Node {
    lessee: Lessee,
    owner: Option<Owner>,
    believes: u32,
    election: u64,
    asked: Time,
    running: u32,
    waiting: u32,
    cut_until: Time,
}

struct World {
    random: ChaCha8Rng,
    now: Time,
    timeline: Timeline<Event>,
    nodes: Vec<Node>,
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

fn vm(index: u32) -> Vm {
    format!("entry-{index}").into()
}

fn upstream() -> Upstream {
    "engine".into()
}

fn fallback() -> BTreeMap<Vm, u32> {
    (0..VMS).map(|index| (vm(index), CAPACITY / VMS)).collect()
}

impl World {
    fn new(random: ChaCha8Rng) -> Self {
        let now = Time::from_millis(1_000);
        let nodes = (0..VMS).map(|_| Node::new(now)).collect();
        let report = Report::default();
        let mut world = Self { random, now, timeline: Timeline::default(), nodes, report };
        (0..VMS).for_each(|index| world.timeline.add(now, Event::Tick(index)));
        for event in [Event::Arrive, Event::Cut, Event::Elect] {
            world.timeline.add(now, event);
        }
        world
    }

    fn step(&mut self) -> Result<(), String> {
        let Some((now, event)) = self.timeline.pop() else { return Ok(()) };
        self.now = now;
        match event {
            Event::Tick(index) => self.tick(index),
            Event::Arrive => return self.arrive(),
            Event::End(index) => return self.end(index),
            Event::Cut => self.cut(),
            Event::Elect => self.elect(),
            Event::Learn { vm, owner, election } => self.learn(vm, owner, election),
            Event::Ask { from, to, want, asked } => self.ask(from, to, want, asked),
            Event::Leased { from, to, count, asked } => {
                let node = &mut self.nodes[to as usize];
                if node.asked == asked {
                    node.asked = Time(0);
                }
                if node.believes == from {
                    node.lessee.receive(&upstream(), count, asked);
                }
                return self.start(to);
            }
        }
        Ok(())
    }

    fn tick(&mut self, index: u32) {
        self.plan(TICK_MS..TICK_MS + 50, Event::Tick(index));
        let now = self.now;
        let node = &mut self.nodes[index as usize];
        if !node.asked.after(PATIENCE).passed(now) {
            return;
        }
        node.asked = now;
        let need = node.running + node.waiting;
        let want = need + 1;
        let held = node.lessee.request(&upstream(), want, now);
        let want =
            Demand { wanted: want, needed: need, running: node.running, held, sequence: now.0 };
        let to = node.believes;
        self.send(index, to, Event::Ask { from: index, to, want, asked: now });
    }

    fn ask(&mut self, from: u32, to: u32, want: Demand, asked: Time) {
        let now = self.now;
        let Some(owner) = &mut self.nodes[to as usize].owner else { return };
        let count = owner.lease(&vm(from), want, now);
        self.send(to, from, Event::Leased { from: to, to: from, count, asked });
    }

    fn arrive(&mut self) -> Result<(), String> {
        self.plan(0..30, Event::Arrive);
        let index = self.random.random_range(0..VMS);
        let node = &mut self.nodes[index as usize];
        node.waiting = (node.waiting + 1).min(CAPACITY);
        self.start(index)
    }

    fn end(&mut self, index: u32) -> Result<(), String> {
        self.nodes[index as usize].running -= 1;
        self.start(index)
    }

    fn start(&mut self, index: u32) -> Result<(), String> {
        let now = self.now;
        loop {
            let node = &mut self.nodes[index as usize];
            if node.waiting == 0 || node.running >= node.lessee.limit(&upstream(), now) {
                return Ok(());
            }
            node.waiting -= 1;
            node.running += 1;
            self.report.started += 1;
            self.report.fallback += u64::from(node.lessee.on_fallback(&upstream(), now));
            self.plan(5..900, Event::End(index));
            let sum = self.nodes.iter().map(|node| node.running).sum();
            self.report.most = self.report.most.max(sum);
            if sum > CAPACITY {
                return Err(format!("{sum} run at once, {CAPACITY} fit, at {now:?}"));
            }
        }
    }

    fn cut(&mut self) {
        self.plan(0..6_000, Event::Cut);
        let index = self.random.random_range(0..VMS) as usize;
        let span = Duration::from_millis(self.random.random_range(100..9_000));
        self.nodes[index].cut_until = self.now.after(span);
    }

    fn elect(&mut self) {
        self.plan(2_000..20_000, Event::Elect);
        let owner = self.random.random_range(0..VMS);
        self.report.owners += 1;
        let election = self.report.owners;
        for vm in 0..VMS {
            self.plan(0..DELAY_MS, Event::Learn { vm, owner, election });
        }
    }

    fn learn(&mut self, vm: u32, owner: u32, election: u64) {
        let now = self.now;
        let node = &mut self.nodes[vm as usize];
        if election < node.election {
            return;
        }
        node.election = election;
        node.believes = owner;
        if owner != vm {
            node.owner = None;
        } else if node.owner.is_none() {
            let mut own = Owner::new(now);
            own.configure(CAPACITY, fallback());
            node.owner = Some(own);
        }
    }

    fn send(&mut self, from: u32, to: u32, event: Event) {
        let linked = |index: u32| self.nodes[index as usize].cut_until.passed(self.now);
        let lost = self.random.random_bool(0.03);
        if from == to || (linked(from) && linked(to) && !lost) {
            self.plan(0..DELAY_MS, event);
        }
    }

    fn plan(&mut self, span_ms: std::ops::Range<u64>, event: Event) {
        let micros = self.random.random_range(span_ms.start * 1_000..span_ms.end * 1_000);
        self.timeline.add(self.now.after(Duration::from_micros(micros)), event);
    }
}

impl Node {
    fn new(now: Time) -> Self {
        let mut lessee = Lessee::default();
        lessee.configure([(upstream(), CAPACITY / VMS)].into(), now);
        let cut_until = Time(0);
        Self {
            lessee,
            owner: None,
            believes: 0,
            election: 0,
            asked: Time(0),
            running: 0,
            waiting: 0,
            cut_until,
        }
    }
}
