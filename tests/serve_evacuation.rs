//! Evacuations: no order of faults has a VM in contact with the store send to an evacuated
//! data centre after the bound, or keeps back from one that is in use again.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::DataCentre;
use parsleybeam::serve::evacuation::{Change, Evacuations};
use parsleybeam::serve::freshness::{Freshness, Terms};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(100_000_000);
const BOUND: Duration = Duration::from_millis(5_000);
const TERMS: Terms = Terms { bound: BOUND, contact: Duration::from_millis(6_000) };
/// Age of the last read up to which a VM is in contact.
const CONTACT: Duration = Duration::from_millis(4_000);
const STEP: Duration = Duration::from_millis(50);
/// Pause between two reads of the store.
const POLL: Duration = Duration::from_millis(900);
/// Interval of load reports.
const HEARTBEAT: Duration = Duration::from_millis(500);

fn zone(index: usize) -> DataCentre {
    DataCentre::from(["porto", "lund", "graz"][index])
}

fn millis(count: u64) -> Time {
    NOW.after(Duration::from_millis(count))
}

#[test]
fn record_read_learnt_and_taken_back() {
    let mut evacuations = Evacuations::default();
    let change = evacuations.record_read(&[zone(0), zone(1)], NOW);
    assert_eq!(change.learnt, [zone(0), zone(1)]);
    assert_eq!(evacuations.record_read(&[zone(0), zone(1)], millis(1)), Change::default());
    let change = evacuations.record_read(&[zone(1)], millis(2));
    assert_eq!((change.learnt.len(), change.taken_back), (0, vec![zone(0)]));
    assert!(!evacuations.contains(&zone(0)) && evacuations.contains(&zone(1)));
}

#[test]
fn record_read_older_than_the_last_ignored() {
    let mut evacuations = Evacuations::default();
    evacuations.record_read(&[zone(0)], millis(10));
    assert_eq!(evacuations.record_read(&[], millis(5)), Change::default());
    assert!(evacuations.contains(&zone(0)), "a snapshot of another VM may be older");
}

#[test]
fn record_hint_newer_than_the_last_read_only() {
    let mut evacuations = Evacuations::default();
    evacuations.record_read(&[], millis(10));
    assert!(!evacuations.record_hint(&zone(0), millis(10)), "this VM has read the same");
    assert!(evacuations.record_hint(&zone(0), millis(20)));
    assert!(!evacuations.record_hint(&zone(0), millis(30)), "known");
    assert_eq!(evacuations.record_read(&[], millis(25)), Change::default(), "the peer read later");
    assert_eq!(evacuations.record_read(&[], millis(31)).taken_back, [zone(0)]);
}

#[derive(Default)]
struct Vm {
    evacuations: Evacuations,
    freshness: Freshness,
    /// Whether it has a list of upstreams.
    listed: bool,
    last_read: Time,
    cut: bool,
    frozen_until: Time,
    /// Send time of the read under way, and when its answer arrives.
    reading: Option<(Time, Time)>,
    next_read: Time,
}

struct Hint {
    to: usize,
    arrives: Time,
    age_ms: u32,
    zone: usize,
}

struct World {
    vms: Vec<Vm>,
    hints: Vec<Hint>,
    /// Evacuated since, by data centre.
    since: [Option<Time>; 3],
    outage: bool,
    random: ChaCha8Rng,
    now: Time,
    seed: u64,
}

impl World {
    fn new(count: usize, seed: u64) -> Self {
        let vms = (0..count).map(|_| Vm::default()).collect();
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { vms, hints: Vec::new(), since: [None; 3], outage: false, random, now: NOW, seed }
    }

    fn evacuated(&self) -> Vec<DataCentre> {
        (0..3).filter(|index| self.since[*index].is_some()).map(zone).collect()
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        let (now, evacuated) = (self.now, self.evacuated());
        for vm in &mut self.vms {
            if !vm.frozen_until.passed(now) {
                continue;
            }
            // What a VM sends before it handles anything else after a suspension counts too.
            check(vm, &self.since, now, self.seed);
            if let Some((sent, arrives)) = vm.reading
                && arrives.passed(now)
            {
                vm.reading = None;
                vm.next_read = now.after(POLL);
                if self.outage || vm.cut {
                    vm.freshness.record_failed(now);
                } else {
                    vm.freshness.record_answered();
                    vm.freshness.record_view(sent);
                    vm.evacuations.record_read(&evacuated, sent);
                    (vm.listed, vm.last_read) = (true, sent);
                }
            }
            if vm.reading.is_none() && vm.next_read.passed(now) {
                let took = Duration::from_millis(self.random.random_range(1..200));
                vm.reading = Some((now, now.after(took)));
                vm.freshness.record_sent(now);
            }
        }
        self.deliver();
        if self.now.0.is_multiple_of(HEARTBEAT.as_micros() as u64) {
            self.send_hints();
        }
    }

