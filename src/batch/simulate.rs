//! Random runs of jobs: clients resend, messages are lost, doubled and late,
//! workers die and pause, primaries change, jobs are cancelled.
//!
//! The segment is modelled by what it guarantees: records commit in one
//! order, and a change of primary may lose those not yet committed.

mod check;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::job::{ItemResult, JobId, Phase};
use super::lease::{LEASE_DURATION, Leases, Renewal, START_WINDOW};
use super::outcome::{Grant, Outcome};
use super::record::{
    Attempt, AttemptOutcome, Event, Expire, Item, Lease, Name, Record, Seal, Settle, Settlement,
    Stage,
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
#[display("step {step}: {detail}")]
pub struct Violation {
    /// When it was noticed.
    pub step: u64,
    /// What was seen.
    pub detail: String,
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
    read: BTreeMap<JobId, Vec<ItemResult>>,
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

    fn violation<T>(&self, detail: String) -> Result<T, Violation> {
        Err(Violation { step: self.step, detail })
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
                for attempt in renewed.undelivered {
                    let settlements = vec![settlement(attempt, AttemptOutcome::NotSent, 0)];
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
                    self.leases.grant(grant.attempt, ask, now);
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
                    self.held.push((self.leases.start_deadline(id.0), id));
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
            self.state.due_sweep(self.now_ms()).map(Event::Sweep)
        } else {
            Some(Event::Expire(Expire { attempts }))
        };
        if let Some(event) = event {
            self.own_busy = true;
            self.propose(event, Asker::Own);
        }
    }
}

fn settlement(attempt: Attempt, outcome: AttemptOutcome, number: u64) -> Settlement {
    let body = Bytes::copy_from_slice(&number.to_le_bytes());
    Settlement { attempt, outcome: outcome.into(), status: 200, body }
}

// A lease must outlive its start window, or an item could be given to a second
// worker while the first may still start it.
const _: () = assert!(LEASE_DURATION.as_millis() > START_WINDOW.as_millis());
