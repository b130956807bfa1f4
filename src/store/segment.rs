//! One segment in the engine.

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

/// Maximum size of the entries read from disk at once, in bytes.
const READ_BYTES: usize = 4 << 20;

/// Who waits for a record to be committed.
pub(super) enum Waiter {
    /// A caller that gets the reply.
    Caller(Responder),
    /// A worker that requested a lease, with the number of its request.
    Lease(String, u64, Responder),
    /// Nobody; the outcome is ignored.
    Nobody,
    /// The engine itself, for a record about expired leases or overdue or old jobs.
    Maintenance,
}

/// A segment: its log, the state derived from it and the waiting requests.
pub(super) struct Segment {
    pub(super) id: SegmentId,
    pub(super) machine: Machine,
    pub(super) state: State,
    pub(super) leases: Option<Leases>,
    pub(super) applied: u64,
    /// Encoded records to propose at the end of this round.
    pub(super) proposals: Vec<(Bytes, Waiter)>,
    pub(super) waiters: BTreeMap<u64, Waiter>,
    pub(super) lease_requests: VecDeque<(crate::wire::batch::Lease, Responder)>,
    pub(super) lease_pending: bool,
    pub(super) maintenance_pending: bool,
    /// When to search next for expired leases and overdue or old jobs.
    pub(super) next_sweep: Time,
    /// Replies that must not be sent before the given time.
    pub(super) delayed_replies: Vec<(Time, Responder, Reply)>,
    /// Payloads of entries that have not been applied yet, by sequence number.
    unapplied: BTreeMap<u64, Bytes>,
    pub(super) actions: Actions,
    obsolete: Vec<u64>,
}

/// The outcome of a committed record, for which the engine builds the reply.
pub(super) struct Completion {
    pub(super) waiter: Waiter,
    pub(super) outcome: Outcome,
}

impl Segment {
    /// Loads a segment from disk, verifying every entry.
    pub(super) fn load(disk: &Disk, id: SegmentId, own: Replica, now: Time) -> Result<Self> {
        let loaded = disk.load(id)?;
        let mut machine = Machine::new(own, loaded.hard_state, loaded.base, loaded.positions, now);
        machine.restore_commit(loaded.commit);
        let mut segment = Self {
            id,
            applied: machine.base().seq,
            machine,
            state: State::default(),
            leases: None,
            proposals: Vec::new(),
            waiters: BTreeMap::new(),
            lease_requests: VecDeque::new(),
            lease_pending: false,
            maintenance_pending: false,
            next_sweep: Time(0),
            delayed_replies: Vec::new(),
            unapplied: BTreeMap::new(),
            actions: Actions::default(),
            obsolete: Vec::new(),
        };
        segment.apply_committed(disk, now)?;
        Ok(segment)
    }

    /// Queues a record to be proposed in this round.
    pub(super) fn propose(&mut self, record: &Record, waiter: Waiter) {
        self.proposals.push((Bytes::from(record.encode_to_vec()), waiter));
    }

    /// Proposes the queued records, which assigns their sequence numbers.
    pub(super) fn propose_queued(&mut self, now: Time) {
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
        let (first, actions) = self.machine.propose(payloads, now);
        let numbered = (first.seq..).zip(waiters);
        self.waiters.extend(numbered);
        self.actions.merge(actions);
    }

    /// Takes the changes that must be on disk before replies and messages of this round are sent.
    pub(super) fn take_write(&mut self) -> Option<Write> {
        if self.actions.changes.is_empty() && self.obsolete.is_empty() {
            return None;
        }
        let changes = std::mem::take(&mut self.actions.changes);
        for change in &changes {
            self.track_change(change);
        }
        let obsolete = std::mem::take(&mut self.obsolete);
        Some(Write { segment: self.id, changes, obsolete, commit: self.applied })
    }

    fn track_change(&mut self, change: &Change) {
        match change {
            Change::Append(entry) => {
                self.unapplied.insert(entry.position.seq, entry.payload.clone());
            }
            Change::Truncate(from) => {
                self.unapplied.split_off(from);
            }
            Change::Reset(base) => {
                self.unapplied.clear();
                self.state = State::default();
                self.applied = base.seq;
            }
            Change::Adopt(_) | Change::Propose(_) => {}
        }
    }

    /// Records that the write is durable and the log is compacted up to `base`.
    pub(super) fn write_completed(&mut self, base: Position) {
        if base.seq > self.machine.base().seq {
            self.machine.compacted(base);
        }
    }

