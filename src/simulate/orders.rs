//! Simulates orders to upstreams: an order from an earlier lease holder never
//! takes effect after one from a later holder, whether or not the upstream
//! checks fencing tokens.

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

/// Number of VMs that compete for the lease.
const VMS: usize = 3;
/// Number of upstreams; every second one checks fencing tokens.
const UPSTREAMS: usize = 4;
/// Minimum interval between controller rounds of a VM, in milliseconds.
const TICK_INTERVAL_MS: u64 = 400;

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Orders that took effect.
    pub effective: u64,
    /// Orders that an upstream rejected because of a stale fencing token.
    pub fenced: u64,
    /// Number of times the lease was acquired.
    pub holders: u64,
    /// Orders not sent because the sender no longer held a valid lease.
    pub withheld: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Fault,
    PublishVersion,
    SendOrder { vm: usize, order: Order },
    DeliverOrder { vm: usize, fencing_token: u64, order_seq: u64, order: Order },
    OrderReply { vm: usize, upstream: Upstream, rejected_as_stale: bool, order_seq: u64 },
    ReadState { vm: usize, upstream: Upstream, requested_at: Time },
    StateReply { vm: usize, upstream: Upstream, observed: Observed, requested_at: Time },
}

#[derive(Clone, Debug, Default)]
struct UpstreamState {
    observed: Observed,
    fencing_token: u64,
    last_applied: (u64, u64),
}

struct Node {
    controller: Controller,
    leadership: Option<Leadership>,
    version: u64,
    paused_until: Time,
    pending_orders: BTreeMap<Upstream, u64>,
}

struct Lease {
    holder: usize,
    expires_at: Time,
}

