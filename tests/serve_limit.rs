//! Limits that upstreams name: what ends one, and that no order of faults grants more
//! than an upstream takes from all VMs, or leaves it idle.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{Upstream, Vm};
use parsleybeam::serve::departure::Process;
use parsleybeam::serve::limit::{Admission, Granted, Limits, Word};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(100_000_000);
const STEP: Duration = Duration::from_millis(10);
/// Interval of load reports.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Rows of limits in one report.
const MAX_NEWS: usize = 16;
/// Window over which an upstream's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn process() -> Process {
    Process::new(&Upstream::from("a"), 1)
}

fn word(per_s: f64, at: Time) -> Word {
    Word { per_s: Some(per_s), at }
}

fn absent(at: Time) -> Word {
    Word { per_s: None, at }
}

fn millis(count: u64) -> Time {
    NOW.after(Duration::from_millis(count))
}

#[test]
fn record_newest_word_stands() {
    let mut limits = Limits::default();
    assert!(!limits.record(process(), absent(NOW), true, NOW), "it has never named one");
    assert!(limits.record(process(), word(3.0, millis(10)), true, millis(10)));
    assert!(!limits.record(process(), word(3.0, millis(20)), true, millis(20)), "the same");
    assert!(!limits.record(process(), absent(millis(5)), false, millis(30)), "an older word");
    assert_eq!(limits.per_s(process()), Some(3.0));
    assert!(limits.record(process(), word(2.0, millis(40)), false, millis(50)));
    assert!(limits.record(process(), absent(millis(60)), true, millis(60)));
    assert_eq!(limits.per_s(process()), None);
    assert_eq!(limits.grant(process(), 1.0, millis(61)), Admission::Granted, "it has ended");
}

#[test]
fn record_of_one_process_only() {
    let mut limits = Limits::default();
    limits.record(process(), word(1.0, NOW), true, NOW);
    let restarted = Process { started_unix_ms: 2, ..process() };
    assert_eq!(limits.per_s(restarted), None);
    for _ in 0..50 {
        assert_eq!(limits.grant(restarted, 1.0, NOW), Admission::Granted);
    }
}

#[test]
fn report_for_a_while_by_who_was_told_or_granted() {
    let mut limits = Limits::default();
    limits.record(process(), word(1.0, NOW), false, NOW);
    assert_eq!(limits.report(NOW).count(), 0, "only heard of");
    limits.record(process(), word(1.0, millis(1)), true, millis(1));
    assert_eq!(limits.report(millis(9_000)).count(), 1);
    assert_eq!(limits.report(millis(11_000)).count(), 0);
    assert_eq!(limits.grant(process(), 1.0, millis(11_000)), Admission::Granted);
    let rows: Vec<_> = limits.report(millis(11_000)).collect();
    assert_eq!((rows[0].granted, rows[0].word), (1, word(1.0, millis(1))));
}

#[test]
fn grant_limit_of_zero_still_tries() {
    let mut limits = Limits::default();
    limits.record(process(), word(0.0, NOW), true, NOW);
    let granted = (0..2_000)
        .filter(|step| limits.grant(process(), 1.0, millis(step * 10)) == Admission::Granted);
    let granted = granted.count();
    assert!((3..=5).contains(&granted), "{granted} in 20 s: an answer tells when it has ended");
}

#[test]
fn grant_denied_come_back_one_after_the_other() {
    let mut limits = Limits::default();
    limits.record(process(), word(2.0, NOW), true, NOW);
    let mut last = NOW;
    for _ in 0..2 {
        let Admission::Denied(at) = limits.grant(process(), 1.0, NOW) else { panic!("empty") };
        assert!(at >= last.after(Duration::from_millis(499)), "{at:?} after {last:?}");
        last = at;
    }
    let Admission::Denied(at) = limits.grant(process(), 1.0, NOW) else { panic!("empty") };
    assert!(at <= NOW.after(Duration::from_secs(1)), "soon enough to learn of the end");
}

#[test]
fn record_granted_repeated_late_and_restarted() {
    let mut limits = Limits::default();
    limits.record(process(), word(4.0, NOW), true, NOW);
    let vm = Vm::from("vm-2");
    let report = |limits: &mut Limits, incarnation, count, now| {
        limits.record_granted(process(), &vm, Granted { incarnation, count }, now);
    };
    report(&mut limits, 1, 0, millis(1_000));
    for _ in 0..20 {
        report(&mut limits, 1, 2, millis(1_000));
    }
    assert_eq!(limits.grant(process(), 1.0, millis(1_000)), Admission::Granted, "once");
    report(&mut limits, 2, 0, millis(2_000));
    assert_eq!(limits.grant(process(), 1.0, millis(2_000)), Admission::Granted, "a new process");
}

/// VMs that ask each other, with reports that are late or lost.
struct World {
    limits: Vec<Limits>,
    incarnations: Vec<u64>,
    /// Half of the VMs that each one is in, while they are split.
    halves: Vec<u8>,
    /// VM that each one would ask first.
    first: Vec<usize>,
    sends: Vec<Time>,
    random: ChaCha8Rng,
    now: Time,
}

