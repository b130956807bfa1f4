//! Simulation of a fleet of VMs before its upstreams, in virtual time: online
//! load in steps next to batch jobs.
//!
//! Every VM decides with the code of the serving path, from its own table. It
//! learns the loads of the others with a delay, as from their load reports.
//! Upstreams admit requests in order of arrival and run a fixed number of them
//! concurrently; a preempted item resumes after its last event, for the price
//! of a new prefill.
// Each test plays some of the designs.
#![allow(dead_code)]

mod load;

use std::collections::VecDeque;
use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream, Version, Vm};
use parsleybeam::serve::jobs::{Rank, interrupt_count};
use parsleybeam::serve::place::{self, BatchChoice, Contender, Criteria};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::{Key, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use load::{Design, Load, Outcome};

const STEP_MS: u64 = 5;
/// Interval at which VMs learn each other's loads.
const REPORT_MS: u64 = 10;
/// Slots of each upstream.
const SLOTS: u32 = 8;
/// Time to the first event of a request that runs.
const PREFILL_MS: u64 = 50;
/// Pause of a preempted item before it may run again.
const BACKOFF_MS: u64 = 60;
/// Time within which the first event of an online request is on time.
const TARGET_MS: u64 = 300;
/// Time within which an item is due.
const DUE_MS: u64 = 18_000;
/// Length of a time slice of `place::is_turn`.
const SLICE_MS: u64 = 25;

#[derive(Clone, Copy, Debug)]
struct Item {
    due_ms: u64,
    length_ms: u64,
    remaining_ms: u64,
    not_before_ms: u64,
}

impl Item {
    fn rank(&self, design: Design, now_ms: u64) -> Rank {
        let ends_at = match design {
            Design::Current => time(now_ms + self.remaining_ms),
            Design::Due | Design::Reserve | Design::Headroom => Time(0),
        };
        Rank::new(time(self.due_ms), ends_at)
    }
}

/// A request at an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    vm: usize,
    sent_ms: u64,
    left_ms: u64,
    item: Option<Item>,
    started: bool,
}

struct Member {
    table: Table,
    keys: Vec<Key>,
    waiting: Vec<Item>,
}

struct World {
    load: Load,
    design: Design,
    random: ChaCha8Rng,
    now_ms: u64,
    vms: Vec<Member>,
    names: Vec<Vm>,
    upstreams: Vec<VecDeque<Run>>,
    sent: u64,
    refused: u64,
    on_time: u64,
    due: u64,
    in_time: u64,
    ended: u64,
    preempted: u64,
}

fn time(ms: u64) -> Time {
    Time(0).after(Duration::from_millis(ms + 1))
}

