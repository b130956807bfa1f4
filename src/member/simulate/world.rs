//! The simulated fleet, network and operators.

mod platform;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::check::Accepted;
use super::node::{Message, Node, Operation, Purpose, Sender};
use super::service::Service;
use super::{Report, Violation};
use crate::clock::Time;
use crate::config::resource::{Key, Kind, Spec};
use crate::config::{Delta, Id, Item, Precondition, Record, Revision, Step, Write};
use crate::error;
use crate::id::Vm;
use crate::kv::{Entry, Range, Swap, Swapped};
use crate::member::{Action, TABLE_KEY};

/// Virtual time per step.
pub(super) const STEP: Duration = Duration::from_millis(50);
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time until a lease expires without renewal.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval between lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between updates of the member table.
const TABLE_INTERVAL: Duration = Duration::from_millis(700);
/// Time that an operator waits for a stored write to be accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of history lines kept for a violation.
const HISTORY_LINES: usize = 40;

/// Fleet size and fault rates of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of VMs in each data centre.
    pub vms_per_centre: usize,
    /// Probability of a fault in each step, in thousandths.
    pub faults_per_mille: u32,
    /// Probability of a write in each step, in thousandths.
    pub writes_per_mille: u32,
    /// Whether the platform provides a VM list.
    pub vm_list: bool,
    /// Whether to inject sequences of faults that could undo a recently
    /// accepted change.
    pub correlated_faults: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            data_centres: 3,
            vms_per_centre: 3,
            faults_per_mille: 12,
            writes_per_mille: 60,
            vm_list: true,
            correlated_faults: true,
        }
    }
}

/// A message in flight.
struct Delivery {
    to: usize,
    incarnation: u32,
    sender: Option<Sender>,
    message: Message,
}

/// Network and platform usage.
#[derive(Default)]
pub(super) struct Usage {
    /// Bytes of frames sent and received, by node index.
    pub(super) bytes: Vec<usize>,
    /// Calls to the key-value service.
    pub(super) platform_calls: u64,
}

impl Usage {
    fn add(&mut self, node: usize, bytes: usize) {
        if self.bytes.len() <= node {
            self.bytes.resize(node + 1, 0);
        }
        self.bytes[node] += bytes;
    }
}

/// State of a simulation run.
pub(super) struct World {
    pub(super) seed: u64,
    pub(super) options: Options,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Time,
    pub(super) step: u32,
    pub(super) nodes: Vec<Node>,
    pub(super) service: Service,
    pub(super) accepted: BTreeMap<String, Accepted>,
    pub(super) refused_values: Vec<Vec<u8>>,
    pub(super) report: Report,
    pub(super) last_fault_at: Time,
    pub(super) vms_created: u32,
    pub(super) storm_ends_at: Time,
    pub(super) usage: Usage,
    delivery_queue: BinaryHeap<Reverse<(Time, u64)>>,
    in_flight: BTreeMap<u64, Delivery>,
    last_number: u64,
    history: Vec<String>,
}

impl World {
    pub(super) fn new(seed: u64, options: Options) -> Self {
        let mut world = Self {
            seed,
            options,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_millis(10_000),
            step: 0,
            nodes: Vec::new(),
            service: Service::default(),
            accepted: BTreeMap::new(),
            refused_values: Vec::new(),
            report: Report::default(),
            last_fault_at: Time(0),
            vms_created: 0,
            storm_ends_at: Time::NEVER,
            usage: Usage::default(),
            delivery_queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            last_number: 0,
            history: Vec::new(),
        };
        for data_centre in 0..options.data_centres {
            for _ in 0..options.vms_per_centre {
                world.add_vm(data_centre);
            }
        }
        world
    }

    /// Starts a VM under a new name.
    pub(super) fn add_vm(&mut self, data_centre: usize) {
        self.vms_created += 1;
        let vm = Vm::from(format!("vm-{}", self.vms_created));
        self.service.listed.insert(vm.clone());
        let skew = Time(self.random.random_range(0..3_600_000_000));
        let offset = self.random.random();
        let data_centre = format!("dc-{data_centre}").as_str().into();
        self.nodes.push(Node::new(vm, data_centre, self.now, skew, 0, offset));
    }

