//! The fleet, the network and the operators of a random run.

mod platform;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::check::Accepted;
use super::node::{Job, Message, Node, Sender, Ticket};
use super::service::Service;
use super::{Report, Violation};
use crate::clock::Time;
use crate::config::resource::{Key, Kind, Spec};
use crate::config::{Delta, Id, Item, Precondition, Record, Revision, Step, Write};
use crate::error;
use crate::id::Vm;
use crate::kv::{Entry, Range, Swap, Swapped};
use crate::member::{Action, TABLE_KEY};

/// Virtual time of one step.
pub(super) const STEP: Duration = Duration::from_millis(50);
/// Time after which a call to a peer has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a call to the platform has failed.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Life of a lease without renewal.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time between looks at the table of members.
const TABLE_INTERVAL: Duration = Duration::from_millis(700);
/// Time that an operator waits for acceptance.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Lines of history that a violation shows.
const HISTORY_LINES: usize = 40;

/// Fleet and faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Data centres.
    pub data_centres: usize,
    /// VMs in each.
    pub vms_per_centre: usize,
    /// Chance of a fault in each step, in thousandths.
    pub faults_per_mille: u32,
    /// Chance of a write in each step, in thousandths.
    pub writes_per_mille: u32,
    /// Whether the platform gives a VM list.
    pub vm_list: bool,
    /// Whether faults also come in groups that aim at what was just accepted.
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

/// Something under way.
struct Flight {
    to: usize,
    incarnation: u32,
    sender: Option<Sender>,
    message: Message,
}

/// What nodes spent.
#[derive(Default)]
pub(super) struct Meters {
    /// Bytes of frames sent and received, by node.
    pub(super) bytes: Vec<usize>,
    /// Calls to the key-value service.
    pub(super) platform_calls: u64,
}

impl Meters {
    fn add(&mut self, node: usize, bytes: usize) {
        if self.bytes.len() <= node {
            self.bytes.resize(node + 1, 0);
        }
        self.bytes[node] += bytes;
    }
}