impl World {
    fn new(vms: usize, seed: u64) -> Self {
        Self {
            limits: vec![Limits::default(); vms],
            incarnations: vec![1; vms],
            halves: vec![0; vms],
            first: vec![0; vms],
            sends: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: NOW,
        }
    }

    fn tell_all(&mut self, word: Word) {
        for limits in &mut self.limits {
            limits.record(process(), word, true, self.now);
        }
    }

    fn heard_share(&self, vm: usize) -> f64 {
        let heard = self.halves.iter().filter(|half| **half == self.halves[vm]).count();
        heard as f64 / self.halves.len() as f64
    }

    /// The VM that `vm` asks: the first that it hears.
    fn granter(&self, vm: usize) -> usize {
        let count = self.limits.len();
        let order = (0..count).map(|offset| (self.first[vm] + offset) % count);
        let mut heard = order.filter(|other| self.halves[*other] == self.halves[vm]);
        heard.next().expect("a VM hears itself")
    }

    /// Each VM wants to send; then the clock moves.
    fn step(&mut self) {
        for vm in 0..self.limits.len() {
            let granter = self.granter(vm);
            let share = self.heard_share(granter);
            if self.limits[granter].grant(process(), share, self.now) == Admission::Granted {
                self.sends.push(self.now);
            }
        }
        self.now = self.now.after(STEP);
        if self.now.0.is_multiple_of(HEARTBEAT.as_micros() as u64) {
            self.exchange_reports();
        }
    }

    fn exchange_reports(&mut self) {
        for from in 0..self.limits.len() {
            let rows = self.limits[from].take_due(MAX_NEWS, self.now);
            let (vm, incarnation) = (Vm::from(format!("vm-{from}")), self.incarnations[from]);
            for to in (0..self.limits.len()).filter(|to| *to != from) {
                if self.halves[to] != self.halves[from] || self.random.random_bool(0.1) {
                    continue;
                }
                for row in &rows {
                    let granted = Granted { incarnation, count: row.granted };
                    self.limits[to].record(process(), row.word, false, self.now);
                    self.limits[to].record_granted(process(), &vm, granted, self.now);
                }
            }
        }
    }

    /// One fault, or the end of all.
    fn disturb(&mut self) {
        let vms = self.limits.len();
        match self.random.random_range(0..5) {
            0 => {
                let vm = self.random.random_range(0..vms);
                let word = self.limits[vm].word(process());
                self.limits[vm] = Limits::default();
                self.incarnations[vm] += 1;
                // It learns of the limit by its first answer.
                if let Some(word) = word {
                    self.limits[vm].record(process(), word, true, self.now);
                }
            }
            1 => {
                for half in &mut self.halves {
                    *half = self.random.random_range(0..2);
                }
            }
            2 => {
                for first in &mut self.first {
                    *first = self.random.random_range(0..2);
                }
            }
            3 => {
                let first = self.random.random_range(0..vms);
                self.first = vec![first; vms];
            }
            _ => self.heal(),
        }
    }

    fn heal(&mut self) {
        self.halves = vec![0; self.limits.len()];
        self.first = vec![0; self.limits.len()];
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while !end.passed(self.now) {
            self.step();
        }
    }

    fn most_in_window(&self) -> usize {
        let in_window = |start: &Time| {
            let end = start.after(WINDOW);
            self.sends.iter().filter(|at| *at >= start && **at < end).count()
        };
        self.sends.iter().map(in_window).max().unwrap_or(0)
    }
}

fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Requests that must be sent in a span: all but one part in twenty, and but one that the
/// span may end before.
fn used(per_s: f64, span_s: f64) -> f64 {
    0.95 * (per_s * span_s - 1.0)
}

#[test]
fn grant_uses_the_whole_limit_and_no_more() {
    for (vms, per_s) in [(2, 0.5), (7, 3.0), (95, 1.0), (40, 20.0)] {
        let mut world = World::new(vms, 1);
        world.tell_all(word(per_s, NOW));
        world.run_for(Duration::from_secs(20));
        assert!(world.most_in_window() <= allowed(per_s), "{vms} VMs, {per_s} a second");
        let sent = world.sends.len() as f64;
        assert!(sent >= used(per_s, 20.0), "{vms} VMs sent {sent} at {per_s} a second");
    }
}

#[test]
fn grant_within_the_limit_whatever_fails() {
    for seed in 0..50 {
        let (vms, per_s) = [(7, 2.5), (12, 1.0), (40, 1.0), (40, 6.0)][seed as usize % 4];
        let mut world = World::new(vms, seed);
        world.tell_all(word(per_s, NOW));
        for _ in 0..20 {
            world.run_for(Duration::from_millis(700));
            world.disturb();
        }
        let most = world.most_in_window();
        assert!(most <= allowed(per_s), "seed {seed}: {most} at {per_s} a second");
        world.heal();
        world.run_for(Duration::from_secs(2));
        world.sends.clear();
        world.run_for(Duration::from_secs(10));
        let sent = world.sends.len() as f64;
        assert!(sent >= used(per_s, 10.0), "seed {seed}: {sent} once all is well");
    }
}
