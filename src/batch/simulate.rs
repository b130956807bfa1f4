//! Random runs of jobs: clients resend, messages are lost, doubled and late,
//! workers die and pause, primaries change, jobs are cancelled.
//!
//! The segment is modelled by what it guarantees: records commit in one
//! order, and a change of primary may lose those not yet committed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::job::{JobId, Phase, Slot};
use super::lease::{LEASE, Leases, Renewal, START_WINDOW};
use super::outcome::{Grant, Outcome};
use super::record::{
    Attempt, Ending, Event, Expire, Item, Lease, Name, Record, Seal, Settle, Settlement, Stage,
};
use super::state::State;
use crate::clock::Time;

/// Virtual time of one step.
const STEP: Duration = Duration::from_millis(20);
/// Longest delay of a message, in steps.
const MAX_DELAY_STEPS: u64 = 30;
/// Longest pause of a worker, in steps: well past the lease.
const MAX_PAUSE_STEPS: u64 = 400;
/// Workers in a run.
const WORKERS: usize = 3;
/// Names that clients use.
const NAMES: u32 = 12;
/// Most items of a job.
const MAX_ITEMS: u32 = 24;
/// Upstreams that one item may take down.
const MAX_LOSSES: u32 = 2;
/// Steps without faults at the end, in which every job must end.
const CALM_STEPS: u64 = 4_000;
/// Pause between renewals, in steps.
const RENEW_STEPS: u64 = 25;
const TARGET: &str = "model:notes";

/// What a run went through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Jobs acknowledged to a client.
    pub accepted: u64,
    /// Items that completed.
    pub completed: u64,
    /// Cancellations acknowledged.
    pub cancelled: u64,
    /// Items started at an upstream.
    pub started: u64,
    /// Workers that died.
    pub deaths: u64,
    /// Changes of primary.
    pub primaries: u64,
    /// Results that came for an item that was complete.
    pub late: u64,
}

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("step {step}: {what}")]
pub struct Violation {
    /// When it was noticed.
    pub step: u64,
    /// What was seen.
    pub what: String,
}

#[derive(Clone)]
enum Message {
    /// To the primary: commit this, and answer it.
    Propose(Event, Asker),
    /// To the primary: a worker, known by its life, wants items.
    Ask {
        worker: usize,
        life: u64,
        asked: Time,
    },
    /// To a worker.
    Granted {
        worker: usize,
        life: u64,
        asked: Time,
        grants: Vec<Grant>,
    },
    Settled {
        worker: usize,
        life: u64,
        attempt: Attempt,
    },
    Renewed {
        worker: usize,
        life: u64,
        stop: Vec<Attempt>,
    },
    Renew {
        worker: usize,
        life: u64,
        closed: u64,
        attempts: Vec<Attempt>,
    },
    /// To a client.
    Accepted(Name, u32),
}

#[derive(Clone)]
enum Asker {
    Nobody,
    Client,
    Own,
    Lease { worker: usize, life: u64, asked: Time },
    Settle { worker: usize, life: u64, attempt: Attempt },
}

#[derive(Default)]
struct Worker {
    life: u64,
    resumes: u64,
    /// Asks that weren't answered yet; an answer is taken once.
    asked: BTreeSet<Time>,
    /// When each running attempt ends, and how.
    running: BTreeMap<Attempt, (u64, Settlement)>,
    /// Ended attempts that aren't known to be committed.
    ended: BTreeMap<Attempt, Settlement>,
}

struct World {
    random: ChaCha8Rng,
    step: u64,
    network: BTreeMap<(u64, u64), Message>,
    messages: u64,
    log: Vec<(Record, Asker)>,
    committed: usize,
    dead: BTreeSet<u64>,
    state: State,
    leases: Leases,
    busy: bool,
    own_busy: bool,
    held: Vec<(Time, JobId)>,
    workers: Vec<Worker>,
    accepted: BTreeMap<Name, u32>,
    stopped: BTreeSet<JobId>,
    starts: BTreeMap<(u64, u32), u32>,
    losses: BTreeMap<(u64, u32), u32>,
    read: BTreeMap<JobId, Vec<Slot>>,
    calm: bool,
    report: Report,
}