struct World {
    random: ChaCha8Rng,
    now: Time,
    timeline: Timeline<Event>,
    nodes: Vec<Node>,
    upstream_states: BTreeMap<Upstream, UpstreamState>,
    lease: Option<Lease>,
    fencing_token: u64,
    last_order_seq: u64,
    version: u64,
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
            leadership: None,
            version: 0,
            paused_until: Time(0),
            pending_orders: BTreeMap::new(),
        };
        let mut world = Self {
            random,
            now,
            timeline: Timeline::default(),
            nodes: (0..VMS).map(|_| node()).collect(),
            upstream_states: upstreams().map(|name| (name, UpstreamState::default())).collect(),
            lease: None,
            fencing_token: 0,
            last_order_seq: 0,
            version: 0,
            report: Report::default(),
        };
        (0..VMS).for_each(|vm| world.schedule(0..TICK_INTERVAL_MS, Event::Tick(vm)));
        world.schedule(0..1_000, Event::Fault);
        world.schedule(0..1_000, Event::PublishVersion);
        world
    }

    fn step(&mut self) -> Result<(), String> {
        let Some((now, event)) = self.timeline.pop() else { return Ok(()) };
        self.now = now;
        if let Some(vm) = acting_vm(&event).filter(|vm| !self.nodes[*vm].paused_until.passed(now)) {
            // A paused process handles its events when it resumes.
            self.timeline.add(self.nodes[vm].paused_until, event);
            return Ok(());
        }
        match event {
            Event::Tick(vm) => self.tick(vm),
            Event::Fault => self.fault(),
            Event::PublishVersion => {
                self.version += 1;
                self.schedule(500..6_000, Event::PublishVersion);
            }
            Event::SendOrder { vm, order } => self.send(vm, order),
            Event::DeliverOrder { vm, fencing_token, order_seq, order } => {
                return self.deliver_order(vm, fencing_token, order_seq, order);
            }
            Event::OrderReply { vm, upstream, rejected_as_stale, order_seq } => {
                self.handle_reply(vm, &upstream, rejected_as_stale, order_seq);
            }
            Event::ReadState { vm, upstream, requested_at } => {
                let observed = self.upstream_states[&upstream].observed.clone();
                self.reply(Event::StateReply { vm, upstream, observed, requested_at });
            }
            Event::StateReply { vm, upstream, observed, requested_at } => {
                self.nodes[vm].controller.on_state(&upstream, observed, requested_at);
            }
        }
        Ok(())
    }

    fn tick(&mut self, vm: usize) {
        self.schedule(TICK_INTERVAL_MS..2 * TICK_INTERVAL_MS, Event::Tick(vm));
        self.renew_lease(vm);
        let (now, newest) = (self.now, self.version);
        let refreshes = self.random.random_bool(0.5);
        let node = &mut self.nodes[vm];
        if refreshes {
            node.version = newest;
        }
        if !node.leadership.is_some_and(|leadership| leadership.is_current(now)) {
            return;
        }
        node.controller.configure(target(node.version), upstreams());
        for step in node.controller.steps(now) {
            match step {
                Step::Read(upstream) => {
                    self.reply(Event::ReadState { vm, upstream, requested_at: now });
                }
                // The process may be paused between the decision and the send.
                Step::Send(order) => self.schedule(0..50, Event::SendOrder { vm, order }),
            }
        }
    }

    fn renew_lease(&mut self, vm: usize) {
        let now = self.now;
        if self.lease.as_ref().is_some_and(|lease| lease.expires_at.passed(now)) {
            self.lease = None;
        }
        if self.random.random_bool(0.2) {
            return;
        }
        let expires_at = now.after(LEASE_TTL);
        match &mut self.lease {
            Some(lease) if lease.holder == vm => {
                lease.expires_at = expires_at;
                if let Some(leadership) = &mut self.nodes[vm].leadership {
                    leadership.renew(now);
                }
            }
            Some(_) => self.nodes[vm].leadership = None,
            None => {
                self.lease = Some(Lease { holder: vm, expires_at });
                self.fencing_token += 1;
                self.report.holders += 1;
                self.nodes[vm].leadership = Some(Leadership::new(self.fencing_token, now, now));
            }
        }
    }

    fn send(&mut self, vm: usize, order: Order) {
        let now = self.now;
        let node = &mut self.nodes[vm];
        let fenced = is_fenced(&order.upstream);
        let Some(leadership) =
            node.leadership.filter(|leadership| leadership.may_send(fenced, now))
        else {
            self.report.withheld += 1;
            return;
        };
        if !node.controller.begin_order(&order.upstream, now) {
            return;
        }
        self.last_order_seq += 1;
        let order_seq = self.last_order_seq;
        node.pending_orders.insert(order.upstream.clone(), order_seq);
        if self.random.random_bool(0.1) {
            return;
        }
        let max_delay_ms =
            if self.random.random_bool(0.3) { ORDER_TIMEOUT.as_millis() as u64 } else { 20 };
        self.schedule(
            1..max_delay_ms,
            Event::DeliverOrder { vm, fencing_token: leadership.fencing_token(), order_seq, order },
        );
    }

    fn deliver_order(
        &mut self,
        vm: usize,
        fencing_token: u64,
        order_seq: u64,
        order: Order,
    ) -> Result<(), String> {
        let upstream = order.upstream.clone();
        let Some(upstream_state) = self.upstream_states.get_mut(&upstream) else { return Ok(()) };
        if is_fenced(&upstream) && fencing_token < upstream_state.fencing_token {
            self.report.fenced += 1;
            self.reply(Event::OrderReply { vm, upstream, rejected_as_stale: true, order_seq });
            return Ok(());
        }
        upstream_state.fencing_token = upstream_state.fencing_token.max(fencing_token);
        if (fencing_token, order_seq) < upstream_state.last_applied {
            let (last, now) = (upstream_state.last_applied, self.now.as_millis());
            return Err(format!(
                "{upstream}: {:?} took effect after {last:?} at {now} ms",
                (fencing_token, order_seq)
            ));
        }
        upstream_state.last_applied = (fencing_token, order_seq);
        let loaded = upstream_state.observed.models.entry("notes".into()).or_default();
        match order.adapter {
            Some(adapter) => loaded.adapters.push(adapter),
            None => *loaded = Loaded { version: order.version, adapters: Vec::new() },
        }
        self.report.effective += 1;
        self.reply(Event::OrderReply { vm, upstream, rejected_as_stale: false, order_seq });
        Ok(())
    }

    fn handle_reply(
        &mut self,
        vm: usize,
        upstream: &Upstream,
        rejected_as_stale: bool,
        order_seq: u64,
    ) {
        let node = &mut self.nodes[vm];
        // Replies to superseded orders are ignored.
        if node.pending_orders.get(upstream) != Some(&order_seq) {
            return;
        }
        if rejected_as_stale {
            node.leadership = None;
        }
        node.controller.on_answer(upstream, self.now);
    }

    fn fault(&mut self) {
        self.schedule(500..8_000, Event::Fault);
        let vm = self.random.random_range(0..VMS);
        let span = Duration::from_millis(self.random.random_range(100..25_000));
        self.nodes[vm].paused_until = self.now.after(span);
    }

    fn reply(&mut self, event: Event) {
        if !self.random.random_bool(0.05) {
            self.schedule(1..40, event);
        }
    }

    fn schedule(&mut self, span_ms: std::ops::Range<u64>, event: Event) {
        let micros = self.random.random_range(span_ms.start * 1_000..span_ms.end * 1_000);
        self.timeline.add(self.now.after(Duration::from_micros(micros)), event);
    }
}

/// Returns the VM whose process handles an event, if any.
fn acting_vm(event: &Event) -> Option<usize> {
    match event {
        Event::Tick(vm)
        | Event::SendOrder { vm, .. }
        | Event::OrderReply { vm, .. }
        | Event::StateReply { vm, .. } => Some(*vm),
        _ => None,
    }
}
