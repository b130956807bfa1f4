//! Random runs of one segment: replicas die, pause, come back and lose their
//! disks, the platform is down, replies are lost, messages arrive late and in
//! any order.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::machine::{HardState, Machine};
use super::{Actions, Append, Appended, Change, Entry, Position, Replica, ReplicaSet, Transfer};
use crate::clock::Time;

/// Stores in a run.
const STORES: usize = 4;
/// Virtual time of one step.
const STEP: Duration = Duration::from_millis(20);
/// Longest delay of a message, in steps.
const MAX_DELAY_STEPS: u64 = 20;
/// Longest pause of a store, in steps: well past the silence bound.
const MAX_PAUSE_STEPS: u64 = 400;
/// Longest outage of the platform, in steps.
const MAX_OUTAGE_STEPS: u64 = 800;
/// Steps without faults at the end, in which the segment must work again.
const CALM_STEPS: u64 = 1_500;
/// Entries sent at once.
const MAX_SEND: u64 = 32;
/// Latest entries that are compared after each step.
const COMPARED: u64 = 16;

/// What a run went through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Entries acknowledged.
    pub acknowledged: u64,
    /// Sets that the platform took.
    pub sets: u64,
    /// Logs compacted.
    pub compactions: u64,
    /// Restarts of stores.
    pub restarts: u64,
    /// Pauses of stores.
    pub pauses: u64,
    /// Disks lost for good.
    pub disks_lost: u64,
    /// Compare-and-swap replies lost after the write took effect.
    pub replies_lost: u64,
}

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("step {step}: {detail}")]
pub struct Violation {
    /// When it was noticed.
    pub step: u64,
    /// What was seen.
    pub detail: String,
}

#[derive(Default)]
struct Log {
    kept: HardState,
    base: Position,
    entries: Vec<Entry>,
}

impl Log {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Adopt(set) => self.kept = HardState { set, proposed: None },
            Change::Propose(set) => self.kept.proposed = Some(set),
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
    resumes: u64,
    alive: bool,
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
    messages: u64,
    platform: ReplicaSet,
    platform_back: u64,
    acknowledged: BTreeMap<u64, Entry>,
    next_disk: u64,
    calm: bool,
    report: Report,
}

/// Runs `steps` steps from `seed`, then a calm period.
pub fn simulate(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.step()?;
        world.fault();
    }
    world.calm()?;
    Ok(world.report)
}