    /// Fails all waiting requests, because the state in memory is discarded.
    pub(super) fn fail_waiters(&mut self) {
        let proposals = std::mem::take(&mut self.proposals).into_iter().map(|(_, waiter)| waiter);
        let waiters = std::mem::take(&mut self.waiters).into_values();
        let leases = self.lease_requests.drain(..).map(|(_, responder)| Waiter::Caller(responder));
        let delayed =
            self.delayed_replies.drain(..).map(|(_, responder, _)| Waiter::Caller(responder));
        proposals.chain(waiters).chain(leases).chain(delayed).for_each(Waiter::fail);
    }

    /// Creates the leases at a recovered primary; elsewhere drops them and fails
    /// all waiting requests.
    pub(super) fn update_role(&mut self, now: Time) {
        if self.machine.is_primary() {
            let recovered = self.machine.recovered() && self.applied >= self.machine.commit();
            if recovered && self.leases.is_none() {
                self.leases = Some(Leases::new(&self.state, now));
            }
            return;
        }
        self.leases = None;
        self.lease_pending = false;
        self.maintenance_pending = false;
        self.fail_waiters();
    }

    /// Applies all committed entries and returns the outcomes that are waited
    /// for. Once a cancellation is acknowledged no item may start, so its reply
    /// may be delayed.
    pub(super) fn apply_committed(&mut self, disk: &Disk, now: Time) -> Result<Vec<Completion>> {
        let mut completions = Vec::new();
        while self.applied < self.machine.commit() {
            let seq = self.applied + 1;
            if !self.unapplied.contains_key(&seq) {
                let through = self.machine.commit();
                for entry in disk.read(self.id, seq, through, READ_BYTES)? {
                    self.unapplied.insert(entry.position.seq, entry.payload);
                }
            }
            let payload = self.unapplied.remove(&seq).ok_or_else(|| missing_entry(seq))?;
            self.applied = seq;
            let (outcome, start_deadline) = self.apply(seq, &payload, now)?;
            match self.waiters.remove(&seq) {
                Some(Waiter::Maintenance) => self.maintenance_pending = false,
                Some(Waiter::Nobody) | None => {}
                Some(Waiter::Lease(worker, request, responder)) => {
                    self.lease_pending = false;
                    self.record_worker(&outcome, &worker, request, now);
                    let waiter = Waiter::Caller(responder);
                    completions.push(Completion { waiter, outcome });
                }
                Some(Waiter::Caller(responder)) if !start_deadline.passed(now) => {
                    // Until then an earlier lease may still start an item of the cancelled job.
                    self.delayed_replies.push((start_deadline, responder, Reply::Done(())));
                }
                Some(waiter) => completions.push(Completion { waiter, outcome }),
            }
        }
        Ok(completions)
    }

    fn apply(&mut self, seq: u64, payload: &Bytes, now: Time) -> Result<(Outcome, Time)> {
        if payload.is_empty() {
            return Ok((Outcome::Done, now)); // compacted
        }
        let record = Record::decode(payload.clone())
            .map_err(|error| Error::new(Kind::Internal, format!("record {seq}: {error}")))?;
        let (outcome, obsolete) = self.state.apply(seq, &record);
        self.obsolete.extend(obsolete);
        if let (Outcome::Leased(grants), Some(leases)) = (&outcome, &mut self.leases) {
            grants.iter().for_each(|grant| leases.grant(grant.attempt, None, now));
        }
        let Some(Event::Cancel(name)) = &record.event else { return Ok((outcome, now)) };
        let Some(job) = self.state.job(name).map(Job::id) else { return Ok((outcome, now)) };
        let start_deadline = self.leases.as_ref().map(|leases| leases.start_deadline(job.0));
        Ok((outcome, start_deadline.unwrap_or(now.after(START_WINDOW))))
    }
}

impl Segment {
    /// Records the worker to which the attempts were granted.
    fn record_worker(&mut self, outcome: &Outcome, worker: &str, request: u64, now: Time) {
        let (Outcome::Leased(grants), Some(leases)) = (outcome, &mut self.leases) else { return };
        for grant in grants {
            leases.grant(grant.attempt, Some((worker.to_owned(), request)), now);
        }
    }
}

impl Waiter {
    /// Fails the waiting request, because the outcome of its record isn't known here.
    pub(super) fn fail(self) {
        if let Waiter::Caller(responder) | Waiter::Lease(_, _, responder) = self {
            let detail = "the segment can't commit at present";
            let _ = responder.send(Err(Error::new(Kind::StoreUnavailable, detail)));
        }
    }
}

fn missing_entry(seq: u64) -> Error {
    Error::new(Kind::Internal, format!("entry {seq} of the log is missing"))
}
