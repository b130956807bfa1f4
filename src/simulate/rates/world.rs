//! The simulated VMs, the platform's key-value service and the network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::Report;
use crate::admission::home;
use crate::admission::share::{self, Denial, Holder, Publisher, Table, quota};
use crate::clock::Time;
use crate::config::resource;
use crate::id::{Organisation, Vm};
use crate::simulate::{Conformance, Timeline};
use crate::view::{Member, Role, State, View};

/// Number of entry VMs.
const VMS: u16 = 5;
/// Minimum interval at which each VM requests confirmations.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Mean intervals between faults; each run draws one of them.
const FAULT_INTERVALS: [Duration; 3] =
    [Duration::from_millis(1_500), Duration::from_secs(4), Duration::from_secs(12)];
/// Name, rate in requests per second and burst of each organisation.
const ORGANISATIONS: [(&str, f64, u32); 3] =
    [("small", 2.0, 3), ("middle", 8.0, 10), ("large", 25.0, 30)];
/// Rate per home VM, chosen so that the organisations have one, two and four
/// holders.
const RATE_PER_HOME: f64 = 7.0;
/// Average load of each organisation as a multiple of its rate.
const LOAD_FACTOR: f64 = 5.0;
/// Load within a train of requests as a multiple of the rate.
const TRAIN_LOAD_FACTOR: f64 = 40.0;
/// Mean length of a train, as a multiple of the organisation's burst.
const TRAIN_BURSTS: f64 = 3.0;

#[derive(Clone, Debug)]
enum Event {
    Request(usize),
    Tick(Vm),
    Fault,
    Refund(usize, Vm, u64),
    Message { to: Vm, incarnation: u64, message: Message },
    Platform { from: Vm, incarnation: u64, call: Call },
}

#[derive(Clone, Debug)]
enum Message {
    ReportRequest {
        from: Vm,
        sender_incarnation: u64,
        table: Arc<Table>,
        requested_at: Time,
    },
    ReportReply {
        from: Vm,
        report: share::Report,
        table: Option<Arc<Table>>,
        requested_at: Time,
    },
    TableReply {
        table: Arc<Table>,
        requested_at: Time,
    },
    LoanRequest {
        from: Vm,
        sender_incarnation: u64,
        request: u64,
        organisation: Organisation,
        want: u64,
    },
    LoanReply {
        from: Vm,
        request: u64,
        organisation: Organisation,
        count: u64,
        next: Time,
    },
}

#[derive(Clone, Debug)]
enum Call {
    ReadTable { requested_at: Time },
    SwapTable { expected: (u64, bool), table: Arc<Table> },
}

struct Node {
    holder: Holder,
    publisher: Publisher,
    view: Arc<View>,
    paused_until: Time,
    partitioned_until: Time,
    platform_partitioned_until: Time,
    pending_loans: BTreeMap<u64, Time>,
}

/// State of a simulation run.
pub struct World {
    random: ChaCha8Rng,
    now: Time,
    timeline: Timeline<Event>,
    nodes: BTreeMap<Vm, Node>,
    view: Arc<View>,
    table: Arc<Table>,
    platform_down_until: Time,
    fault_interval: Duration,
    limits: Vec<(Organisation, Conformance)>,
    requests: u64,
    report: Report,
}

impl World {
    /// Creates a world in which all VMs are started.
    pub fn new(mut random: ChaCha8Rng) -> Self {
        let fault_interval = FAULT_INTERVALS[random.random_range(0..FAULT_INTERVALS.len())];
        let view = Arc::new(initial_view());
        let limits = ORGANISATIONS.iter().map(|(name, ..)| {
            let name = Organisation::from(*name);
            let limit = quota(&view.organisations[&name]);
            (name, Conformance::new(limit))
        });
        let mut world = Self {
            random,
            now: Time::from_millis(1_000),
            timeline: Timeline::default(),
            nodes: BTreeMap::new(),
            limits: limits.collect(),
            table: Arc::default(),
            platform_down_until: Time(0),
            fault_interval,
            requests: 0,
            report: Report::default(),
            view,
        };
        let vms: Vec<Vm> = world.view.members.keys().cloned().collect();
        vms.into_iter().for_each(|vm| world.start(vm, 1));
        (0..ORGANISATIONS.len()).for_each(|index| world.schedule_request(index));
        world.timeline.add(world.now.after(world.fault_interval), Event::Fault);
        world
    }

    /// Returns the counters of the run.
    pub fn finish(mut self) -> Report {
        self.report.virtual_ms = self.now.as_millis();
        self.report.settled = self.table.epoch;
        self.report
    }

