//! Simulates batch jobs: clients resend, messages are lost, duplicated and
//! delayed, workers crash and pause, primaries change and jobs are cancelled.
//!
//! The segment is modelled by its guarantees: records commit in a single order,
//! and a change of primary may lose those not yet committed.

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

/// Virtual time per step.
const STEP: Duration = Duration::from_millis(20);
/// Maximum message delay in steps; a few messages take ten times as long.
const MAX_DELAY_STEPS: u64 = 30;
/// Maximum pause of a worker in steps, much longer than a lease.
const MAX_PAUSE_STEPS: u64 = 400;
/// Number of workers.
const WORKERS: usize = 3;
/// Number of distinct job names.
const JOB_NAMES: u32 = 12;
/// Maximum number of items in a job.
const MAX_ITEMS: u32 = 24;
/// Maximum number of upstreams that one item may crash.
const MAX_UPSTREAM_LOSSES: u32 = 2;
/// Fault-free steps at the end of a run, within which every job must end.
const FAULT_FREE_STEPS: u64 = 4_000;
/// Interval between lease renewals, in steps.
const RENEW_INTERVAL_STEPS: u64 = 25;
const TARGET: &str = "model:notes";

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Jobs acknowledged to a client.
    pub accepted: u64,
    /// Items completed.
    pub completed: u64,
    /// Cancellations acknowledged.
    pub cancelled: u64,
    /// Items started at an upstream.
    pub started: u64,
    /// Worker crashes.
    pub deaths: u64,
    /// Changes of primary.
    pub primaries: u64,
    /// Results received for an attempt that was no longer current.
    pub late: u64,
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

#[derive(Clone)]
enum Message {
    /// To the primary: commit this event and reply to the requester.
    Propose(Event, Requester),
    /// To the primary: an incarnation of a worker requests items.
    LeaseRequest {
        worker: usize,
        incarnation: u64,
        requested_at: Time,
    },
    /// To a worker: the leased items.
    LeaseReply {
        worker: usize,
        incarnation: u64,
        requested_at: Time,
        grants: Vec<Grant>,
    },
    SettleReply {
        worker: usize,
        incarnation: u64,
        attempt: Attempt,
    },
    RenewReply {
        worker: usize,
        incarnation: u64,
        stop: Vec<Attempt>,
    },
    RenewRequest {
        worker: usize,
        incarnation: u64,
        closed: u64,
        attempts: Vec<Attempt>,
    },
    /// To a client: the job was accepted, with its number of items.
    Accepted(Name, u32),
}

#[derive(Clone)]
enum Requester {
    Nobody,
    Client,
    Primary,
    Lease { worker: usize, incarnation: u64, requested_at: Time },
    Settle { worker: usize, incarnation: u64, attempt: Attempt },
}

#[derive(Default)]
struct Worker {
    incarnation: u64,
    resumes_at_step: u64,
    /// Times of unanswered lease requests; only the first reply to each counts.
    open_requests: BTreeSet<Time>,
    /// Step at which each running attempt ends, and its settlement.
    running: BTreeMap<Attempt, (u64, Settlement)>,
    /// Ended attempts whose settlement is not known to be committed.
    ended: BTreeMap<Attempt, Settlement>,
}

struct World {
    random: ChaCha8Rng,
    step: u64,
    network: BTreeMap<(u64, u64), Message>,
    last_message: u64,
    log: Vec<(Record, Requester)>,
    committed: usize,
    compacted: BTreeSet<u64>,
    state: State,
    leases: Leases,
    lease_pending: bool,
    primary_record_pending: bool,
    pending_cancellations: Vec<(Time, JobId)>,
    workers: Vec<Worker>,
    accepted_jobs: BTreeMap<Name, u32>,
    cancelled_jobs: BTreeSet<JobId>,
    start_counts: BTreeMap<(u64, u32), u32>,
    upstream_losses: BTreeMap<(u64, u32), u32>,
    read_results: BTreeMap<JobId, Vec<ItemResult>>,
    fault_free: bool,
    report: Report,
}

