//! One segment within the engine.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use prost::Message;

use super::command::Responder;
use crate::batch::record::{Event, Record};
use crate::batch::{Job, Leases, Outcome, START_WINDOW, State};
use crate::clock::Time;
use crate::error::{Error, Kind, Result};
use crate::segment::{Actions, Change, Disk, Machine, Position, Replica, SegmentId, Write};
use crate::wire::batch::Reply;

/// Bytes that are read from disk at once.
const READ_BYTES: usize = 4 << 20;

/// What waits for a record to commit.
pub(super) enum Waiter {
    /// A caller.
    Caller(Responder),
    /// A worker that wants items, and the number of its ask.
    Lease(String, u64, Responder),
    /// Nobody.
    Nobody,
    /// The engine itself, about void leases or old jobs.
    Own,
}

/// A segment: its log, the state that follows, and who waits.
pub(super) struct Part {
    pub(super) id: SegmentId,
    pub(super) machine: Machine,
    pub(super) state: State,
    pub(super) leases: Option<Leases>,
    pub(super) applied: u64,
    /// Records to propose at the end of this round.
    pub(super) proposals: Vec<(Bytes, Waiter)>,
    pub(super) waiting: BTreeMap<u64, Waiter>,
    pub(super) lease_asks: VecDeque<(crate::wire::batch::Lease, Responder)>,
    pub(super) lease_busy: bool,
    pub(super) own_busy: bool,
    /// When void leases and old jobs are looked for next.
    pub(super) next_sweep: Time,
    /// Answers that may go out only later.
    pub(super) held: Vec<(Time, Responder, Reply)>,
    /// Payloads of entries that aren't applied yet.
    recent: BTreeMap<u64, Bytes>,
    pub(super) step: Actions,
    dead: Vec<u64>,
}

/// An outcome that the engine has to turn into an answer.
pub(super) struct Ready {
    pub(super) waiter: Waiter,
    pub(super) outcome: Outcome,
}

impl Part {
    /// Reads a segment from disk, verifying all of it.
    pub(super) fn load(disk: &Disk, id: SegmentId, own: Replica, now: Time) -> Result<Self> {
        let loaded = disk.load(id)?;
        let mut machine = Machine::new(own, loaded.hard_state, loaded.base, loaded.positions, now);
        machine.restore_commit(loaded.commit);
        let mut part = Self {
            id,
            applied: machine.base().seq,
            machine,
            state: State::default(),
            leases: None,
            proposals: Vec::new(),
            waiting: BTreeMap::new(),
            lease_asks: VecDeque::new(),
            lease_busy: false,
            own_busy: false,
            next_sweep: Time(0),
            held: Vec::new(),
            recent: BTreeMap::new(),
            step: Actions::default(),
            dead: Vec::new(),
        };
        part.apply_committed(disk, now)?;
        Ok(part)
    }

    /// Queues a record for this round.
    pub(super) fn propose(&mut self, record: &Record, waiter: Waiter) {
        self.proposals.push((Bytes::from(record.encode_to_vec()), waiter));
    }

    /// Numbers the queued records.
    pub(super) fn number(&mut self, now: Time) {
        if self.proposals.is_empty() {
            return;
        }
        if !self.machine.accepts() {
            for (_, waiter) in self.proposals.drain(..) {
                waiter.fail();
            }
            return;
        }
        let (payloads, waiters): (Vec<_>, Vec<_>) = self.proposals.drain(..).unzip();
        let (first, step) = self.machine.propose(payloads, now);
        let numbered = (first.seq..).zip(waiters);
        self.waiting.extend(numbered);
        self.step.merge(step);
    }

    /// What must be on disk before anything of this round goes out.
    pub(super) fn take_write(&mut self) -> Option<Write> {
        if self.step.changes.is_empty() && self.dead.is_empty() {
            return None;
        }
        let changes = std::mem::take(&mut self.step.changes);
        for change in &changes {
            self.remember(change);
        }
        let dead = std::mem::take(&mut self.dead);
        Some(Write { segment: self.id, changes, dead, commit: self.applied })
    }

    fn remember(&mut self, change: &Change) {
        match change {
            Change::Append(entry) => {
                self.recent.insert(entry.position.seq, entry.payload.clone());
            }
            Change::Truncate(from) => {
                self.recent.split_off(from);
            }
            Change::Reset(base) => {
                self.recent.clear();
                self.state = State::default();
                self.applied = base.seq;
            }
            Change::Adopt(_) | Change::Propose(_) => {}
        }
    }

