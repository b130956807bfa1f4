//! Simulates one replicated segment: replicas crash, pause, restart and lose
//! their disks, the platform has outages, replies are lost, and messages are
//! delayed and reordered.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::machine::{HardState, Machine};
use super::{Actions, Append, Appended, Change, Entry, Position, Replica, ReplicaSet, Transfer};
use crate::clock::Time;

/// Number of stores.
const STORES: usize = 4;
/// Virtual time per step.
const STEP: Duration = Duration::from_millis(20);
/// Maximum message delay in steps; some swaps take up to the square of it.
const MAX_DELAY_STEPS: u64 = 20;
/// Maximum pause of a store in steps, much longer than `FAILURE_TIMEOUT`.
const MAX_PAUSE_STEPS: u64 = 400;
/// Maximum length of a platform outage, in steps.
const MAX_OUTAGE_STEPS: u64 = 800;
/// Fault-free steps at the end of a run, within which the segment must recover.
const FAULT_FREE_STEPS: u64 = 1_500;
/// Maximum number of entries in one append.
const MAX_APPEND_ENTRIES: u64 = 32;
/// Number of latest entries that are compared after each step.
const COMPARED_ENTRIES: u64 = 16;

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Entries acknowledged as committed.
    pub acknowledged: u64,
    /// Replica sets accepted by the platform.
    pub sets: u64,
    /// Log compactions.
    pub compactions: u64,
    /// Store restarts.
    pub restarts: u64,
    /// Store pauses.
    pub pauses: u64,
    /// Disks permanently lost.
    pub disks_lost: u64,
    /// Compare-and-swap replies lost after the write took effect.
    pub replies_lost: u64,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("step {step}: {detail}")]
pub struct Violation {
    /// Step at which the violation was detected.
    pub step: u64,
    /// Description of the violation.
    pub detail: String,
}

#[derive(Default)]
struct Log {
    hard_state: HardState,
    base: Position,
    entries: Vec<Entry>,
}

impl Log {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Adopt(set) => self.hard_state = HardState { set, proposed: None },
            Change::Propose(set) => self.hard_state.proposed = Some(set),
            Change::Truncate(from) => self.entries.retain(|entry| entry.position.seq < from),
            Change::Reset(base) => {
                self.base = base;
                self.entries.clear();
            }
            Change::Append(entry) => self.entries.push(entry),
        }
    }

    fn get(&self, seq: u64) -> Option<&Entry> {
        self.entries.get(seq.checked_sub(self.base.seq + 1)? as usize)
    }
}

struct Store {
    replica: Replica,
    machine: Machine,
    log: Log,
    resumes_at_step: u64,
    up: bool,
}

#[derive(Clone)]
enum Message {
    Append(Append),
    Appended(usize, Appended),
    Swap { from: usize, expected: u64, set: ReplicaSet },
    Swapped { to: usize, set: ReplicaSet },
}

struct World {
    random: ChaCha8Rng,
    step: u64,
    stores: Vec<Store>,
    network: BTreeMap<(u64, u64), Message>,
    last_message: u64,
    platform_set: ReplicaSet,
    platform_up_at_step: u64,
    acknowledged: BTreeMap<u64, Entry>,
    next_disk: u64,
    fault_free: bool,
    report: Report,
}

/// Runs `steps` steps from `seed`, then a fault-free period.
pub fn simulate(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.step()?;
        world.inject_fault();
    }
    world.recover()?;
    Ok(world.report)
}