impl World {
    fn new(seed: u64) -> Self {
        let replicas: Vec<Replica> =
            (0..STORES).map(|index| replica(index, index as u64)).collect();
        let set = ReplicaSet { epoch: 1, replicas: replicas[..3].to_vec() };
        let stores = replicas.iter().map(|each| Store::new(each.clone(), Log::default(), Time(0)));
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            step: 0,
            stores: stores.collect(),
            network: BTreeMap::new(),
            messages: 0,
            platform: set,
            platform_back: 0,
            acknowledged: BTreeMap::new(),
            next_disk: STORES as u64,
            calm: false,
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
                self.drive(index)?;
            }
        }
        Ok(())
    }

    fn running(&self, index: usize) -> bool {
        self.stores[index].alive && self.stores[index].resumes <= self.step
    }

    fn drive(&mut self, index: usize) -> Result<(), Violation> {
        let now = self.now();
        if self.platform_up() && self.random.random_bool(0.05) {
            let set = self.platform.clone();
            let step = self.stores[index].machine.adopt(set, now);
            self.perform(index, step)?;
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
            let (_, step) = self.stores[index].machine.propose(payloads, now);
            self.perform(index, step)?;
        }
        let step = self.stores[index].machine.tick(now);
        self.perform(index, step)
    }

    fn payload(&mut self) -> Bytes {
        Bytes::copy_from_slice(&self.random.random::<u64>().to_le_bytes())
    }

    fn platform_up(&self) -> bool {
        self.platform_back <= self.step
    }

    /// Carries a step out: disk first, then messages. A store may die between.
    fn perform(&mut self, index: usize, step: Actions) -> Result<(), Violation> {
        if !step.changes.is_empty() && !self.calm && self.random.random_bool(0.002) {
            self.stores[index].alive = false;
            return Ok(());
        }
        for change in step.changes {
            self.stores[index].log.apply(change);
        }
        self.check(index)?;
        for send in step.sends {
            let append = self.stores[index].read(send);
            self.post(Message::Append(append));
        }
        if let Some(set) = step.swap.filter(|_| self.platform_up()) {
            // The shell read this epoch's version, so a newer one refuses.
            let expected = self.stores[index].machine.set().epoch;
            self.post(Message::Swap { from: index, expected, set });
        }
        Ok(())
    }

    fn post(&mut self, message: Message) {
        if !self.calm && self.random.random_bool(0.03) {
            return;
        }
        if !self.calm && self.random.random_bool(0.02) {
            self.enqueue(message.clone());
        }
        self.enqueue(message);
    }

    fn enqueue(&mut self, message: Message) {
        let delay = self.random.random_range(1..=if self.calm { 2 } else { MAX_DELAY_STEPS });
        // Swaps may be held back far longer than anything waits for them.
        let swap = matches!(message, Message::Swap { .. });
        let long = swap && !self.calm && self.random.random_bool(0.2);
        let delay = if long { delay * MAX_DELAY_STEPS } else { delay };
        self.messages += 1;
        self.network.insert((self.step + delay, self.messages), message);
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let now = self.now();
        if let Some(resumes) = self.held(&message) {
            self.messages += 1;
            self.network.insert((resumes, self.messages), message);
            return Ok(());
        }
        match message {
            Message::Append(append) => {
                let Some(index) = self.place(&append.to) else { return Ok(()) };
                let (answer, step) = self.stores[index].machine.append(append.clone(), now);
                self.perform(index, step)?;
                let primary = append.set.primary().and_then(|vm| self.place(vm));
                if let Some(primary) = primary.filter(|_| self.stores[index].alive) {
                    self.post(Message::Appended(primary, answer));
                }
                Ok(())
            }
            Message::Appended(index, answer) => {
                if !self.running(index) {
                    return Ok(());
                }
                let step = self.stores[index].machine.appended(answer, now);
                self.perform(index, step)
            }
            Message::Swap { from, expected, set } => {
                self.swap(from, expected, set);
                Ok(())
            }
            Message::Swapped { to, set } => {
                if !self.running(to) {
                    return Ok(());
                }
                let step = self.stores[to].machine.adopt(set, now);
                self.perform(to, step)
            }
        }
    }

    /// Until when a message waits for a paused receiver.
    fn held(&self, message: &Message) -> Option<u64> {
        let index = match message {
            Message::Append(append) => {
                self.stores.iter().position(|store| store.replica.vm == append.to.vm)?
            }
            Message::Appended(index, _) | Message::Swapped { to: index, .. } => *index,
            Message::Swap { .. } => return None,
        };
        Some(self.stores[index].resumes).filter(|resumes| *resumes > self.step)
    }

    fn place(&self, replica: &Replica) -> Option<usize> {
        // Messages find a store by name, also when its disk is another one.
        let index = self.stores.iter().position(|store| store.replica.vm == replica.vm)?;
        self.running(index).then_some(index)
    }

    fn swap(&mut self, from: usize, expected: u64, set: ReplicaSet) {
        if self.platform.epoch == expected {
            self.platform = set;
            self.report.sets += 1;
        }
        if self.random.random_bool(0.3) {
            self.report.replies_lost += 1;
            return;
        }
        let set = self.platform.clone();
        self.post(Message::Swapped { to: from, set });
    }

    /// Compares what a store holds as committed with all that was acknowledged.
    fn check(&mut self, index: usize) -> Result<(), Violation> {
        let store = &self.stores[index];
        if !store.machine.is_member() {
            return Ok(());
        }
        let commit = store.machine.commit();
        let known = self.acknowledged.last_key_value().map_or(0, |(seq, _)| *seq);
        // A replica may learn of a commit only after its primary did.
        for seq in known + 1..=commit {
            let Some(entry) = store.log.get(seq).cloned() else {
                return self
                    .violation(format!("store {index} committed {seq} and doesn't hold it"));
            };
            if !store.machine.is_primary() {
                return self.violation(format!("store {index} learned {seq} before its primary"));
            }
            self.acknowledged.insert(seq, entry);
            self.report.acknowledged += 1;
        }
        let current = store.machine.set().epoch >= self.platform.epoch;
        let through = if current { known } else { commit.min(known) };
        self.compare(index, through)
    }

    fn compare(&self, index: usize, through: u64) -> Result<(), Violation> {
        let store = &self.stores[index];
        // Older entries were compared before; the full log is compared at the end.
        let from = if self.calm { 1 } else { through.saturating_sub(COMPARED).max(1) };
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

    fn fault(&mut self) {
        let index = self.random.random_range(0..self.stores.len());
        match self.random.random_range(0..1_000) {
            0..4 => self.stores[index].alive = false,
            4..12 => {
                let span = self.random.random_range(1..MAX_PAUSE_STEPS);
                self.stores[index].resumes = self.step + span;
                self.report.pauses += 1;
            }
            12..32 => self.restart(index),
            32..34 => {
                self.platform_back = self.step + self.random.random_range(1..MAX_OUTAGE_STEPS);
            }
            34..36 => self.lose_disk(index),
            _ => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let now = self.now();
        let store = &mut self.stores[index];
        if store.alive {
            return;
        }
        let log = std::mem::take(&mut store.log);
        *store = Store::new(store.replica.clone(), log, now);
        self.report.restarts += 1;
    }

    /// Loses a disk, if two others of the set would still hold everything.
    fn lose_disk(&mut self, index: usize) {
        let intact = |each: &&Replica| self.stores.iter().any(|store| store.replica == **each);
        let copies = self.platform.replicas.iter().filter(intact).count();
        if copies < 3 || self.next_disk > STORES as u64 + 3 {
            return;
        }
        let disk = self.next_disk;
        self.next_disk += 1;
        self.report.disks_lost += 1;
        let now = self.now();
        self.stores[index] = Store::new(replica(index, disk), Log::default(), now);
    }

    /// Heals everything and expects the segment to take records again.
    fn calm(&mut self) -> Result<(), Violation> {
        self.calm = true;
        self.platform_back = 0;
        for index in 0..self.stores.len() {
            self.stores[index].resumes = 0;
            self.restart(index);
        }
        let before = self.report.acknowledged;
        for _ in 0..CALM_STEPS {
            self.step()?;
        }
        if self.report.acknowledged == before {
            return self.violation("nothing was committed after all faults ended".into());
        }
        let members = self.platform.replicas.clone();
        for index in members.iter().filter_map(|each| self.place(each)).collect::<Vec<_>>() {
            let through = self.stores[index].machine.commit();
            self.compare(index, through)?;
        }
        Ok(())
    }
}

impl Store {
    fn new(replica: Replica, log: Log, now: Time) -> Self {
        let positions: Vec<Position> = log.entries.iter().map(|entry| entry.position).collect();
        let machine = Machine::new(replica.clone(), log.kept.clone(), log.base, positions, now);
        Self { replica, machine, log, resumes: 0, alive: true }
    }

    /// Drops everything that is committed, as if it meant nothing any more.
    fn compact(&mut self) -> bool {
        let Some(last) = self.log.get(self.machine.commit()) else { return false };
        let base = last.position;
        self.log.entries.retain(|entry| entry.position.seq > base.seq);
        self.log.base = base;
        self.machine.compacted(base);
        true
    }

    fn read(&self, send: Transfer) -> Append {
        let last = send.through.min(send.previous.seq + MAX_SEND);
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