fn registration(index: usize, draining: bool) -> Registration {
    Registration {
        upstream: Upstream::from(format!("i-{index}")),
        service: Service::from("text"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: DataCentre::from("porto"),
        version: Version::from("v1"),
        slots: SLOTS,
        draining,
        started_unix_ms: 1,
        cold_left_ms: None,
        revision: 0,
    }
}

impl World {
    fn new(load: Load, design: Design, seed: u64) -> Self {
        let all: Vec<_> = (0..load.upstreams).map(|index| registration(index, false)).collect();
        let member = || {
            let mut table = Table::default();
            table.replace(&all, None, Time(0));
            let key = |registration: &Registration| {
                let named = |entry: &parsleybeam::serve::upstream::Entry| {
                    entry.registration.upstream == registration.upstream
                };
                let found = table.iter().find(|(_, entry)| named(entry));
                found.expect("the upstream is in the table").0
            };
            let keys = all.iter().map(key).collect();
            Member { table, keys, waiting: Vec::new() }
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            vms: (0..load.vms).map(|_| member()).collect(),
            names: (0..load.vms).map(|index| Vm::from(format!("vm-{index:03}"))).collect(),
            upstreams: vec![VecDeque::new(); load.upstreams],
            load,
            design,
            sent: 0,
            refused: 0,
            on_time: 0,
            due: 0,
            in_time: 0,
            ended: 0,
            preempted: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let (mut online_due, mut jobs_due) = (0.0, 0.0);
        let (low_ms, high_ms) = self.load.step_ms;
        while self.now_ms < self.load.length_ms {
            let seconds = STEP_MS as f64 / 1e3;
            let is_low = self.now_ms % (low_ms + high_ms) < low_ms;
            let relative = if is_low { self.load.relative.0 } else { self.load.relative.1 };
            online_due += self.load.online_per_s * relative * seconds * self.random.random::<f64>();
            online_due += self.load.online_per_s * relative * seconds / 2.0;
            jobs_due += self.load.jobs_per_s * seconds;
            if self.now_ms == self.load.length_ms / 2 {
                self.drain();
            }
            self.progress();
            while online_due >= 1.0 {
                online_due -= 1.0;
                self.arrive();
            }
            while jobs_due >= 1.0 {
                jobs_due -= 1.0;
                self.submit();
            }
            let contenders: Vec<Contender> =
                (0..self.vms.len()).filter_map(|vm| self.contender(vm)).collect();
            for vm in 0..self.vms.len() {
                self.preempt(vm);
                self.start(vm, &contenders);
            }
            if self.now_ms.is_multiple_of(REPORT_MS) {
                self.report();
            }
            self.now_ms += STEP_MS;
        }
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        Outcome {
            online_on_time: share(self.on_time, self.sent),
            refused: share(self.refused, self.sent),
            items_in_time: share(self.in_time, self.due),
            preemptions: share(self.preempted, self.ended),
        }
    }

    /// Lets upstreams leave: they get nothing new.
    fn drain(&mut self) {
        let staying = self.load.upstreams - self.load.leaving;
        let all: Vec<_> =
            (0..self.load.upstreams).map(|index| registration(index, index >= staying)).collect();
        for vm in &mut self.vms {
            vm.table.replace(&all, None, time(self.now_ms));
        }
    }

    /// Advances the running requests and removes those that end.
    fn progress(&mut self) {
        for upstream in 0..self.upstreams.len() {
            for position in 0..self.upstreams[upstream].len().min(SLOTS as usize) {
                let run = &mut self.upstreams[upstream][position];
                if !run.started {
                    run.started = true;
                    let first_event_ms = self.now_ms - run.sent_ms + PREFILL_MS;
                    let is_online = run.item.is_none();
                    self.on_time += u64::from(is_online && first_event_ms <= TARGET_MS);
                }
                run.left_ms = run.left_ms.saturating_sub(STEP_MS);
            }
            let ended = |run: &Run| run.started && run.left_ms == 0;
            let done: Vec<Run> = self.upstreams[upstream].iter().copied().filter(ended).collect();
            self.upstreams[upstream].retain(|run| !ended(run));
            for run in done {
                self.release(upstream, &run);
                if let Some(item) = run.item {
                    self.ended += 1;
                    let is_counted = item.due_ms < self.load.length_ms;
                    self.in_time += u64::from(is_counted && self.now_ms <= item.due_ms);
                }
            }
        }
    }

    fn release(&mut self, upstream: usize, run: &Run) {
        let vm = &mut self.vms[run.vm];
        let entry = vm.table.get_mut(vm.keys[upstream]).expect("the upstream is in the table");
        match run.item {
            Some(_) => entry.own.batch -= 1,
            None => entry.own.online -= 1,
        }
    }

    fn send(&mut self, vm: usize, key: Key, item: Option<Item>) {
        let member = &mut self.vms[vm];
        let entry = member.table.get_mut(key).expect("the upstream is in the table");
        let left_ms = match item {
            Some(item) => {
                entry.own.batch += 1;
                item.remaining_ms + PREFILL_MS
            }
            None => {
                entry.own.online += 1;
                self.load.online_ms
            }
        };
        let upstream = member.keys.iter().position(|known| *known == key);
        let upstream = upstream.expect("the key belongs to an upstream");
        let run = Run { vm, sent_ms: self.now_ms, left_ms, item, started: false };
        self.upstreams[upstream].push_back(run);
    }

    /// One online request comes to any VM.
    fn arrive(&mut self) {
        let vm = self.random.random_range(0..self.vms.len());
        let tie_breaker = self.random.random();
        let (service, data_centre) = names();
        let criteria = Criteria {
            service: &service,
            version: None,
            data_centre: &data_centre,
            tried: &[],
            items_wait: false,
            tie_breaker,
        };
        self.sent += 1;
        let choice = place::online(&self.vms[vm].table, criteria, time(self.now_ms));
        let choice = choice.expect("an upstream is usable");
        if !choice.free && choice.expected_ms > TARGET_MS as f64 {
            self.refused += 1;
            return;
        }
        self.send(vm, choice.key, None);
    }

    /// One job comes to any VM.
    fn submit(&mut self) {
        let vm = self.random.random_range(0..self.vms.len());
        let due_ms = self.now_ms + DUE_MS;
        for _ in 0..self.load.items {
            let spread = 0.6 + 0.8 * self.random.random::<f64>();
            let remaining_ms = (self.load.item_ms as f64 * spread) as u64;
            self.due += u64::from(due_ms < self.load.length_ms);
            self.vms[vm].waiting.push(Item {
                due_ms,
                length_ms: remaining_ms,
                remaining_ms,
                not_before_ms: 0,
            });
        }
    }

    fn preempt(&mut self, vm: usize) {
        for upstream in 0..self.upstreams.len() {
            let member = &mut self.vms[vm];
            let entry = member.table.get(member.keys[upstream]).expect("the upstream is known");
            if entry.own.batch == 0 {
                continue;
            }
            let (total, before) = (entry.load().total(), entry.batch_yielding_first);
            for _ in 0..interrupt_count(total, SLOTS, before, entry.own.batch) {
                self.preempt_one(vm, upstream);
            }
        }
    }

    fn preempt_one(&mut self, vm: usize, upstream: usize) {
        let (design, now_ms) = (self.design, self.now_ms);
        let order = |run: &Run| {
            let item = run.item.expect("only items are preempted");
            match design {
                Design::Current => (Some(item.rank(design, now_ms)), run.sent_ms),
                Design::Due | Design::Reserve | Design::Headroom => (None, run.sent_ms),
            }
        };
        let own = self.upstreams[upstream].iter().enumerate();
        let own = own.filter(|(_, run)| run.vm == vm && run.item.is_some());
        let Some((position, _)) = own.max_by_key(|(_, run)| order(run)) else { return };
        let run = self.upstreams[upstream].remove(position).expect("the position is valid");
        self.release(upstream, &run);
        self.preempted += 1;
        let mut item = run.item.expect("only items are preempted");
        item.remaining_ms = item.remaining_ms.min(run.left_ms);
        item.not_before_ms = now_ms + BACKOFF_MS;
        self.vms[vm].waiting.push(item);
    }

    fn start(&mut self, vm: usize, contenders: &[Contender]) {
        let (design, now_ms) = (self.design, self.now_ms);
        let ready = |item: &Item| item.not_before_ms <= now_ms;
        let waiting = &self.vms[vm].waiting;
        if waiting.is_empty() {
            return;
        }
        let first = (0..waiting.len())
            .filter(|index| ready(&waiting[*index]))
            .min_by_key(|index| waiting[*index].rank(design, now_ms));
        let Some(first) = first else { return };
        let own = self.contender(vm).expect("an item is ready");
        let (service, data_centre) = names();
        let tie_breaker = self.random.random();
        let criteria = Criteria {
            service: &service,
            version: None,
            data_centre: &data_centre,
            tried: &[],
            items_wait: false,
            tie_breaker,
        };
        let slice = now_ms / SLICE_MS;
        let table = &self.vms[vm].table;
        let reserve = u32::from(design == Design::Reserve);
        let has_room = |number| {
            if reserve == 0 {
                return true;
            }
            let entry = table.iter().find(|(_, entry)| entry.number == number);
            entry.is_some_and(|(_, entry)| entry.free_slots() > reserve)
        };
        let turn = |number| has_room(number) && place::is_turn(&own, contenders, number, slice);
        let headroom = match design {
            Design::Due | Design::Reserve => 0,
            Design::Headroom | Design::Current => place::headroom(table, criteria.service),
        };
        let choice = place::batch(table, criteria, headroom, turn, time(now_ms));
        if let BatchChoice::Upstream(key) = choice {
            let item = self.vms[vm].waiting.remove(first);
            self.send(vm, key, Some(item));
        }
    }

    fn contender(&self, vm: usize) -> Option<Contender> {
        let ready = self.vms[vm].waiting.iter().filter(|item| item.not_before_ms <= self.now_ms);
        let late = |item: &&Item| item.rank(self.design, self.now_ms).is_late();
        let (all, in_time) = (ready.clone().count(), ready.filter(|item| !late(item)).count());
        let items = if self.design.defers_late() { in_time as u32 } else { 1 };
        (all > 0).then(|| Contender { vm: self.names[vm].clone(), items })
    }

    /// Tells all VMs the loads of the others.
    fn report(&mut self) {
        for upstream in 0..self.upstreams.len() {
            let own = |member: &Member| {
                member.table.get(member.keys[upstream]).expect("the upstream is known").own
            };
            let (mut online, mut batch, mut batch_before) = (0, 0, 0);
            for member in &self.vms {
                online += own(member).online;
                batch += own(member).batch;
            }
            for member in &mut self.vms {
                let key = member.keys[upstream];
                let entry = member.table.get_mut(key).expect("the upstream is known");
                entry.peers.online = online - entry.own.online;
                entry.peers.batch = batch - entry.own.batch;
                entry.batch_yielding_first = batch_before;
                batch_before += entry.own.batch;
            }
        }
    }
}

fn names() -> (Service, DataCentre) {
    (Service::from("text"), DataCentre::from("porto"))
}

/// Plays a load once and returns what callers got.
pub fn play(load: Load, design: Design, seed: u64) -> Outcome {
    World::new(load, design, seed).run()
}
