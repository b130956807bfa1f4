//! Simulation of VMs that send all they can to one upstream, which turns cold, is lost and
//! comes back; VMs are killed, suspended and cut off, and datagrams get lost.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::Vm as Name;
use parsleybeam::serve::cold::{self, Bounds, Change, Reading, Standing, Upstreams, Word};
use parsleybeam::serve::configuration::Cold;
use parsleybeam::serve::limit::{Admission, Granted, Limits, Part, Row};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const NOW: Time = Time(1_000_000_000);
pub const BOUNDS: Bounds = Bounds { overrun: 1.5, slack: 5.0 };
pub const UPSTREAM: u32 = 7;
pub const LASTS: Duration = Duration::from_secs(8);

pub fn millis(count: u64) -> Time {
    NOW.after(Duration::from_millis(count))
}

pub fn rule(per_s: f64) -> Cold {
    Cold { lasts: LASTS, per_s }
}

pub fn reading(started_unix_ms: u64, revision: u64, left_ms: Option<u64>) -> Reading {
    Reading { started_unix_ms, revision, left: left_ms.map(Duration::from_millis) }
}

const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(500);
const SILENT_AFTER: Duration = Duration::from_millis(1_200);
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(900);
const SLOTS: usize = 8;
/// Range of times for which requests hold their slots, in milliseconds.
const HELD_MS: Range<u64> = 300..500;
/// Time until the head of an answer arrives.
const HEAD: Duration = Duration::from_millis(50);
const SUBSTITUTE_SHARE: f64 = 0.2;
/// Rows of each kind in one report.
const MAX_NEWS: usize = 16;

#[derive(Clone)]
pub struct Vm {
    pub cold: Upstreams,
    pub limits: Limits,
    pub incarnation: u64,
    pub heard_at: Vec<Time>,
    /// Incarnations of the others, as last heard.
    pub known: Vec<u64>,
    pub unanswered: Vec<Time>,
    pub closed_until: Time,
    pub frozen_until: Time,
    pub half: u8,
    pub next_read: Time,
    pub is_changed: bool,
}

impl Vm {
    pub fn new(count: usize, incarnation: u64, now: Time) -> Self {
        Self {
            cold: Upstreams::default(),
            limits: Limits::default(),
            incarnation,
            heard_at: vec![now; count],
            known: vec![1; count],
            unanswered: vec![Time(0); count],
            closed_until: Time(0),
            frozen_until: Time(0),
            half: 0,
            next_read: now,
            is_changed: false,
        }
    }
}

/// VMs that send to one upstream, all that they can.
pub struct World {
    pub vms: Vec<Vm>,
    pub per_s: f64,
    pub entry: Reading,
    pub store_away: bool,
    pub down_until: Time,
    pub cold_until: Time,
    /// Requests that run: when each one was sent, when it ends, and its VM.
    pub running: VecDeque<(Time, Time, usize)>,
    pub sends: Vec<Time>,
    pub held_ms: Range<u64>,
    pub random: ChaCha8Rng,
    pub now: Time,
}