    /// Handles the next event.
    ///
    /// # Errors
    /// A description of the violated invariant.
    pub fn step(&mut self) -> Result<(), String> {
        let Some((at, event)) = self.timeline.pop() else { return Ok(()) };
        self.now = at;
        match event {
            Event::Request(index) => return self.request(index),
            Event::Tick(vm) => self.tick(vm),
            Event::Fault => self.fault(),
            Event::Refund(index, vm, incarnation) => self.refund(index, &vm, incarnation),
            Event::Message { to, incarnation, message } => {
                return self.deliver(to, incarnation, message);
            }
            Event::Platform { from, incarnation, call } => self.platform(from, incarnation, call),
        }
        Ok(())
    }

    fn start(&mut self, vm: Vm, incarnation: u64) {
        let node = Node {
            holder: Holder::new(vm.clone(), incarnation),
            publisher: Publisher::default(),
            view: self.view.clone(),
            paused_until: Time(0),
            partitioned_until: Time(0),
            platform_partitioned_until: Time(0),
            pending_loans: BTreeMap::new(),
        };
        self.nodes.insert(vm.clone(), node);
        if incarnation == 1 {
            self.timeline.add(self.now, Event::Tick(vm));
        }
    }

    fn schedule_request(&mut self, index: usize) {
        // Trains use up the burst and the pauses between them refill the buckets, so that both the
        // rate and the burst limit are exercised.
        let (_, rate, burst) = ORGANISATIONS[index];
        let length = TRAIN_BURSTS * f64::from(burst);
        let pause = length / rate * (1.0 / LOAD_FACTOR - 1.0 / TRAIN_LOAD_FACTOR);
        let last = self.random.random_bool(1.0 / length);
        let mean = if last { pause } else { 1.0 / (rate * TRAIN_LOAD_FACTOR) };
        let span = Duration::from_secs_f64(mean * self.random.random_range(0.0..2.0));
        self.timeline.add(self.now.after(span), Event::Request(index));
    }