/// The whole run.
pub(super) struct World {
    pub(super) seed: u64,
    pub(super) options: Options,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Time,
    pub(super) step: u32,
    pub(super) nodes: Vec<Node>,
    pub(super) service: Service,
    pub(super) accepted: BTreeMap<String, Accepted>,
    pub(super) denied: Vec<Vec<u8>>,
    pub(super) report: Report,
    pub(super) last_fault: Time,
    pub(super) named: u32,
    pub(super) storm_at: Time,
    pub(super) meters: Meters,
    flights: BinaryHeap<Reverse<(Time, u64)>>,
    cargo: BTreeMap<u64, Flight>,
    numbers: u64,
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
            denied: Vec::new(),
            report: Report::default(),
            last_fault: Time(0),
            named: 0,
            storm_at: Time::NEVER,
            meters: Meters::default(),
            flights: BinaryHeap::new(),
            cargo: BTreeMap::new(),
            numbers: 0,
            history: Vec::new(),
        };
        for centre in 0..options.data_centres {
            for _ in 0..options.vms_per_centre {
                world.add(centre);
            }
        }
        world
    }

    /// Starts a VM with a new name.
    pub(super) fn add(&mut self, centre: usize) {
        self.named += 1;
        let vm = Vm::from(format!("vm-{}", self.named));
        self.service.listed.insert(vm.clone());
        let skew = Time(self.random.random_range(0..3_600_000_000));
        let offset = self.random.random();
        let centre = format!("dc-{centre}").as_str().into();
        self.nodes.push(Node::new(vm, centre, self.now, skew, 0, offset));
    }

    pub(super) fn run(mut self, steps: u32) -> Result<Report, Violation> {
        for step in 0..steps {
            self.step = step;
            self.advance();
            self.inject();
            self.operate();
            self.check()?;
        }
        self.check_end()?;
        self.report.steps = steps;
        Ok(self.report)
    }

    /// Runs steps without faults.
    pub(super) fn pass(&mut self, steps: u32) {
        for _ in 0..steps {
            self.advance();
            self.operate();
            self.check_changes().expect("no promise breaks without faults");
        }
    }

    pub(super) fn outage_without_end(&mut self) {
        self.service.fail(self.now, Duration::from_secs(86_400));
    }

    pub(super) fn reset_meters(&mut self) {
        self.meters = Meters::default();
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

    /// Delivers what arrives within one step, then ticks every VM.
    fn advance(&mut self) {
        let end = self.now.after(STEP);
        while let Some(Reverse((at, number))) = self.flights.peek().copied() {
            if at > end {
                break;
            }
            self.flights.pop();
            self.now = self.now.max(at);
            if let Some(flight) = self.cargo.remove(&number) {
                self.deliver(flight);
            }
        }
        self.now = end;
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    fn deliver(&mut self, flight: Flight) {
        let now = self.now;
        let node = &mut self.nodes[flight.to];
        if !node.up || node.incarnation != flight.incarnation {
            return;
        }
        if node.is_frozen(now) {
            node.waiting.push((flight.sender, flight.message));
            return;
        }
        self.receive(flight.to, flight.sender, flight.message);
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.up || node.is_frozen(self.now) {
            return;
        }
        for (sender, message) in std::mem::take(&mut node.waiting) {
            self.receive(index, sender, message);
        }
        let node = &mut self.nodes[index];
        let local = node.local(self.now);
        let actions = node.machine.tick(local);
        self.act(index, actions);
        self.seed(index);
        self.renew(index);
        self.publish_table(index);
        self.settle_jobs(index);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Heartbeat(vm, beat) => {
                    let call = Message::BeatCall { beat };
                    self.call(index, &vm, call, Message::BeatFailed { to: vm.clone() });
                }
                Action::Push(vm, delta) => {
                    let asked = self.nodes[index].local(self.now);
                    let call = Message::PushCall { delta, asked };
                    self.call(index, &vm, call, Message::PushFailed { to: vm.clone() });
                }
                Action::Fetch(vm) => {
                    let version = self.nodes[index].machine.cache().version();
                    let call = Message::FetchCall { version };
                    self.call(index, &vm, call, Message::BeatFailed { to: vm.clone() });
                }
                Action::Confirm => self.confirm(index),
            }
        }
    }

    /// Takes in a message at a VM that runs.
    fn receive(&mut self, index: usize, sender: Option<Sender>, message: Message) {
        match sender {
            Some(sender) => self.receive_peer(index, &sender, message),
            None => self.receive_own(index, message),
        }
    }

    /// Takes in what a peer sent.
    fn receive_peer(&mut self, index: usize, from: &Sender, message: Message) {
        let now = self.nodes[index].local(self.now);
        let machine = &mut self.nodes[index].machine;
        match message {
            Message::BeatCall { beat } => {
                let (beat, actions) = machine.on_heartbeat_request(now, &from.vm, &beat);
                self.act(index, actions);
                self.answer(index, from, Message::BeatAnswer { beat });
            }
            Message::BeatAnswer { beat } => {
                let actions = machine.on_heartbeat(now, &from.vm, &beat);
                self.act(index, actions);
            }
            Message::FetchCall { version } => {
                let delta = machine.delta_since(version);
                self.answer(index, from, Message::FetchAnswer { delta });
            }
            Message::FetchAnswer { delta } => {
                machine.apply(delta);
            }
            Message::PushCall { delta, asked } => {
                machine.apply(delta);
                let version = machine.cache().version();
                self.answer(index, from, Message::PushAnswer { version, asked });
            }
            Message::PushAnswer { version, asked } => {
                machine.on_pushed(&from.vm, version, asked);
            }
            _ => unreachable!("peers send nothing else"),
        }
    }

    /// Takes in what the platform answered, and failed calls.
    fn receive_own(&mut self, index: usize, message: Message) {
        match message {
            Message::BeatFailed { to } => self.nodes[index].machine.on_heartbeat_failed(&to),
            Message::PushFailed { to } => self.nodes[index].machine.on_push_failed(&to),
            Message::Confirmed { asked, version } => self.confirmed(index, asked, version),
            Message::Range { range } => self.catch_up(index, range),
            Message::Swapped { ticket, reply } => self.swapped(index, ticket, reply),
            _ => unreachable!("only peers send these"),
        }
    }

    // The network.

    fn send(&mut self, to: usize, delay: Duration, message: Message) {
        self.carry(to, delay, None, message);
    }

    fn carry(&mut self, to: usize, delay: Duration, sender: Option<Sender>, message: Message) {
        self.numbers += 1;
        if let Some(sender) = &sender {
            let bytes = message.wire_bytes(self.numbers);
            self.meters.add(sender.index, bytes);
            self.meters.add(to, bytes);
        }
        let incarnation = self.nodes[to].incarnation;
        self.flights.push(Reverse((self.now.after(delay), self.numbers)));
        self.cargo.insert(self.numbers, Flight { to, incarnation, sender, message });
    }

    fn delay(&mut self) -> Duration {
        // Now and then a message is held up for seconds.
        let slow = self.random.random_ratio(1, 400);
        let millis = if slow { 1..6_000 } else { 1..4 };
        Duration::from_millis(self.random.random_range(millis))
    }

    fn call(&mut self, from: usize, to: &Vm, message: Message, failed: Message) {
        let target = self.nodes.iter().position(|node| node.vm == *to);
        let reached = target.filter(|target| {
            self.nodes[*target].up && self.nodes[*target].side == self.nodes[from].side
        });
        match reached {
            Some(target) => {
                let delay = self.delay();
                let sender = self.nodes[from].sender(from);
                self.carry(target, delay, Some(sender), message);
                if delay > CALL_TIMEOUT || self.nodes[target].is_frozen(self.now) {
                    self.send(from, CALL_TIMEOUT, failed);
                }
            }
            None => self.send(from, CALL_TIMEOUT, failed),
        }
    }

    fn answer(&mut self, from: usize, to: &Sender, message: Message) {
        let target = &self.nodes[to.index];
        let same = target.incarnation == to.incarnation && target.side == self.nodes[from].side;
        if target.up && same {
            let delay = self.delay();
            let sender = self.nodes[from].sender(from);
            self.carry(to.index, delay, Some(sender), message);
        }
    }

    /// Asks any peer for the configuration where the platform can't be.
    fn seed(&mut self, index: usize) {
        let machine = &self.nodes[index].machine;
        if machine.cache().version() > 0 || machine.platform_reachable() {
            return;
        }
        let peer = self.random.random_range(0..self.nodes.len());
        let vm = self.nodes[peer].vm.clone();
        if peer != index {
            self.act(index, vec![Action::Fetch(vm)]);
        }
    }

    // The platform.

    /// How long a call to the platform takes; none when it isn't reached.
    fn platform_delay(&mut self, index: usize) -> Option<Duration> {
        self.meters.platform_calls += 1;
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