    /// The write is durable and the log begins at `base` now.
    pub(super) fn written(&mut self, base: Position) {
        if base.seq > self.machine.base().seq {
            self.machine.compacted(base);
        }
    }

    /// Fails everyone who waits: what is in memory is given up.
    pub(super) fn abandon(&mut self) {
        let proposals = std::mem::take(&mut self.proposals).into_iter().map(|(_, waiter)| waiter);
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let asks = self.lease_asks.drain(..).map(|(_, responder)| Waiter::Caller(responder));
        let held = self.held.drain(..).map(|(_, responder, _)| Waiter::Caller(responder));
        proposals.chain(waiting).chain(asks).chain(held).for_each(Waiter::fail);
    }

    /// Gives up waiters once another replica is the primary.
    pub(super) fn check_role(&mut self, now: Time) {
        if self.machine.is_primary() {
            let complete = self.machine.recovered() && self.applied >= self.machine.commit();
            if complete && self.leases.is_none() {
                self.leases = Some(Leases::new(&self.state, now));
            }
            return;
        }
        self.leases = None;
        self.lease_busy = false;
        self.own_busy = false;
        self.abandon();
    }

    /// Applies what is committed. An acknowledged cancellation must mean that
    /// no item starts, so its answer may have to wait. Gives the outcomes that someone waits for.
    pub(super) fn apply_committed(&mut self, disk: &Disk, now: Time) -> Result<Vec<Ready>> {
        let mut ready = Vec::new();
        while self.applied < self.machine.commit() {
            let seq = self.applied + 1;
            if !self.recent.contains_key(&seq) {
                let through = self.machine.commit();
                for entry in disk.read(self.id, seq, through, READ_BYTES)? {
                    self.recent.insert(entry.position.seq, entry.payload);
                }
            }
            let payload = self.recent.remove(&seq).ok_or_else(|| missing(seq))?;
            self.applied = seq;
            let (outcome, quiet_from) = self.apply(seq, &payload, now)?;
            match self.waiting.remove(&seq) {
                Some(Waiter::Own) => self.own_busy = false,
                Some(Waiter::Nobody) | None => {}
                Some(Waiter::Lease(worker, ask, responder)) => {
                    self.lease_busy = false;
                    self.hold(&outcome, &worker, ask, now);
                    let waiter = Waiter::Caller(responder);
                    ready.push(Ready { waiter, outcome });
                }
                Some(Waiter::Caller(responder)) if !quiet_from.passed(now) => {
                    // A cancelled job's last lease may still be started until then.
                    self.held.push((quiet_from, responder, Reply::Done(())));
                }
                Some(waiter) => ready.push(Ready { waiter, outcome }),
            }
        }
        Ok(ready)
    }

    fn apply(&mut self, seq: u64, payload: &Bytes, now: Time) -> Result<(Outcome, Time)> {
        if payload.is_empty() {
            return Ok((Outcome::Done, now)); // compacted away
        }
        let record = Record::decode(payload.clone())
            .map_err(|error| Error::new(Kind::Internal, format!("record {seq}: {error}")))?;
        let (outcome, dead) = self.state.apply(seq, &record);
        self.dead.extend(dead);
        if let (Outcome::Leased(grants), Some(leases)) = (&outcome, &mut self.leases) {
            grants.iter().for_each(|grant| leases.grant(grant.attempt, None, now));
        }
        let Some(Event::Cancel(name)) = &record.event else { return Ok((outcome, now)) };
        let Some(job) = self.state.job(name).map(Job::id) else { return Ok((outcome, now)) };
        let quiet_from = self.leases.as_ref().map(|leases| leases.start_deadline(job.0));
        Ok((outcome, quiet_from.unwrap_or(now.after(START_WINDOW))))
    }
}

impl Part {
    /// Notes to which worker the granted attempts went.
    fn hold(&mut self, outcome: &Outcome, worker: &str, ask: u64, now: Time) {
        let (Outcome::Leased(grants), Some(leases)) = (outcome, &mut self.leases) else { return };
        for grant in grants {
            leases.grant(grant.attempt, Some((worker.to_owned(), ask)), now);
        }
    }
}

impl Waiter {
    /// Tells a caller that the record's fate isn't known here.
    pub(super) fn fail(self) {
        if let Waiter::Caller(responder) | Waiter::Lease(_, _, responder) = self {
            let text = "the segment can't commit at present";
            let _ = responder.send(Err(Error::new(Kind::StoreUnavailable, text)));
        }
    }
}

fn missing(seq: u64) -> Error {
    Error::new(Kind::Internal, format!("entry {seq} of the log is missing"))
}