impl World {
    fn new(seed: u64) -> Self {
        let replicas: Vec<Replica> =
            (0..STORES).map(|index| replica(index, index as u64)).collect();
        let set = ReplicaSet { epoch: 1, replicas: replicas[..3].to_vec() };
        let stores =
            replicas.iter().map(|replica| Store::new(replica.clone(), Log::default(), Time(0)));
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            step: 0,
            stores: stores.collect(),
            network: BTreeMap::new(),
            last_message: 0,
            platform_set: set,
            platform_up_at_step: 0,
            acknowledged: BTreeMap::new(),
            next_disk: STORES as u64,
            fault_free: false,
            report: Report::default(),
        }
    }

    fn now(&self) -> Time {
        Time(1).after(STEP * self.step as u32)
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.step += 1;
        while let Some(entry) =
            self.network.first_entry().filter(|entry| entry.key().0 <= self.step)
        {
            let message = entry.remove();
            self.deliver(message)?;
        }
        for index in 0..self.stores.len() {
            if self.running(index) {
                self.run_store(index)?;
            }
        }
        Ok(())
    }

    fn running(&self, index: usize) -> bool {
        self.stores[index].up && self.stores[index].resumes_at_step <= self.step
    }

    fn run_store(&mut self, index: usize) -> Result<(), Violation> {
        let now = self.now();
        if self.platform_up() && self.random.random_bool(0.05) {
            let set = self.platform_set.clone();
            let actions = self.stores[index].machine.adopt(set, now);
            self.perform_actions(index, actions)?;
        }
        if self.random.random_bool(0.05) {
            let spares = (0..self.stores.len()).filter(|other| self.running(*other));
            let spares = spares.map(|other| self.stores[other].replica.clone()).collect();
            self.stores[index].machine.set_spares(spares);
        }
        if self.random.random_bool(0.005) {
            let compacted = self.stores[index].compact();
            self.report.compactions += u64::from(compacted);
        }
        if self.stores[index].machine.accepts() && self.random.random_bool(0.1) {
            let count = self.random.random_range(1..4);
            let payloads = (0..count).map(|_| self.payload()).collect();
            let (_, actions) = self.stores[index].machine.propose(payloads, now);
            self.perform_actions(index, actions)?;
        }
        let actions = self.stores[index].machine.tick(now);
        self.perform_actions(index, actions)
    }

    fn payload(&mut self) -> Bytes {
        Bytes::copy_from_slice(&self.random.random::<u64>().to_le_bytes())
    }

    fn platform_up(&self) -> bool {
        self.platform_up_at_step <= self.step
    }

    /// Performs actions: first disk changes, then sends. The store may crash
    /// before performing any of them.
    fn perform_actions(&mut self, index: usize, actions: Actions) -> Result<(), Violation> {
        if !actions.changes.is_empty() && !self.fault_free && self.random.random_bool(0.002) {
            self.stores[index].up = false;
            return Ok(());
        }
        for change in actions.changes {
            self.stores[index].log.apply(change);
        }
        self.check(index)?;
        for send in actions.sends {
            let append = self.stores[index].read(send);
            self.send(Message::Append(append));
        }
        if let Some(set) = actions.swap.filter(|_| self.platform_up()) {
            // The swap is conditional on the epoch that the store read, so the platform refuses it
            // if there is a newer one.
            let expected = self.stores[index].machine.set().epoch;
            self.send(Message::Swap { from: index, expected, set });
        }
        Ok(())
    }

    fn send(&mut self, message: Message) {
        if !self.fault_free && self.random.random_bool(0.03) {
            return;
        }
        if !self.fault_free && self.random.random_bool(0.02) {
            self.enqueue(message.clone());
        }
        self.enqueue(message);
    }

    fn enqueue(&mut self, message: Message) {
        let delay = self.random.random_range(1..=if self.fault_free { 2 } else { MAX_DELAY_STEPS });
        // A swap may be delayed far beyond the time that its sender waits for the reply.
        let swap = matches!(message, Message::Swap { .. });
        let long = swap && !self.fault_free && self.random.random_bool(0.2);
        let delay = if long { delay * MAX_DELAY_STEPS } else { delay };
        self.last_message += 1;
        self.network.insert((self.step + delay, self.last_message), message);
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let now = self.now();
        if let Some(resumes_at_step) = self.resume_step(&message) {
            self.last_message += 1;
            self.network.insert((resumes_at_step, self.last_message), message);
            return Ok(());
        }
        match message {
            Message::Append(append) => {
                let Some(index) = self.running_store(&append.to) else { return Ok(()) };
                let (answer, actions) = self.stores[index].machine.append(append.clone(), now);
                self.perform_actions(index, actions)?;
                let primary = append.set.primary().and_then(|vm| self.running_store(vm));
                if let Some(primary) = primary.filter(|_| self.stores[index].up) {
                    self.send(Message::Appended(primary, answer));
                }
                Ok(())
            }
            Message::Appended(index, answer) => {
                if !self.running(index) {
                    return Ok(());
                }
                let actions = self.stores[index].machine.appended(answer, now);
                self.perform_actions(index, actions)
            }
            Message::Swap { from, expected, set } => {
                self.swap(from, expected, set);
                Ok(())
            }
            Message::Swapped { to, set } => {
                if !self.running(to) {
                    return Ok(());
                }
                let actions = self.stores[to].machine.adopt(set, now);
                self.perform_actions(to, actions)
            }
        }
    }

    /// Returns the step at which the paused receiver of a message resumes.
    fn resume_step(&self, message: &Message) -> Option<u64> {
        let index = match message {
            Message::Append(append) => {
                self.stores.iter().position(|store| store.replica.vm == append.to.vm)?
            }
            Message::Appended(index, _) | Message::Swapped { to: index, .. } => *index,
            Message::Swap { .. } => return None,
        };
        Some(self.stores[index].resumes_at_step)
            .filter(|resumes_at_step| *resumes_at_step > self.step)
    }

    fn running_store(&self, replica: &Replica) -> Option<usize> {
        // Messages are addressed by VM name, so they reach a store even after a disk
        // replacement.
        let index = self.stores.iter().position(|store| store.replica.vm == replica.vm)?;
        self.running(index).then_some(index)
    }

    fn swap(&mut self, from: usize, expected: u64, set: ReplicaSet) {
        if self.platform_set.epoch == expected {
            self.platform_set = set;
            self.report.sets += 1;
        }
        if self.random.random_bool(0.3) {
            self.report.replies_lost += 1;
            return;
        }
        let set = self.platform_set.clone();
        self.send(Message::Swapped { to: from, set });
    }

    /// Compares a store's committed entries with the acknowledged ones.
    fn check(&mut self, index: usize) -> Result<(), Violation> {
        let store = &self.stores[index];
        if !store.machine.is_member() {
            return Ok(());
        }
        let commit = store.machine.commit();
        let last_acknowledged = self.acknowledged.last_key_value().map_or(0, |(seq, _)| *seq);
        // The primary is the first to learn of a commit.
        for seq in last_acknowledged + 1..=commit {
            let Some(entry) = store.log.get(seq).cloned() else {
                return self.violation(format!(
                    "store {index} committed entry {seq} but does not hold it"
                ));
            };
            if !store.machine.is_primary() {
                return self.violation(format!(
                    "store {index} learned of commit {seq} before its primary"
                ));
            }
            self.acknowledged.insert(seq, entry);
            self.report.acknowledged += 1;
        }
        let is_current = store.machine.set().epoch >= self.platform_set.epoch;
        let through = if is_current { last_acknowledged } else { commit.min(last_acknowledged) };
        self.compare(index, through)
    }

    fn compare(&self, index: usize, through: u64) -> Result<(), Violation> {
        let store = &self.stores[index];
        // Older entries were compared in earlier steps. The full log is compared at the end of a
        // run.
        let from =
            if self.fault_free { 1 } else { through.saturating_sub(COMPARED_ENTRIES).max(1) };
        if through < from {
            return Ok(());
        }
        for (seq, entry) in self.acknowledged.range(from..=through) {
            let compacted = *seq <= store.log.base.seq;
            if !compacted && store.log.get(*seq) != Some(entry) {
                return self.violation(format!("store {index} lost or changed entry {seq}"));
            }
        }
        Ok(())
    }

    fn violation<T>(&self, detail: String) -> Result<T, Violation> {
        Err(Violation { step: self.step, detail })
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..self.stores.len());
        match self.random.random_range(0..1_000) {
            0..4 => self.stores[index].up = false,
            4..12 => {
                let span = self.random.random_range(1..MAX_PAUSE_STEPS);
                self.stores[index].resumes_at_step = self.step + span;
                self.report.pauses += 1;
            }
            12..32 => self.restart(index),
            32..34 => {
                self.platform_up_at_step =
                    self.step + self.random.random_range(1..MAX_OUTAGE_STEPS);
            }
            34..36 => self.lose_disk(index),
            _ => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let now = self.now();
        let store = &mut self.stores[index];
        if store.up {
            return;
        }
        let log = std::mem::take(&mut store.log);
        *store = Store::new(store.replica.clone(), log, now);
        self.report.restarts += 1;
    }

    /// Loses a disk if all three disks of the replica set are intact, so that
    /// two copies remain.
    fn lose_disk(&mut self, index: usize) {
        let is_intact =
            |replica: &&Replica| self.stores.iter().any(|store| store.replica == **replica);
        let copies = self.platform_set.replicas.iter().filter(is_intact).count();
        if copies < 3 || self.next_disk > STORES as u64 + 3 {
            return;
        }
        let disk = self.next_disk;
        self.next_disk += 1;
        self.report.disks_lost += 1;
        let now = self.now();
        self.stores[index] = Store::new(replica(index, disk), Log::default(), now);
    }

    /// Ends all faults and checks that the segment accepts records again.
    fn recover(&mut self) -> Result<(), Violation> {
        self.fault_free = true;
        self.platform_up_at_step = 0;
        for index in 0..self.stores.len() {
            self.stores[index].resumes_at_step = 0;
            self.restart(index);
        }
        let before = self.report.acknowledged;
        for _ in 0..FAULT_FREE_STEPS {
            self.step()?;
        }
        if self.report.acknowledged == before {
            return self.violation("no entry was committed after all faults ended".into());
        }
        let members = self.platform_set.replicas.clone();
        for index in
            members.iter().filter_map(|replica| self.running_store(replica)).collect::<Vec<_>>()
        {
            let through = self.stores[index].machine.commit();
            self.compare(index, through)?;
        }
        Ok(())
    }
}

impl Store {
    fn new(replica: Replica, log: Log, now: Time) -> Self {
        let positions: Vec<Position> = log.entries.iter().map(|entry| entry.position).collect();
        let machine =
            Machine::new(replica.clone(), log.hard_state.clone(), log.base, positions, now);
        Self { replica, machine, log, resumes_at_step: 0, up: true }
    }

    /// Compacts the log up to the last committed entry.
    fn compact(&mut self) -> bool {
        let Some(last) = self.log.get(self.machine.commit()) else { return false };
        let base = last.position;
        self.log.entries.retain(|entry| entry.position.seq > base.seq);
        self.log.base = base;
        self.machine.compacted(base);
        true
    }

    fn read(&self, send: Transfer) -> Append {
        let last = send.through.min(send.previous.seq + MAX_APPEND_ENTRIES);
        let entries = (send.previous.seq + 1..=last).filter_map(|seq| self.log.get(seq).cloned());
        Append {
            set: self.machine.set().clone(),
            to: send.to,
            previous: send.previous,
            entries: entries.collect(),
            commit: send.commit,
            reset: send.reset,
        }
    }
}

fn replica(index: usize, disk: u64) -> Replica {
    Replica { vm: format!("store-{index}").into(), disk }
}