/// Runs `steps` steps from `seed`, then a fault-free period.
pub fn simulate(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.advance()?;
        world.inject_fault();
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
            last_message: 0,
            log: Vec::new(),
            committed: 0,
            compacted: BTreeSet::new(),
            state,
            leases,
            lease_pending: false,
            primary_record_pending: false,
            pending_cancellations: Vec::new(),
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            accepted_jobs: BTreeMap::new(),
            cancelled_jobs: BTreeSet::new(),
            start_counts: BTreeMap::new(),
            upstream_losses: BTreeMap::new(),
            read_results: BTreeMap::new(),
            fault_free: false,
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
        while let Some(entry) =
            self.network.first_entry().filter(|entry| entry.key().0 <= self.step)
        {
            let message = entry.remove();
            self.deliver(message)?;
        }
        if !self.fault_free && self.random.random_bool(0.02) {
            self.submit();
        }
        if !self.fault_free && self.random.random_bool(0.005) {
            let name = self.random_name();
            self.send(Message::Propose(Event::Cancel(name), Requester::Client));
        }
        self.commit_some()?;
        self.run_primary();
        for index in 0..WORKERS {
            self.run_worker(index);
        }
        self.check_reader()
    }

    fn send(&mut self, message: Message) {
        if !self.fault_free && self.random.random_bool(0.05) {
            return;
        }
        if !self.fault_free && self.random.random_bool(0.05) {
            self.enqueue(message.clone());
        }
        self.enqueue(message);
    }

    fn enqueue(&mut self, message: Message) {
        let long = !self.fault_free && self.random.random_bool(0.03);
        let max_delay_steps = if self.fault_free { 2 } else { MAX_DELAY_STEPS };
        let delay = self.random.random_range(1..=max_delay_steps) * if long { 10 } else { 1 };
        self.last_message += 1;
        self.network.insert((self.step + delay, self.last_message), message);
    }

    fn random_name(&mut self) -> Name {
        let number = self.random.random_range(0..JOB_NAMES);
        Name { organisation: format!("organisation-{}", number % 3), job: format!("job-{number}") }
    }

    /// Uploads and submits a job; every third time on average with another body.
    fn submit(&mut self) {
        let name = self.random_name();
        let body = self.random.random_range(0..3_u8) / 2;
        let upload = format!("{:016x}", self.random.random::<u64>());
        let number: u32 = name.job.trim_start_matches("job-").parse().expect("a number");
        let total = 1 + (number * 7 + u32::from(body)) % MAX_ITEMS;
        let item = |_| Item { custom_id: String::new(), body: Bytes::new() };
        let half = total / 2;
        for (first, count) in [(0, half), (half, total - half)] {
            let items = (0..count).map(item).collect();
            let stage = Stage { upload: upload.clone(), first, items };
            self.enqueue(Message::Propose(Event::Stage(stage), Requester::Nobody));
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
        // Sent twice, as by a client that resends after receiving no reply.
        for _ in 0..2 {
            self.send(Message::Propose(Event::Seal(seal.clone()), Requester::Client));
        }
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let worker = match &message {
            Message::LeaseReply { worker, .. }
            | Message::SettleReply { worker, .. }
            | Message::RenewReply { worker, .. } => Some(*worker),
            _ => None,
        };
        if let Some(resumes_at_step) = worker.map(|index| self.workers[index].resumes_at_step)
            && resumes_at_step > self.step
        {
            self.last_message += 1;
            self.network.insert((resumes_at_step, self.last_message), message);
            return Ok(());
        }
        match message {
            Message::Propose(event, requester) => self.propose(event, requester),
            Message::LeaseRequest { worker, incarnation, requested_at } => {
                self.grant_lease(worker, incarnation, requested_at)
            }
            Message::LeaseReply { worker, incarnation, requested_at, grants } => {
                if self.workers[worker].incarnation == incarnation
                    && self.workers[worker].open_requests.remove(&requested_at)
                {
                    return self.start_items(worker, requested_at, &grants);
                }
            }
            Message::SettleReply { worker, incarnation, attempt } => {
                if self.workers[worker].incarnation == incarnation {
                    self.workers[worker].ended.remove(&attempt);
                }
            }
            Message::RenewRequest { worker, incarnation, closed, attempts } => {
                let now = self.now();
                let name = format!("{worker}#{incarnation}");
                let renewal = Renewal { worker: &name, closed, running: &attempts };
                let renewed = self.leases.renew(&self.state, &renewal, now);
                for attempt in renewed.undelivered {
                    let settlements = vec![settlement(attempt, AttemptOutcome::NotSent, 0)];
                    self.propose(Event::Settle(Settle { settlements }), Requester::Nobody);
                }
                self.send(Message::RenewReply { worker, incarnation, stop: renewed.stop });
            }
            Message::RenewReply { worker, incarnation, stop } => {
                if self.workers[worker].incarnation == incarnation {
                    stop.iter()
                        .for_each(|attempt| drop(self.workers[worker].running.remove(attempt)));
                }
            }
            Message::Accepted(name, total) => {
                self.report.accepted += 1;
                let accepted_total = *self.accepted_jobs.entry(name.clone()).or_insert(total);
                if accepted_total != total {
                    return self
                        .violation(format!("job {name:?} was accepted with two different bodies"));
                }
            }
        }
        Ok(())
    }

    fn propose(&mut self, event: Event, requester: Requester) {
        let record = Record::new(self.now_ms(), event);
        self.log.push((record, requester));
    }

    fn grant_lease(&mut self, worker: usize, incarnation: u64, requested_at: Time) {
        if self.lease_pending {
            return;
        }
        let limit = self.random.random_range(1..8);
        let attempts = self.state.pick(TARGET, limit, self.now_ms());
        if attempts.is_empty() {
            return;
        }
        self.lease_pending = true;
        let lease = Lease { worker: format!("{worker}#{incarnation}"), attempts };
        self.propose(Event::Lease(lease), Requester::Lease { worker, incarnation, requested_at });
    }

    /// Commits a random number of the proposed records.
    fn commit_some(&mut self) -> Result<(), Violation> {
        while self.committed < self.log.len() && (self.fault_free || self.random.random_bool(0.5)) {
            let (record, requester) = self.log[self.committed].clone();
            self.committed += 1;
            let seq = self.committed as u64;
            self.count_late(&record);
            let (outcome, obsolete) = self.state.apply(seq, &record);
            self.compacted.extend(obsolete);
            self.reply(&record, requester, outcome);
        }
        Ok(())
    }

    fn count_late(&mut self, record: &Record) {
        let Some(Event::Settle(settle)) = &record.event else { return };
        let is_current = |settlement: &&Settlement| self.state.is_current(&settlement.attempt);
        let late = settle.settlements.iter().filter(|settlement| !is_current(settlement)).count();
        self.report.late += late as u64;
    }

    fn reply(&mut self, record: &Record, requester: Requester, outcome: Outcome) {
        let now = self.now();
        match (requester, outcome) {
            (Requester::Lease { worker, incarnation, requested_at }, Outcome::Leased(grants)) => {
                self.lease_pending = false;
                for grant in &grants {
                    let ask = Some((format!("{worker}#{incarnation}"), requested_at.0));
                    self.leases.grant(grant.attempt, ask, now);
                }
                self.send(Message::LeaseReply { worker, incarnation, requested_at, grants });
            }
            (Requester::Settle { worker, incarnation, attempt }, _) => {
                self.send(Message::SettleReply { worker, incarnation, attempt });
            }
            (Requester::Primary, _) => self.primary_record_pending = false,
            (Requester::Client, Outcome::Accepted { total, .. }) => match &record.event {
                Some(Event::Seal(seal)) => self.send(Message::Accepted(seal.name.clone(), total)),
                Some(Event::Cancel(name)) => {
                    let id = self.state.job(name).expect("the cancelled job exists").id();
                    self.pending_cancellations.push((self.leases.start_deadline(id.0), id));
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// Acknowledges cancellations and proposes expirations and sweeps.
    fn run_primary(&mut self) {
        let now = self.now();
        for (from, id) in std::mem::take(&mut self.pending_cancellations) {
            if from.passed(now) {
                // From this point on the client may know of the cancellation.
                self.report.cancelled += 1;
                self.cancelled_jobs.insert(id);
            } else {
                self.pending_cancellations.push((from, id));
            }
        }
        if self.primary_record_pending || !self.step.is_multiple_of(5) {
            return;
        }
        let attempts = self.leases.expired(&self.state, now);
        let event = if attempts.is_empty() {
            self.state.due_sweep(self.now_ms()).map(Event::Sweep)
        } else {
            Some(Event::Expire(Expire { attempts }))
        };
        if let Some(event) = event {
            self.primary_record_pending = true;
            self.propose(event, Requester::Primary);
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