impl World {
    pub fn new(count: usize, per_s: f64, seed: u64) -> Self {
        Self {
            vms: (0..count).map(|_| Vm::new(count, 1, NOW)).collect(),
            per_s,
            entry: reading(1, 1, Some(0)),
            store_away: false,
            down_until: Time(0),
            cold_until: Time(0),
            running: VecDeque::new(),
            sends: Vec::new(),
            held_ms: HELD_MS,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: NOW,
        }
    }

    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].frozen_until.passed(self.now)
    }

    pub fn hears(&self, vm: usize, other: usize) -> bool {
        vm == other || !self.vms[vm].heard_at[other].after(SILENT_AFTER).passed(self.now)
    }

    /// As the gate does: the first VMs by rank that are heard and answer.
    pub fn admit(&mut self, vm: usize) -> bool {
        let now = self.now;
        let count = self.vms.len();
        let asked = (0..count).filter(|other| {
            self.hears(vm, *other) && (*other == vm || self.vms[vm].unanswered[*other].passed(now))
        });
        let asked: Vec<usize> = asked.take(2).collect();
        for other in asked {
            let reached = self.is_up(other) && self.vms[other].half == self.vms[vm].half;
            if !reached {
                self.vms[vm].unanswered[other] = now.after(UNANSWERED_PAUSE);
                continue;
            }
            if let Some(word) = self.vms[vm].cold.word(UPSTREAM) {
                let change = self.vms[other].cold.record(UPSTREAM, word, false, now);
                self.apply(other, change);
            }
            return match self.grant(other) {
                Admission::Granted => true,
                Admission::Denied(until) => {
                    self.vms[vm].closed_until = until;
                    false
                }
            };
        }
        self.vms[vm].closed_until = now.after(Duration::from_millis(200));
        false
    }

    pub fn grant(&mut self, vm: usize) -> Admission {
        let heard = (0..self.vms.len()).filter(|other| self.hears(vm, *other)).count();
        let is_first = (0..vm).all(|other| !self.hears(vm, other));
        let whole = heard as f64 / self.vms.len() as f64;
        let share = whole * if is_first { 1.0 } else { SUBSTITUTE_SHARE };
        let part = Part { share, phase: self.random.random() };
        let (now, granter, vm) = (self.now, vm, &mut self.vms[vm]);
        let quota = match vm.cold.standing(UPSTREAM, BOUNDS, now) {
            Standing::Cold(quota) => quota,
            Standing::Warm => return Admission::Granted,
            Standing::Unknown => return Admission::Denied(now.after(STEP)),
        };
        let admission = vm.limits.grant_quota(cold::key(UPSTREAM), quota, part, now);
        if admission == Admission::Granted {
            self.tell_next_granter(granter);
        }
        admission
    }

    /// Tells the VM that grants next, if this one is lost, of what was granted.
    pub fn tell_next_granter(&mut self, from: usize) {
        let others = (0..self.vms.len()).filter(|vm| *vm != from);
        let next = others.into_iter().find(|vm| self.hears(from, *vm));
        let Some(next) = next.filter(|next| self.reaches(from, *next)) else { return };
        let rows: Vec<_> = self.vms[from].limits.report(self.now).collect();
        self.tell(from, next, &[], &rows);
    }

    pub fn apply(&mut self, vm: usize, change: Option<Change>) {
        let (now, running) = (self.now, self.running.len() as u32);
        let Some(change) = change else { return };
        let vm = &mut self.vms[vm];
        vm.is_changed = true;
        let standing = vm.cold.standing(UPSTREAM, BOUNDS, now);
        if let (Change::Learnt, Standing::Cold(quota)) = (change, standing) {
            vm.limits.begin_quota(cold::key(UPSTREAM), quota, running, now);
        }
    }

    pub fn send(&mut self, vm: usize) {
        let now = self.now;
        let standing = self.vms[vm].cold.standing(UPSTREAM, BOUNDS, now);
        // Without a list of upstreams nothing is sent.
        if standing == Standing::Unknown || !self.vms[vm].closed_until.passed(now) {
            return;
        }
        let is_full = self.running.len() >= SLOTS;
        if is_full || matches!(standing, Standing::Cold(_)) && !self.admit(vm) {
            return;
        }
        if !self.down_until.passed(now) {
            let change = self.vms[vm].cold.suspect(UPSTREAM, 1, now);
            self.apply(vm, change);
            self.vms[vm].closed_until = now.after(Duration::from_millis(400));
            return;
        }
        let held = Duration::from_millis(self.random.random_range(self.held_ms.clone()));
        self.vms[vm].is_changed = true;
        self.running.push_back((now, now.after(held), vm));
        if !self.cold_until.passed(now) {
            self.sends.push(now);
        }
    }

    pub fn step(&mut self) {
        self.now = self.now.after(STEP);
        let now = self.now;
        self.running.retain(|(_, end, _)| !end.passed(now));
        for (sent, _, vm) in self.running.clone() {
            // The head of the answer states the cold time.
            if sent.after(HEAD) == now && self.is_up(vm) && !self.cold_until.passed(now) {
                let (started_unix_ms, until) = (self.entry.started_unix_ms, self.cold_until);
                let word = Word { started_unix_ms, at: now, until, revision: 0 };
                let change = self.vms[vm].cold.record(UPSTREAM, word, true, now);
                self.apply(vm, change);
            }
        }
        for vm in 0..self.vms.len() {
            if !self.is_up(vm) {
                continue;
            }
            if self.vms[vm].next_read.passed(now) && !self.store_away {
                let list = [(UPSTREAM, Some(rule(self.per_s)), self.entry)];
                let changes = self.vms[vm].cold.record_list(&list, now, now);
                self.apply(vm, changes.first().map(|(_, change)| *change));
                self.vms[vm].next_read = now.after(POLL);
            }
            if self.random.random_bool(0.3) {
                self.send(vm);
            }
        }
        let is_heartbeat = now.0.is_multiple_of(HEARTBEAT.as_micros() as u64);
        for vm in 0..self.vms.len() {
            if self.is_up(vm) && (is_heartbeat || self.vms[vm].is_changed) {
                self.report(vm);
            }
        }
    }

    /// Tells all VMs what is due, and those that were silent or have restarted all there is.
    pub fn report(&mut self, from: usize) {
        let now = self.now;
        self.vms[from].is_changed = false;
        let words = self.vms[from].cold.take_due(MAX_NEWS, now);
        let rows = self.vms[from].limits.take_due(MAX_NEWS, now);
        let incarnation = self.vms[from].incarnation;
        for to in (0..self.vms.len()).filter(|to| *to != from) {
            if !self.reaches(from, to) {
                continue;
            }
            let is_back = !self.hears(to, from) || self.vms[to].known[from] != incarnation;
            self.vms[to].heard_at[from] = now;
            self.vms[to].known[from] = incarnation;
            let cold = &self.vms[to].cold;
            let knows_better = words.iter().any(|(upstream, word)| cold.corrects(*upstream, *word));
            self.tell(from, to, &words, &rows);
            if (is_back || knows_better) && self.reaches(to, from) {
                self.send_state(to, from);
            }
        }
    }

    /// Whether a datagram between two VMs arrives.
    pub fn reaches(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.vms[to].half != self.vms[from].half;
        !is_cut && self.is_up(to) && !self.random.random_bool(0.1)
    }

    pub fn send_state(&mut self, from: usize, to: usize) {
        let words: Vec<_> = self.vms[from].cold.report(self.now).collect();
        let rows: Vec<_> = self.vms[from].limits.report(self.now).collect();
        self.tell(from, to, &words, &rows);
    }

    pub fn tell(&mut self, from: usize, to: usize, words: &[(u32, Word)], rows: &[Row]) {
        let (name, incarnation) = (Name::from(format!("vm-{from}")), self.vms[from].incarnation);
        let now = self.now;
        for (upstream, word) in words {
            let change = self.vms[to].cold.record(*upstream, *word, false, now);
            self.apply(to, change);
        }
        let vm = &mut self.vms[to];
        for row in rows {
            let granted = Granted { incarnation, count: row.granted };
            vm.limits.record_granted(row.process, &name, granted, now);
        }
    }

    pub fn disturb(&mut self) {
        let (now, count) = (self.now, self.vms.len());
        // The VM that grants for all is hit most often.
        let vm = if self.random.random_bool(0.5) { 0 } else { self.random.random_range(0..count) };
        match self.random.random_range(0..8) {
            0 => {
                let incarnation = self.vms[vm].incarnation + 1;
                self.vms[vm] = Vm::new(count, incarnation, now);
                self.vms[vm].frozen_until = now.after(Duration::from_millis(300));
            }
            1 => self.vms[vm].frozen_until = now.after(Duration::from_millis(2_500)),
            2 => (0..count).for_each(|vm| self.vms[vm].half = self.random.random_range(0..2)),
            3 => self.vms[vm].half = 2,
            4 => self.store_away = !self.store_away,
            5 => self.turn_cold(self.entry.started_unix_ms),
            6 => {
                self.down_until = now.after(Duration::from_millis(1_500));
                self.running.clear();
                self.turn_cold(self.entry.started_unix_ms + 1);
                self.cold_until = self.down_until.after(LASTS);
            }
            _ => self.heal(),
        }
    }

    pub fn turn_cold(&mut self, started_unix_ms: u64) {
        self.cold_until = self.now.after(LASTS);
        self.entry = reading(started_unix_ms, self.entry.revision + 1, Some(9_500));
    }

    pub fn heal(&mut self) {
        self.store_away = false;
        self.vms.iter_mut().for_each(|vm| vm.half = 0);
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while !end.passed(self.now) {
            self.step();
        }
    }

    pub fn most_in_a_second(&self) -> usize {
        let window = Duration::from_secs(1);
        let in_window = |start: &Time| {
            let end = start.after(window);
            self.sends.iter().filter(|at| *at >= start && **at < end).count()
        };
        self.sends.iter().map(in_window).max().unwrap_or(0)
    }

    pub fn allowed(&self) -> f64 {
        BOUNDS.overrun * self.per_s + BOUNDS.slack
    }
}