/// Runs `steps` steps from `seed`, then a calm period.
pub fn simulate(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.advance()?;
        world.fault();
    }
    world.finish()?;
    Ok(world.report)
}

impl World {
    fn new(seed: u64) -> Self {
        let state = State::default();
        let leases = Leases::new(&state, Time(0));
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            step: 0,
            network: BTreeMap::new(),
            messages: 0,
            log: Vec::new(),
            committed: 0,
            dead: BTreeSet::new(),
            state,
            leases,
            busy: false,
            own_busy: false,
            held: Vec::new(),
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            accepted: BTreeMap::new(),
            stopped: BTreeSet::new(),
            starts: BTreeMap::new(),
            losses: BTreeMap::new(),
            read: BTreeMap::new(),
            calm: false,
            report: Report::default(),
        }
    }

    fn now(&self) -> Time {
        Time(1).after(STEP * self.step as u32)
    }

    fn now_ms(&self) -> u64 {
        self.now().as_millis()
    }

    fn violation<T>(&self, what: String) -> Result<T, Violation> {
        Err(Violation { step: self.step, what })
    }

    fn advance(&mut self) -> Result<(), Violation> {
        self.step += 1;
        while let Some(entry) = self.network.first_entry().filter(|each| each.key().0 <= self.step)
        {
            let message = entry.remove();
            self.deliver(message)?;
        }
        if !self.calm && self.random.random_bool(0.02) {
            self.submit();
        }
        if !self.calm && self.random.random_bool(0.005) {
            let name = self.name();
            self.send(Message::Propose(Event::Cancel(name), Asker::Client));
        }
        self.commit()?;
        self.lead();
        for index in 0..WORKERS {
            self.work(index);
        }
        self.read()
    }

    fn send(&mut self, message: Message) {
        if !self.calm && self.random.random_bool(0.05) {
            return;
        }
        if !self.calm && self.random.random_bool(0.05) {
            self.enqueue(message.clone());
        }
        self.enqueue(message);
    }

    fn enqueue(&mut self, message: Message) {
        let long = !self.calm && self.random.random_bool(0.03);
        let most = if self.calm { 2 } else { MAX_DELAY_STEPS };
        let delay = self.random.random_range(1..=most) * if long { 10 } else { 1 };
        self.messages += 1;
        self.network.insert((self.step + delay, self.messages), message);
    }

    fn name(&mut self) -> Name {
        let number = self.random.random_range(0..NAMES);
        Name { organisation: format!("organisation-{}", number % 3), job: format!("job-{number}") }
    }

    /// A client uploads a job; every third time with another body.
    fn submit(&mut self) {
        let name = self.name();
        let body = self.random.random_range(0..3_u8) / 2;
        let upload = format!("{:016x}", self.random.random::<u64>());
        let number: u32 = name.job.trim_start_matches("job-").parse().expect("a number");
        let total = 1 + (number * 7 + u32::from(body)) % MAX_ITEMS;
        let item = |_| Item { custom_id: String::new(), body: Bytes::new() };
        let half = total / 2;
        for (first, count) in [(0, half), (half, total - half)] {
            let items = (0..count).map(item).collect();
            let stage = Stage { upload: upload.clone(), first, items };
            self.enqueue(Message::Propose(Event::Stage(stage), Asker::Nobody));
        }
        let seal = Seal {
            name,
            upload,
            digest: vec![body],
            total,
            path: "/v1/completions".into(),
            target: TARGET.into(),
            idempotent: number.is_multiple_of(2),
            deadline_ms: if number.is_multiple_of(5) { self.now_ms() + 20_000 } else { u64::MAX },
            weight: 1,
        };
        // Sent again by a client that heard nothing.
        for _ in 0..2 {
            self.send(Message::Propose(Event::Seal(seal.clone()), Asker::Client));
        }
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let worker = match &message {
            Message::Granted { worker, .. }
            | Message::Settled { worker, .. }
            | Message::Renewed { worker, .. } => Some(*worker),
            _ => None,
        };
        if let Some(resumes) = worker.map(|index| self.workers[index].resumes)
            && resumes > self.step
        {
            self.messages += 1;
            self.network.insert((resumes, self.messages), message);
            return Ok(());
        }
        match message {
            Message::Propose(event, asker) => self.propose(event, asker),
            Message::Ask { worker, life, asked } => self.lease(worker, life, asked),
            Message::Granted { worker, life, asked, grants } => {
                if self.workers[worker].life == life && self.workers[worker].asked.remove(&asked) {
                    return self.start(worker, asked, &grants);
                }
            }
            Message::Settled { worker, life, attempt } => {
                if self.workers[worker].life == life {
                    self.workers[worker].ended.remove(&attempt);
                }
            }
            Message::Renew { worker, life, closed, attempts } => {
                let now = self.now();
                let name = format!("{worker}#{life}");
                let renewal = Renewal { worker: &name, closed, running: &attempts };
                let renewed = self.leases.renew(&self.state, &renewal, now);
                for attempt in renewed.unsent {
                    let settlements = vec![settlement(attempt, Ending::GivenBack, 0)];
                    self.propose(Event::Settle(Settle { settlements }), Asker::Nobody);
                }
                self.send(Message::Renewed { worker, life, stop: renewed.stop });
            }
            Message::Renewed { worker, life, stop } => {
                if self.workers[worker].life == life {
                    stop.iter()
                        .for_each(|attempt| drop(self.workers[worker].running.remove(attempt)));
                }
            }
            Message::Accepted(name, total) => {
                self.report.accepted += 1;
                let known = *self.accepted.entry(name.clone()).or_insert(total);
                if known != total {
                    return self.violation(format!("job {name:?} was accepted with two bodies"));
                }
            }
        }
        Ok(())
    }

    fn propose(&mut self, event: Event, asker: Asker) {
        let record = Record::new(self.now_ms(), event);
        self.log.push((record, asker));
    }

    fn lease(&mut self, worker: usize, life: u64, asked: Time) {
        if self.busy {
            return;
        }
        let limit = self.random.random_range(1..8);
        let attempts = self.state.pick(TARGET, limit, self.now_ms());
        if attempts.is_empty() {
            return;
        }
        self.busy = true;
        let lease = Lease { worker: format!("{worker}#{life}"), attempts };
        self.propose(Event::Lease(lease), Asker::Lease { worker, life, asked });
    }

    /// Commits some of what is proposed.
    fn commit(&mut self) -> Result<(), Violation> {
        while self.committed < self.log.len() && (self.calm || self.random.random_bool(0.5)) {
            let (record, asker) = self.log[self.committed].clone();
            self.committed += 1;
            let seq = self.committed as u64;
            self.count_late(&record);
            let (outcome, dead) = self.state.apply(seq, &record);
            self.dead.extend(dead);
            self.answer(&record, asker, outcome);
        }
        Ok(())
    }

    fn count_late(&mut self, record: &Record) {
        let Some(Event::Settle(settle)) = &record.event else { return };
        let current = |each: &&Settlement| self.state.is_current(&each.attempt);
        let late = settle.settlements.iter().filter(|each| !current(each)).count();
        self.report.late += late as u64;
    }

    fn answer(&mut self, record: &Record, asker: Asker, outcome: Outcome) {
        let now = self.now();
        match (asker, outcome) {
            (Asker::Lease { worker, life, asked }, Outcome::Leased(grants)) => {
                self.busy = false;
                for grant in &grants {
                    let ask = Some((format!("{worker}#{life}"), asked.0));
                    self.leases.granted(grant.attempt, ask, now);
                }
                self.send(Message::Granted { worker, life, asked, grants });
            }
            (Asker::Settle { worker, life, attempt }, _) => {
                self.send(Message::Settled { worker, life, attempt });
            }
            (Asker::Own, _) => self.own_busy = false,
            (Asker::Client, Outcome::Accepted { total, .. }) => match &record.event {
                Some(Event::Seal(seal)) => self.send(Message::Accepted(seal.name.clone(), total)),
                Some(Event::Cancel(name)) => {
                    let id = self.state.job(name).expect("it was just found").id();
                    self.held.push((self.leases.quiet_from(id.0), id));
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// The primary's own work.
    fn lead(&mut self) {
        let now = self.now();
        for (from, id) in std::mem::take(&mut self.held) {
            if from.passed(now) {
                // From here on the client may know.
                self.report.cancelled += 1;
                self.stopped.insert(id);
            } else {
                self.held.push((from, id));
            }
        }
        if self.own_busy || !self.step.is_multiple_of(5) {
            return;
        }
        let attempts = self.leases.expired(&self.state, now);
        let event = if attempts.is_empty() {
            self.state.due(self.now_ms()).map(Event::Sweep)
        } else {
            Some(Event::Expire(Expire { attempts }))
        };
        if let Some(event) = event {
            self.own_busy = true;
            self.propose(event, Asker::Own);
        }
    }

    /// A worker starts what it may; its answers are decided at once.
    fn start(&mut self, worker: usize, asked: Time, grants: &[Grant]) -> Result<(), Violation> {
        let start_by = asked.after(START_WINDOW);
        for grant in grants {
            let attempt = grant.attempt;
            let known = &self.workers[worker];
            if known.running.contains_key(&attempt) || known.ended.contains_key(&attempt) {
                continue;
            }
            if start_by.passed(self.now()) {
                let late = settlement(attempt, Ending::GivenBack, 0);
                self.workers[worker].ended.insert(attempt, late);
                continue;
            }
            self.check_start(&attempt)?;
            let ended = self.run(&attempt);
            let at = self.step + self.random.random_range(1..60);
            self.workers[worker].running.insert(attempt, (at, ended));
        }
        Ok(())
    }

    fn check_start(&mut self, attempt: &Attempt) -> Result<(), Violation> {
        self.report.started += 1;
        let id = JobId(attempt.job);
        if self.stopped.contains(&id) {
            return self.violation(format!("{attempt:?} started after its job's cancellation"));
        }
        let starts = self.starts.entry((attempt.job, attempt.item)).or_default();
        *starts += 1;
        let starts = *starts;
        let idempotent = self.state.job_by_id(id).is_none_or(|job| job.seal().idempotent);
        if !idempotent && starts > 1 {
            return self.violation(format!("{attempt:?} was sent {starts} times"));
        }
        Ok(())
    }

    /// How an attempt ends at its upstream; every eleventh item crashes it.
    fn run(&mut self, attempt: &Attempt) -> Settlement {
        if attempt.item % 11 == 10 {
            return settlement(*attempt, Ending::UpstreamLost, 0);
        }
        let ending = match self.random.random_range(0..20) {
            0 => Ending::UpstreamLost,
            1 => Ending::Failed,
            2 => Ending::Interrupted,
            _ => Ending::Done,
        };
        settlement(*attempt, ending, self.random.random())
    }

    fn work(&mut self, index: usize) {
        if self.workers[index].resumes > self.step {
            return;
        }
        let (step, life) = (self.step, self.workers[index].life);
        let worker = &mut self.workers[index];
        let over = worker.running.iter().filter(|(_, (at, _))| *at <= step);
        let over: Vec<_> = over.map(|(attempt, (_, ended))| (*attempt, ended.clone())).collect();
        over.iter().for_each(|(attempt, _)| drop(worker.running.remove(attempt)));
        for (attempt, ended) in &over {
            if attempt.item % 11 == 10 && ended.ending() == Ending::UpstreamLost {
                *self.losses.entry((attempt.job, attempt.item)).or_default() += 1;
            }
        }
        worker.ended.extend(over);
        if step % 10 == index as u64 {
            let ended: Vec<Settlement> = worker.ended.values().cloned().collect();
            for each in ended {
                let attempt = each.attempt;
                let settle = Event::Settle(Settle { settlements: vec![each] });
                self.send(Message::Propose(settle, Asker::Settle { worker: index, life, attempt }));
            }
        }
        if step % RENEW_STEPS == index as u64 {
            let now = self.now();
            let worker = &mut self.workers[index];
            worker.asked.retain(|asked| !asked.after(START_WINDOW).passed(now));
            let closed = worker.asked.first().map_or(now.0, |open| open.0) - 1;
            let attempts = worker.running.keys().chain(worker.ended.keys()).copied().collect();
            self.send(Message::Renew { worker: index, life, closed, attempts });
        }
        if self.workers[index].running.len() < 8 {
            let asked = self.now();
            self.workers[index].asked.insert(asked);
            self.send(Message::Ask { worker: index, life, asked });
        }
    }

    /// A reader compares what it sees with all that was read before.
    fn read(&mut self) -> Result<(), Violation> {
        let name = self.name();
        let Some(job) = self.state.job(&name) else { return Ok(()) };
        let (id, slots) = (job.id(), job.slots().to_vec());
        let before = self.read.entry(id).or_default();
        if slots.len() < before.len() || slots[..before.len()] != before[..] {
            return self.violation(format!("results of {name:?} changed after they were read"));
        }
        *before = slots;
        Ok(())
    }

    fn fault(&mut self) {
        let index = self.random.random_range(0..WORKERS);
        match self.random.random_range(0..1_000) {
            0..3 => {
                let life = self.workers[index].life + 1;
                // It can't tell any more of the upstreams that were lost.
                for attempt in self.workers[index].ended.keys() {
                    if let Some(losses) = self.losses.get_mut(&(attempt.job, attempt.item)) {
                        *losses -= 1;
                    }
                }
                self.workers[index] = Worker { life, ..Worker::default() };
                self.report.deaths += 1;
            }
            3..8 => {
                let span = self.random.random_range(1..MAX_PAUSE_STEPS);
                self.workers[index].resumes = self.step + span;
            }
            8..11 => self.change_primary(),
            _ => {}
        }
    }

    /// Another primary takes over: some of what isn't committed is lost, and
    /// nobody is answered for the rest.
    fn change_primary(&mut self) {
        let kept = self.random.random_range(self.committed..=self.log.len());
        self.log.truncate(kept);
        self.log[self.committed..].iter_mut().for_each(|(_, asker)| *asker = Asker::Nobody);
        self.leases = Leases::new(&self.state, self.now());
        (self.busy, self.own_busy) = (false, false);
        self.held.clear();
        self.report.primaries += 1;
    }

    /// Ends all faults and expects every job to end, with each item complete
    /// exactly once and the same state after a replay of the compacted log.
    fn finish(&mut self) -> Result<(), Violation> {
        self.calm = true;
        self.workers.iter_mut().for_each(|worker| worker.resumes = 0);
        for _ in 0..CALM_STEPS {
            self.advance()?;
        }
        let jobs: Vec<(Name, u32)> = self.accepted.clone().into_iter().collect();
        for (name, total) in jobs {
            self.check_job(&name, total)?;
        }
        if let Some((item, losses)) = self.losses.iter().find(|(_, losses)| **losses > MAX_LOSSES) {
            return self.violation(format!("{item:?} took down {losses} upstreams"));
        }
        self.check_replay()
    }

    fn check_job(&mut self, name: &Name, total: u32) -> Result<(), Violation> {
        let Some(job) = self.state.job(name) else {
            return self.violation(format!("the accepted job {name:?} is lost"));
        };
        let items: BTreeSet<u32> = job.slots().iter().map(|slot| slot.item).collect();
        let (complete, slots) = (items.len(), job.slots().len());
        if job.phase() == Phase::Running || complete != total as usize || slots != complete {
            let seen = format!("{name:?}: {complete} of {total} items in {slots} results");
            return self.violation(seen);
        }
        self.report.completed += u64::from(total);
        Ok(())
    }

    fn check_replay(&self) -> Result<(), Violation> {
        let mut replayed = State::default();
        for (index, (record, _)) in self.log[..self.committed].iter().enumerate() {
            let seq = index as u64 + 1;
            if self.dead.contains(&seq) {
                continue;
            }
            let bytes = record.encode_to_vec();
            let record = Record::decode(bytes.as_slice()).expect("just encoded");
            replayed.apply(seq, &record);
        }
        for name in self.accepted.keys() {
            let slots = |state: &State| state.job(name).map(|job| job.slots().to_vec());
            if slots(&replayed) != slots(&self.state) {
                return self.violation(format!("a replay gives {name:?} other results"));
            }
        }
        Ok(())
    }
}

fn settlement(attempt: Attempt, ending: Ending, number: u64) -> Settlement {
    let body = Bytes::copy_from_slice(&number.to_le_bytes());
    Settlement { attempt, ending: ending.into(), status: 200, body }
}

// A lease must outlive its start window, or an item could be given to a second
// worker while the first may still start it.
const _: () = assert!(LEASE.as_millis() > START_WINDOW.as_millis());