    fn send_hints(&mut self) {
        for from in 0..self.vms.len() {
            let mut words: Vec<_> = self.vms[from].evacuations.report().collect();
            // A run depends on its seed alone.
            words.sort();
            for (name, at) in words {
                let zone = (0..3).find(|index| &zone(*index) == name).expect("one of three");
                for to in (0..self.vms.len()).filter(|to| *to != from) {
                    if self.random.random_bool(0.3) {
                        continue;
                    }
                    let late = Duration::from_millis(self.random.random_range(0..400));
                    let (arrives, age_ms) = (self.now.after(late), at.age_millis(self.now));
                    self.hints.push(Hint { to, arrives, age_ms, zone });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for hint in self.hints.extract_if(.., |hint| hint.arrives.passed(now)) {
            let vm = &mut self.vms[hint.to];
            vm.evacuations.record_hint(&zone(hint.zone), now.before_millis(hint.age_ms));
        }
    }

    fn disturb(&mut self) {
        let index = self.random.random_range(0..self.vms.len());
        match self.random.random_range(0..8) {
            0 => self.vms[index] = Vm::default(),
            1 => self.vms = self.vms.iter().map(|_| Vm::default()).collect(),
            2 => self.vms[index].cut = true,
            3 => self.outage = !self.outage,
            4 => {
                let span = Duration::from_millis(self.random.random_range(500..9_000));
                self.vms[index].frozen_until = self.now.after(span);
            }
            5 | 6 => {
                let zone = self.random.random_range(0..3);
                // The store takes writes while it is there.
                if !self.outage {
                    self.since[zone] = match self.since[zone] {
                        Some(_) => None,
                        None => Some(self.now),
                    };
                }
            }
            _ => self.vms.iter_mut().for_each(|vm| vm.cut = false),
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while !end.passed(self.now) {
            self.step();
        }
    }
}

/// Asserts that a VM sends nothing to where it must not.
fn check(vm: &Vm, since: &[Option<Time>; 3], now: Time, seed: u64) {
    if !vm.listed || vm.freshness.may_lag(TERMS, now) {
        return;
    }
    let in_contact = !vm.last_read.after(CONTACT).passed(now);
    for (index, since) in since.iter().enumerate() {
        let is_due = since.is_some_and(|since| since.after(BOUND).passed(now));
        let sends = !vm.evacuations.contains(&zone(index));
        assert!(!(is_due && in_contact && sends), "seed {seed}: {} at {now:?}", zone(index));
    }
}

#[test]
fn evacuation_followed_whatever_fails() {
    for seed in 0..50 {
        let mut world = World::new([3, 7, 12][seed as usize % 3], seed);
        for _ in 0..60 {
            world.run_for(Duration::from_millis(700));
            world.disturb();
        }
        world.outage = false;
        for vm in &mut world.vms {
            (vm.cut, vm.frozen_until) = (false, Time(0));
        }
        world.run_for(Duration::from_secs(4));
        for (number, vm) in world.vms.iter().enumerate() {
            for index in 0..3 {
                let expected = world.since[index].is_some();
                let known = vm.evacuations.contains(&zone(index));
                assert_eq!(known, expected, "seed {seed}: VM {number}, {}", zone(index));
            }
        }
    }
}

#[test]
fn evacuation_kept_through_an_outage_after_the_acknowledgement() {
    for seed in 0..50 {
        let mut world = World::new(7, seed);
        world.run_for(Duration::from_secs(2));
        (world.since[0], world.since[1]) = (Some(world.now), Some(world.now));
        // One VM has read it when the store fails; the others know it from it alone.
        let now = world.now;
        world.vms[0].evacuations.record_read(&[zone(0), zone(1)], now);
        world.outage = true;
        world.run_for(Duration::from_secs(12));
        for vm in &world.vms {
            assert!(vm.evacuations.contains(&zone(0)) && vm.evacuations.contains(&zone(1)));
        }
    }
}
