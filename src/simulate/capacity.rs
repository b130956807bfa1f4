//! Simulates slot leases: all VMs together never run more requests at an
//! upstream than its capacity, through partitions and owner changes.
//!
//! Requests that keep running after their VM was partitioned or restarted are
//! not modelled: they cannot be recalled, and the leases only prevent further
//! requests from starting beside them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Timeline, Violation};
use crate::admission::capacity::{Demand, Lessee, Owner};
use crate::clock::Time;
use crate::id::{Upstream, Vm};

/// Number of VMs.
const VMS: u32 = 5;
/// Slots of the single upstream.
const CAPACITY: u32 = 8;
/// Minimum interval between lease requests to the owner, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 200;
/// Maximum message delay in milliseconds, including the notice of an owner
/// change.
const MAX_DELAY_MS: u64 = 250;

/// Time after which a VM repeats an unanswered lease request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests started.
    pub started: u64,
    /// Maximum number of requests running at once.
    pub most: u32,
    /// Owner changes.
    pub owners: u64,
    /// Requests started on fallback slots.
    pub fallback: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(u32),
    Arrive,
    Finish(u32),
    Partition,
    ChangeOwner,
    LearnOwner { vm: u32, owner: u32, election: u64 },
    LeaseRequest { from: u32, to: u32, want: Demand, requested_at: Time },
    LeaseReply { from: u32, to: u32, count: u32, requested_at: Time },
}

struct Node {
    lessee: Lessee,
    owner: Option<Owner>,
    known_owner: u32,
    election: u64,
    requested_at: Time,
    running: u32,
    waiting: u32,
    partitioned_until: Time,
}

struct World {
    random: ChaCha8Rng,
    now: Time,
    timeline: Timeline<Event>,
    nodes: Vec<Node>,
    report: Report,
}

/// Runs `steps` events with a generator seeded by `seed`.
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
        for event in [Event::Arrive, Event::Partition, Event::ChangeOwner] {
            world.timeline.add(now, event);
        }
        world
    }

    fn step(&mut self) -> Result<(), String> {
        let Some((now, event)) = self.timeline.pop() else { return Ok(()) };
        self.now = now;
        match event {
            Event::Tick(index) => self.tick(index),
            Event::Arrive => return self.handle_arrival(),
            Event::Finish(index) => return self.finish(index),
            Event::Partition => self.partition(),
            Event::ChangeOwner => self.change_owner(),
            Event::LearnOwner { vm, owner, election } => self.learn_owner(vm, owner, election),
            Event::LeaseRequest { from, to, want, requested_at } => {
                self.grant_lease(from, to, want, requested_at)
            }
            Event::LeaseReply { from, to, count, requested_at } => {
                let node = &mut self.nodes[to as usize];
                if node.requested_at == requested_at {
                    node.requested_at = Time(0);
                }
                if node.known_owner == from {
                    node.lessee.receive(&upstream(), count, requested_at);
                }
                return self.start(to);
            }
        }
        Ok(())
    }

    fn tick(&mut self, index: u32) {
        self.schedule(REQUEST_INTERVAL_MS..REQUEST_INTERVAL_MS + 50, Event::Tick(index));
        let now = self.now;
        let node = &mut self.nodes[index as usize];
        if !node.requested_at.after(REQUEST_TIMEOUT).passed(now) {
            return;
        }
        node.requested_at = now;
        let need = node.running + node.waiting;
        let want = need + 1;
        let held = node.lessee.request(&upstream(), want, now);
        let want =
            Demand { wanted: want, needed: need, running: node.running, held, sequence: now.0 };
        let to = node.known_owner;
        self.send(index, to, Event::LeaseRequest { from: index, to, want, requested_at: now });
    }

    fn grant_lease(&mut self, from: u32, to: u32, want: Demand, requested_at: Time) {
        let now = self.now;
        let Some(owner) = &mut self.nodes[to as usize].owner else { return };
        let count = owner.lease(&vm(from), want, now);
        self.send(to, from, Event::LeaseReply { from: to, to: from, count, requested_at });
    }

    fn handle_arrival(&mut self) -> Result<(), String> {
        self.schedule(0..30, Event::Arrive);
        let index = self.random.random_range(0..VMS);
        let node = &mut self.nodes[index as usize];
        node.waiting = (node.waiting + 1).min(CAPACITY);
        self.start(index)
    }

    fn finish(&mut self, index: u32) -> Result<(), String> {
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
            self.schedule(5..900, Event::Finish(index));
            let sum = self.nodes.iter().map(|node| node.running).sum();
            self.report.most = self.report.most.max(sum);
            if sum > CAPACITY {
                return Err(format!(
                    "{sum} requests run at once, capacity is {CAPACITY}, at {now:?}"
                ));
            }
        }
    }

    fn partition(&mut self) {
        self.schedule(0..6_000, Event::Partition);
        let index = self.random.random_range(0..VMS) as usize;
        let span = Duration::from_millis(self.random.random_range(100..9_000));
        self.nodes[index].partitioned_until = self.now.after(span);
    }

    fn change_owner(&mut self) {
        self.schedule(2_000..20_000, Event::ChangeOwner);
        let owner = self.random.random_range(0..VMS);
        self.report.owners += 1;
        let election = self.report.owners;
        for vm in 0..VMS {
            self.schedule(0..MAX_DELAY_MS, Event::LearnOwner { vm, owner, election });
        }
    }

    fn learn_owner(&mut self, vm: u32, owner: u32, election: u64) {
        let now = self.now;
        let node = &mut self.nodes[vm as usize];
        if election < node.election {
            return;
        }
        node.election = election;
        node.known_owner = owner;
        if owner != vm {
            node.owner = None;
        } else if node.owner.is_none() {
            let mut new_owner = Owner::new(now);
            new_owner.configure(CAPACITY, fallback());
            node.owner = Some(new_owner);
        }
    }

    fn send(&mut self, from: u32, to: u32, event: Event) {
        let connected = |index: u32| self.nodes[index as usize].partitioned_until.passed(self.now);
        let lost = self.random.random_bool(0.03);
        if from == to || (connected(from) && connected(to) && !lost) {
            self.schedule(0..MAX_DELAY_MS, event);
        }
    }

    fn schedule(&mut self, span_ms: std::ops::Range<u64>, event: Event) {
        let micros = self.random.random_range(span_ms.start * 1_000..span_ms.end * 1_000);
        self.timeline.add(self.now.after(Duration::from_micros(micros)), event);
    }
}

impl Node {
    fn new(now: Time) -> Self {
        let mut lessee = Lessee::default();
        lessee.configure([(upstream(), CAPACITY / VMS)].into(), now);
        let partitioned_until = Time(0);
        Self {
            lessee,
            owner: None,
            known_owner: 0,
            election: 0,
            requested_at: Time(0),
            running: 0,
            waiting: 0,
            partitioned_until,
        }
    }
}