    fn request(&mut self, index: usize) -> Result<(), String> {
        self.schedule_request(index);
        let organisation = self.limits[index].0.clone();
        let homes = home::of(&self.view, &organisation);
        let all: Vec<Vm> = self.nodes.keys().cloned().collect();
        let prefer_home = self.random.random_bool(0.6) && !homes.is_empty();
        let vm =
            if prefer_home { homes.choose(&mut self.random) } else { all.choose(&mut self.random) };
        let Some(vm) = vm.cloned() else { return Ok(()) };
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&vm).filter(|node| node.paused_until.passed(now))
        else {
            return Ok(());
        };
        match node.holder.take(&organisation, now) {
            Ok(()) => self.grant(index, &vm),
            Err(Denial::Unconfirmed) => {
                self.report.unconfirmed += 1;
                Ok(())
            }
            Err(Denial::Until(_)) => {
                self.borrow(&vm, organisation);
                Ok(())
            }
        }
    }

    fn grant(&mut self, index: usize, vm: &Vm) -> Result<(), String> {
        let organisation = self.limits[index].0.clone();
        if self.random.random_bool(0.02) {
            // The request is refused at a later stage and never runs, so its token is refunded and
            // the grant is not counted.
            let hold_time = Duration::from_micros(self.random.random_range(0..30_000));
            let incarnation = self.nodes.get(vm).map_or(0, |node| node.holder.incarnation());
            self.timeline
                .add(self.now.after(hold_time), Event::Refund(index, vm.clone(), incarnation));
            return Ok(());
        }
        self.report.granted += 1;
        if self.limits[index].1.grant(self.now) {
            return Ok(());
        }
        let (now, epoch) = (self.now.as_millis(), self.table.epoch);
        Err(format!("{organisation} exceeded its rate on {vm} at {now} ms, table epoch {epoch}"))
    }

    fn refund(&mut self, index: usize, vm: &Vm, incarnation: u64) {
        let (now, organisation) = (self.now, self.limits[index].0.clone());
        let Some(node) = self.nodes.get_mut(vm) else { return };
        if node.holder.incarnation() == incarnation && node.paused_until.passed(now) {
            node.holder.refund(&organisation, now);
            self.report.given_back += 1;
        }
    }

    fn borrow(&mut self, vm: &Vm, organisation: Organisation) {
        let now = self.now;
        let request = self.requests;
        self.requests += 1;
        let Some(node) = self.nodes.get_mut(vm) else { return };
        let Some(lender) = node.holder.lender(&organisation, now) else {
            self.report.refused += 1;
            return;
        };
        node.pending_loans.insert(request, now);
        let sender_incarnation = node.holder.incarnation();
        let (from, want) = (vm.clone(), node.holder.missing(&organisation));
        let message =
            Message::LoanRequest { from, sender_incarnation, request, organisation, want };
        self.send(vm, lender, None, message);
    }

    fn tick(&mut self, vm: Vm) {
        let now = self.now;
        let jitter = self.random.random_range(0..200);
        self.timeline
            .add(now.after(TICK_INTERVAL + Duration::from_millis(jitter)), Event::Tick(vm.clone()));
        let refresh = self.random.random_bool(0.7);
        let Some(node) = self.nodes.get_mut(&vm).filter(|node| node.paused_until.passed(now))
        else {
            return;
        };
        if refresh {
            node.view = self.view.clone();
        }
        let readers: Vec<Vm> = node.view.members.keys().take(2).cloned().collect();
        let mut queries = node.holder.queries(&readers, now);
        let (incarnation, table) = (node.holder.incarnation(), node.holder.table().clone());
        let publishes = self.random.random_bool(0.5);
        if publishes && !table.settled {
            queries.peers.extend(node.publisher.missing(&table).cloned());
        }
        if queries.platform {
            self.call(&vm, incarnation, Call::ReadTable { requested_at: now });
        }
        for peer in queries.peers {
            let (from, table) = (vm.clone(), table.clone());
            let message = Message::ReportRequest {
                from,
                sender_incarnation: incarnation,
                table,
                requested_at: now,
            };
            self.send(&vm, peer, None, message);
        }
        if publishes {
            self.publish(&vm, incarnation, &table);
        }
    }

    fn publish(&mut self, vm: &Vm, incarnation: u64, table: &Arc<Table>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(vm) else { return };
        node.publisher.observe_table(table);
        let own = node.holder.report(now);
        node.publisher.observe_report(table, vm, &own, now);
        let next = if !table.settled && table.epoch > 0 {
            let may = node.publisher.may_settle(table, now);
            may.then(|| Table { settled: true, ..Table::clone(table) })
        } else {
            share::next_table(table, share::allocate_per_home(&node.view, RATE_PER_HOME))
        };
        if let Some(next) = next {
            let call = Call::SwapTable { expected: table.step(), table: Arc::new(next) };
            self.call(vm, incarnation, call);
        }
    }

    fn deliver(&mut self, to: Vm, incarnation: u64, message: Message) -> Result<(), String> {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else { return Ok(()) };
        if !node.paused_until.passed(now) {
            let at = node.paused_until;
            self.timeline.add(at, Event::Message { to, incarnation, message });
            return Ok(());
        }
        if incarnation != 0 && node.holder.incarnation() != incarnation {
            return Ok(());
        }
        match message {
            Message::ReportRequest { from, sender_incarnation, table, requested_at } => {
                let step = table.step();
                node.holder.adopt(table, now);
                let newer = Some(node.holder.table().clone()).filter(|own| own.step() > step);
                let report = node.holder.report(now);
                let answer =
                    Message::ReportReply { from: to.clone(), report, table: newer, requested_at };
                self.send(&to, from, Some(sender_incarnation), answer);
            }
            Message::ReportReply { from, report, table, requested_at } => {
                if let Some(table) = table {
                    node.holder.adopt(table, now);
                }
                node.holder.observe_report(&from, &report, requested_at, now);
                let table = node.holder.table().clone();
                node.publisher.observe_table(&table);
                node.publisher.observe_report(&table, &from, &report, now);
            }
            Message::TableReply { table, requested_at } => {
                let step = table.step();
                node.holder.adopt(table, now);
                node.holder.confirm(step, requested_at, now);
            }
            Message::LoanRequest { from, sender_incarnation, request, organisation, want } => {
                let (count, next) = node.holder.lend(&organisation, want, now);
                self.report.lent += u64::from(count > 0);
                let reply =
                    Message::LoanReply { from: to.clone(), request, organisation, count, next };
                self.send(&to, from, Some(sender_incarnation), reply);
            }
            Message::LoanReply { from, request, organisation, count, next } => {
                return self.receive_loan(to, from, request, organisation, count, next);
            }
        }
        Ok(())
    }

    fn receive_loan(
        &mut self,
        to: Vm,
        from: Vm,
        request: u64,
        organisation: Organisation,
        count: u64,
        next: Time,
    ) -> Result<(), String> {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else { return Ok(()) };
        // Duplicate replies are ignored.
        let Some(requested_at) = node.pending_loans.remove(&request) else { return Ok(()) };
        node.holder.receive(&organisation, count, requested_at, now);
        if count == 0 {
            node.holder.mark_empty(&organisation, from, Some(next), now);
        }
        if node.holder.take(&organisation, now).is_err() {
            self.report.refused += 1;
            return Ok(());
        }
        let index = self.limits.iter().position(|(name, _)| *name == organisation);
        index.map_or(Ok(()), |index| self.grant(index, &to))
    }

    fn platform(&mut self, from: Vm, incarnation: u64, call: Call) {
        if !self.platform_down_until.passed(self.now) {
            return;
        }
        match call {
            Call::SwapTable { expected, table } => {
                if expected == self.table.step() {
                    self.table = table;
                }
            }
            Call::ReadTable { requested_at } => {
                let reply = Message::TableReply { table: self.table.clone(), requested_at };
                let reachable = self.nodes.get(&from);
                if reachable.is_some_and(|node| node.platform_partitioned_until.passed(self.now)) {
                    self.post(from, incarnation, reply);
                }
            }
        }
    }

    fn call(&mut self, from: &Vm, incarnation: u64, call: Call) {
        let reachable = self.nodes.get(from);
        if reachable.is_some_and(|node| node.platform_partitioned_until.passed(self.now)) {
            let at = self.now.after(self.delay());
            self.timeline.add(at, Event::Platform { from: from.clone(), incarnation, call });
        }
    }

    fn send(&mut self, from: &Vm, to: Vm, incarnation: Option<u64>, message: Message) {
        let connected = |vm: &Vm| {
            self.nodes.get(vm).is_some_and(|node| node.partitioned_until.passed(self.now))
        };
        if connected(from) && connected(&to) {
            self.post(to, incarnation.unwrap_or(0), message);
        }
    }

    fn post(&mut self, to: Vm, incarnation: u64, message: Message) {
        let copies = match self.random.random_range(0..100) {
            0..3 => 0,
            3..5 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at = self.now.after(self.delay());
            let (to, message) = (to.clone(), message.clone());
            self.timeline.add(at, Event::Message { to, incarnation, message });
        }
    }

    fn delay(&mut self) -> Duration {
        let max_us = match self.random.random_range(0..100) {
            0..3 => 3_000_000,
            3..15 => 60_000,
            _ => 2_000,
        };
        Duration::from_micros(self.random.random_range(200..max_us))
    }

    fn fault(&mut self) {
        let span = self.fault_interval.mul_f64(self.random.random_range(0.0..2.0));
        self.timeline.add(self.now.after(span), Event::Fault);
        let vms: Vec<Vm> = self.nodes.keys().cloned().collect();
        let Some(vm) = vms.choose(&mut self.random).cloned() else { return };
        let until = self.now.after(Duration::from_millis(self.random.random_range(10..16_000)));
        let kind = self.random.random_range(0..10);
        let Some(node) = self.nodes.get_mut(&vm) else { return };
        match kind {
            0 => node.paused_until = until,
            1 => node.partitioned_until = until,
            2 => node.platform_partitioned_until = until,
            3 => (node.partitioned_until, node.platform_partitioned_until) = (until, until),
            4 => self.platform_down_until = until,
            5 => self.restart(vm),
            6 => self.toggle_leaving(&vm),
            _ => {
                // The VM is removed while its share may still be valid.
                (node.partitioned_until, node.platform_partitioned_until) = (until, until);
                self.toggle_leaving(&vm);
            }
        }
    }

    fn restart(&mut self, vm: Vm) {
        self.report.restarts += 1;
        let mut view = View::clone(&self.view);
        let Some(member) = view.members.get_mut(&vm) else { return };
        member.incarnation += 1;
        let incarnation = member.incarnation;
        self.view = Arc::new(view);
        self.start(vm, incarnation);
    }

    fn toggle_leaving(&mut self, vm: &Vm) {
        let mut view = View::clone(&self.view);
        let Some(member) = view.members.get_mut(vm) else { return };
        member.state = if member.state == State::Live { State::Leaving } else { State::Live };
        let live = view.members.values().filter(|member| member.state == State::Live).count();
        if live >= 2 {
            self.view = Arc::new(view);
        }
    }
}

fn initial_view() -> View {
    let mut view = View::default();
    for index in 0..VMS {
        let vm = Vm::from(format!("entry-{index}"));
        let member = Member {
            vm: vm.clone(),
            incarnation: 1,
            role: Role::Entry,
            data_centre: ["porto", "braga", "viana"][usize::from(index) % 3].into(),
            peer: ([127, 0, 0, 1], 7_000 + index).into(),
            caller: None,
            state: State::Live,
        };
        view.members.insert(vm, member);
    }
    for (name, rate, burst) in ORGANISATIONS {
        view.organisations.insert(name.into(), resource::Organisation { rate, burst, weight: 1 });
    }
    view
}