    pub(super) fn run(mut self, steps: u32) -> Result<Report, Violation> {
        for step in 0..steps {
            self.step = step;
            self.advance();
            self.inject_faults();
            self.write_randomly();
            self.check()?;
        }
        self.check_end()?;
        self.report.steps = steps;
        Ok(self.report)
    }

    /// Runs steps without injecting faults.
    pub(super) fn run_without_faults(&mut self, steps: u32) {
        for _ in 0..steps {
            self.advance();
            self.write_randomly();
            self.check_propagation().expect("guarantees hold without faults");
        }
    }

    pub(super) fn start_permanent_outage(&mut self) {
        self.service.start_outage(self.now, Duration::from_secs(86_400));
    }

    pub(super) fn reset_usage(&mut self) {
        self.usage = Usage::default();
        self.report = Report::default();
    }

    pub(super) fn log(&mut self, line: String) {
        if self.history.len() >= HISTORY_LINES {
            self.history.remove(0);
        }
        self.history.push(format!("{:>8} ms {line}", self.now.as_millis()));
    }

    pub(super) fn violation(&self, detail: String) -> Violation {
        let history = self.history.clone();
        Violation { seed: self.seed, step: self.step, detail, history }
    }

    /// Delivers the messages due within one step, then ticks every VM.
    fn advance(&mut self) {
        let end = self.now.after(STEP);
        while let Some(Reverse((at, number))) = self.delivery_queue.peek().copied() {
            if at > end {
                break;
            }
            self.delivery_queue.pop();
            self.now = self.now.max(at);
            if let Some(delivery) = self.in_flight.remove(&number) {
                self.deliver(delivery);
            }
        }
        self.now = end;
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        let node = &mut self.nodes[delivery.to];
        if !node.up || node.incarnation != delivery.incarnation {
            return;
        }
        if node.is_paused(now) {
            node.deferred.push((delivery.sender, delivery.message));
            return;
        }
        self.receive(delivery.to, delivery.sender, delivery.message);
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.up || node.is_paused(self.now) {
            return;
        }
        for (sender, message) in std::mem::take(&mut node.deferred) {
            self.receive(index, sender, message);
        }
        let node = &mut self.nodes[index];
        let local_time = node.local_time(self.now);
        let actions = node.machine.tick(local_time);
        self.perform(index, actions);
        self.fetch_from_peer(index);
        self.renew_lease(index);
        self.publish_table(index);
        self.finish_writes(index);
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Heartbeat(vm, heartbeat) => {
                    let call = Message::HeartbeatRequest { heartbeat };
                    self.call(index, &vm, call, Message::HeartbeatFailed { to: vm.clone() });
                }
                Action::Push(vm, delta) => {
                    let requested_at = self.nodes[index].local_time(self.now);
                    let call = Message::PushRequest { delta, requested_at };
                    self.call(index, &vm, call, Message::PushFailed { to: vm.clone() });
                }
                Action::Fetch(vm) => {
                    let version = self.nodes[index].machine.cache().version();
                    let call = Message::FetchRequest { version };
                    self.call(index, &vm, call, Message::HeartbeatFailed { to: vm.clone() });
                }
                Action::Confirm => self.request_confirmation(index),
            }
        }
    }

    /// Handles a message on a running VM.
    fn receive(&mut self, index: usize, sender: Option<Sender>, message: Message) {
        match sender {
            Some(sender) => self.receive_peer(index, &sender, message),
            None => self.receive_local(index, message),
        }
    }

    /// Handles a message from a peer.
    fn receive_peer(&mut self, index: usize, from: &Sender, message: Message) {
        let now = self.nodes[index].local_time(self.now);
        let machine = &mut self.nodes[index].machine;
        match message {
            Message::HeartbeatRequest { heartbeat } => {
                let (heartbeat, actions) = machine.on_heartbeat_request(now, &from.vm, &heartbeat);
                self.perform(index, actions);
                self.answer(index, from, Message::HeartbeatReply { heartbeat });
            }
            Message::HeartbeatReply { heartbeat } => {
                let actions = machine.on_heartbeat(now, &from.vm, &heartbeat);
                self.perform(index, actions);
            }
            Message::FetchRequest { version } => {
                let delta = machine.delta_since(version);
                self.answer(index, from, Message::FetchReply { delta });
            }
            Message::FetchReply { delta } => {
                machine.apply(delta);
            }
            Message::PushRequest { delta, requested_at } => {
                machine.apply(delta);
                let version = machine.cache().version();
                self.answer(index, from, Message::PushReply { version, requested_at });
            }
            Message::PushReply { version, requested_at } => {
                machine.on_pushed(&from.vm, version, requested_at);
            }
            _ => unreachable!("not a message between peers"),
        }
    }

    /// Handles replies from the platform and failed calls.
    fn receive_local(&mut self, index: usize, message: Message) {
        match message {
            Message::HeartbeatFailed { to } => self.nodes[index].machine.on_heartbeat_failed(&to),
            Message::PushFailed { to } => self.nodes[index].machine.on_push_failed(&to),
            Message::Confirmed { requested_at, version } => {
                self.on_confirm_reply(index, requested_at, version)
            }
            Message::Range { range } => self.apply_range(index, range),
            Message::Swapped { purpose, reply } => self.on_swap_reply(index, purpose, reply),
            _ => unreachable!("a message between peers has a sender"),
        }
    }

    // Network

    fn send(&mut self, to: usize, delay: Duration, message: Message) {
        self.enqueue(to, delay, None, message);
    }

    fn enqueue(&mut self, to: usize, delay: Duration, sender: Option<Sender>, message: Message) {
        self.last_number += 1;
        if let Some(sender) = &sender {
            let bytes = message.wire_bytes(self.last_number);
            self.usage.add(sender.index, bytes);
            self.usage.add(to, bytes);
        }
        let incarnation = self.nodes[to].incarnation;
        self.delivery_queue.push(Reverse((self.now.after(delay), self.last_number)));
        self.in_flight.insert(self.last_number, Delivery { to, incarnation, sender, message });
    }

    fn delay(&mut self) -> Duration {
        // A small fraction of messages is delayed by up to six seconds.
        let slow = self.random.random_ratio(1, 400);
        let millis = if slow { 1..6_000 } else { 1..4 };
        Duration::from_millis(self.random.random_range(millis))
    }

    fn call(&mut self, from: usize, to: &Vm, message: Message, failed: Message) {
        let target = self.nodes.iter().position(|node| node.vm == *to);
        let reached = target.filter(|target| {
            self.nodes[*target].up && self.nodes[*target].partition == self.nodes[from].partition
        });
        match reached {
            Some(target) => {
                let delay = self.delay();
                let sender = self.nodes[from].sender(from);
                self.enqueue(target, delay, Some(sender), message);
                if delay > CALL_TIMEOUT || self.nodes[target].is_paused(self.now) {
                    self.send(from, CALL_TIMEOUT, failed);
                }
            }
            None => self.send(from, CALL_TIMEOUT, failed),
        }
    }

    fn answer(&mut self, from: usize, to: &Sender, message: Message) {
        let target = &self.nodes[to.index];
        let same =
            target.incarnation == to.incarnation && target.partition == self.nodes[from].partition;
        if target.up && same {
            let delay = self.delay();
            let sender = self.nodes[from].sender(from);
            self.enqueue(to.index, delay, Some(sender), message);
        }
    }

    /// Fetches the configuration from a random peer if this VM has none and the
    /// platform is unreachable.
    fn fetch_from_peer(&mut self, index: usize) {
        let machine = &self.nodes[index].machine;
        if machine.cache().version() > 0 || machine.platform_reachable() {
            return;
        }
        let peer = self.random.random_range(0..self.nodes.len());
        let vm = self.nodes[peer].vm.clone();
        if peer != index {
            self.perform(index, vec![Action::Fetch(vm)]);
        }
    }

    // Platform

    /// Returns the latency of a platform call, or `None` if the platform is
    /// unreachable.
    fn platform_delay(&mut self, index: usize) -> Option<Duration> {
        self.usage.platform_calls += 1;
        if !self.nodes[index].reaches_platform || self.service.is_down(self.now) {
            return None;
        }
        let millis = if self.service.is_slow(self.now) { 100..2_500 } else { 1..5 };
        Some(Duration::from_millis(self.random.random_range(millis)))
    }
}

fn item(entry: Entry) -> Item {
    let live = entry.key == TABLE_KEY
        || Record::decode(&entry.value).is_some_and(|stored| stored.spec.is_some());
    let value = live.then(|| entry.value.into());
    Item { key: entry.key, revision: Revision { version: entry.version, value } }
}
