//! The engine: a thread that owns the disk and all segments of a store.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot};

use super::command::{Command, Output, Responder};
use super::page::Reader;
use super::segment::{Completion, Segment, Waiter};
use crate::batch::Renewal;
use crate::batch::record::{
    self, Attempt, AttemptOutcome, Event, Expire, Record, Settle, Settlement,
};
use crate::clock::{Clock, Time};
use crate::error::{Error, Kind, Result};
use crate::segment::{Append, Appended, Disk, Replica, SegmentId, Transfer, Write};
use crate::wire::batch::{Leased, Operation, Renew, Reply};

/// Maximum number of commands that share one fsync.
const MAX_ROUND_COMMANDS: usize = 1_024;
/// Maximum size of the entries in one append message, in bytes.
const MAX_APPEND_BYTES: usize = 4 << 20;
/// Interval between searches for expired leases and overdue or old jobs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of results per page.
const MAX_PAGE_RESULTS: u32 = 1_000;
/// Maximum number of items per lease.
const MAX_LEASE_ITEMS: u32 = 256;

/// Owner of the disk and all segments of a store.
pub struct Engine {
    disk: Disk,
    own: Replica,
    clock: Arc<dyn Clock>,
    segments: Vec<Segment>,
    reader: Reader,
    outputs: mpsc::UnboundedSender<Output>,
    /// Responses to primaries, sent after the fsync of this round.
    appended: Vec<(oneshot::Sender<Appended>, Appended)>,
}

impl Engine {
    /// Loads all segments from disk, verifying every entry.
    pub fn new(
        disk: Disk,
        own: Replica,
        clock: Arc<dyn Clock>,
        outputs: mpsc::UnboundedSender<Output>,
    ) -> Result<Self> {
        let now = clock.now();
        let segments = load(&disk, &own, now)?;
        let reader = Reader::new();
        Ok(Self { disk, own, clock, segments, reader, outputs, appended: Vec::new() })
    }

    /// Handles commands until the channel closes or `Stop` is received.
    pub fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        self.process_commands(&mut commands);
        // Closes the disk first: `Store::stop` returns when the channel closes.
        drop(self);
        drop(commands);
    }

    fn process_commands(&mut self, commands: &mut mpsc::Receiver<Command>) {
        while let Some(first) = commands.blocking_recv() {
            let mut round = vec![first];
            while round.len() < MAX_ROUND_COMMANDS {
                let Ok(next) = commands.try_recv() else { break };
                round.push(next);
            }
            for command in round {
                if matches!(command, Command::Stop) {
                    return;
                }
                self.handle(command);
            }
            self.commit_round();
            while self.segments.iter().any(|segment| !segment.proposals.is_empty()) {
                self.commit_round();
            }
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Append(id, append, responder) => {
                let segment = &mut self.segments[id.0 as usize];
                let (answer, actions) = segment.machine.append(append, now);
                segment.actions.merge(actions);
                self.appended.push((responder, answer));
            }
            Command::Appended(id, answer) => {
                let segment = &mut self.segments[id.0 as usize];
                let actions = segment.machine.appended(answer, now);
                segment.actions.merge(actions);
            }
            Command::Adopt(id, set) => {
                let segment = &mut self.segments[id.0 as usize];
                let actions = segment.machine.adopt(set, now);
                segment.actions.merge(actions);
            }
            Command::SetSpares(id, spares) => {
                self.segments[id.0 as usize].machine.set_spares(spares);
            }
            Command::Ask(id, operation, any_member, responder) => {
                self.ask(id, operation, any_member, responder, now);
            }
            Command::Sets(responder) => {
                let sets =
                    self.segments.iter().map(|segment| segment.machine.set().clone()).collect();
                let _ = responder.send(sets);
            }
            Command::Tick => self.segments.iter_mut().for_each(|segment| tick(segment, now)),
            Command::Stop => {}
        }
    }

    fn ask(
        &mut self,
        id: SegmentId,
        operation: Operation,
        any_member: bool,
        responder: Responder,
        now: Time,
    ) {
        let segment = &mut self.segments[id.0 as usize];
        let read = any_member
            && matches!(
                operation,
                Operation::Status(_) | Operation::List(_) | Operation::Results(_)
            );
        let can_answer = segment.machine.accepts() || (read && segment.machine.is_member());
        if !can_answer {
            let primary = segment.machine.set().primary().filter(|replica| **replica != self.own);
            let primary = primary.map_or(String::new(), |replica| replica.vm.as_str().into());
            let _ = responder.send(Ok(Reply::Redirect(primary)));
            return;
        }
        match operation {
            Operation::Commit(mut record) => {
                record.now_ms = unix_ms();
                segment.propose(&record, Waiter::Caller(responder));
            }
            Operation::Lease(lease) => {
                segment.lease_requests.push_back((lease, responder));
                propose_lease(segment);
            }
            Operation::Renew(renewal) => {
                let stop = renew(segment, &renewal, now);
                let renewed = Renew { attempts: stop, ..Renew::default() };
                let _ = responder.send(Ok(Reply::Stop(renewed)));
            }
            Operation::Status(_) | Operation::List(_) | Operation::Results(_) => {
                let reply = self.read(id, operation);
                let _ = responder.send(reply);
            }
        }
    }

    fn read(&mut self, id: SegmentId, operation: Operation) -> Result<Reply> {
        let segment = &self.segments[id.0 as usize];
        let unknown = || Error::new(Kind::NotFound, "no such job");
        match operation {
            Operation::Status(name) => {
                let progress = segment.state.job(&name).ok_or_else(unknown)?.progress();
                Ok(json_reply(&progress))
            }
            Operation::List(organisation) => Ok(json_reply(&segment.state.list(&organisation))),
            Operation::Results(wanted) => {
                let job = segment.state.job(&wanted.name).ok_or_else(unknown)?;
                let limit = wanted.limit.min(MAX_PAGE_RESULTS);
                let page = self.reader.page(&self.disk, id, job, wanted.after, limit)?;
                Ok(Reply::Page(page))
            }
            _ => Err(Error::new(Kind::Internal, "not a read")),
        }
    }

    /// Writes the changes of the round to disk, then sends replies and messages.
    fn commit_round(&mut self) {
        let now = self.clock.now();
        self.segments.iter_mut().for_each(|segment| segment.propose_queued(now));
        let (indices, writes): (Vec<usize>, Vec<Write>) = self
            .segments
            .iter_mut()
            .enumerate()
            .filter_map(|(index, segment)| Some((index, segment.take_write()?)))
            .unzip();
        if !writes.is_empty() {
            match self.disk.write(&writes) {
                Ok(bases) => {
                    for (index, base) in indices.into_iter().zip(bases) {
                        self.segments[index].write_completed(base);
                    }
                }
                Err(error) => return self.recover(error, now),
            }
        }
        for (responder, answer) in self.appended.drain(..) {
            let _ = responder.send(answer);
        }
        if let Err(error) = self.send_replies(now) {
            self.recover(error, now);
        }
    }

    fn send_replies(&mut self, now: Time) -> Result<()> {
        for index in 0..self.segments.len() {
            self.send(index)?;
            let segment = &mut self.segments[index];
            segment.update_role(now);
            let completions = segment.apply_committed(&self.disk, now)?;
            segment.update_role(now);
            let id = segment.id;
            for Completion { waiter, outcome } in completions {
                let Waiter::Caller(responder) = waiter else { continue };
                let state = &self.segments[index].state;
                let _ = responder.send(self.reader.reply(&self.disk, id, state, outcome));
            }
            let segment = &mut self.segments[index];
            propose_lease(segment);
            for delayed in std::mem::take(&mut segment.delayed_replies) {
                if delayed.0.passed(now) {
                    let _ = delayed.1.send(Ok(delayed.2));
                } else {
                    segment.delayed_replies.push(delayed);
                }
            }
        }
        Ok(())
    }

    fn send(&mut self, index: usize) -> Result<()> {
        let segment = &mut self.segments[index];
        if let Some(set) = segment.actions.swap.take() {
            let _ = self.outputs.send(Output::Swap(segment.id, set));
        }
        for transfer in std::mem::take(&mut segment.actions.sends) {
            if let Some(append) = read_entries(&self.disk, segment, transfer)? {
                let _ = self.outputs.send(Output::Send(segment.id, append));
            }
        }
        Ok(())
    }

    /// Handles a failed disk operation. Memory may be ahead of the disk, so all
    /// pending replies fail and the segments are reloaded from disk.
    fn recover(&mut self, error: Error, now: Time) {
        let _ = self.outputs.send(Output::DiskFailed(error.detail.clone()));
        self.appended.clear();
        self.reader.clear();
        for segment in &mut self.segments {
            segment.fail_waiters();
        }
        if let Ok(segments) = load(&self.disk, &self.own, now) {
            self.segments = segments;
        }
    }
}

fn load(disk: &Disk, own: &Replica, now: Time) -> Result<Vec<Segment>> {
    SegmentId::all().map(|id| Segment::load(disk, id, own.clone(), now)).collect()
}

fn read_entries(disk: &Disk, segment: &Segment, transfer: Transfer) -> Result<Option<Append>> {
    // The replica set may have changed, or the log been compacted, since the request.
    let current = transfer.epoch == segment.machine.set().epoch;
    if !current || transfer.previous.seq < segment.machine.base().seq {
        return Ok(None);
    }
    let from = transfer.previous.seq + 1;
    let entries = if from <= transfer.through {
        disk.read(segment.id, from, transfer.through, MAX_APPEND_BYTES)?
    } else {
        Vec::new()
    };
    Ok(Some(Append {
        set: segment.machine.set().clone(),
        to: transfer.to,
        previous: transfer.previous,
        entries,
        commit: transfer.commit,
        reset: transfer.reset,
    }))
}

fn tick(segment: &mut Segment, now: Time) {
    let actions = segment.machine.tick(now);
    segment.actions.merge(actions);
    if segment.maintenance_pending || !segment.machine.accepts() || !segment.next_sweep.passed(now)
    {
        return;
    }
    segment.next_sweep = now.after(SWEEP_INTERVAL);
    let Some(leases) = &mut segment.leases else { return };
    let attempts = leases.expired(&segment.state, now);
    let now_ms = unix_ms();
    let event = if attempts.is_empty() {
        segment.state.due_sweep(now_ms).map(Event::Sweep)
    } else {
        Some(Event::Expire(Expire { attempts }))
    };
    if let Some(event) = event {
        segment.maintenance_pending = true;
        segment.propose(&Record::new(now_ms, event), Waiter::Maintenance);
    }
}

/// Renews a worker's leases and returns the attempts that it should stop.
/// Leases whose reply never reached the worker are returned to the queue.
fn renew(segment: &mut Segment, renew: &Renew, now: Time) -> Vec<Attempt> {
    let Some(leases) = &mut segment.leases else { return Vec::new() };
    let Renew { worker, closed, attempts } = renew;
    let renewal = Renewal { worker, closed: *closed, running: attempts };
    let renewed = leases.renew(&segment.state, &renewal, now);
    for attempt in renewed.undelivered {
        let outcome = AttemptOutcome::NotSent.into();
        let settlement = Settlement { attempt, outcome, ..Settlement::default() };
        let settle = Event::Settle(Settle { settlements: vec![settlement] });
        segment.propose(&Record::new(unix_ms(), settle), Waiter::Nobody);
    }
    renewed.stop
}

/// Proposes the next lease once the preceding one has been applied.
fn propose_lease(segment: &mut Segment) {
    while !segment.lease_pending {
        let Some((lease, responder)) = segment.lease_requests.pop_front() else { return };
        let now_ms = unix_ms();
        let limit = lease.limit.min(MAX_LEASE_ITEMS) as usize;
        let attempts = match segment.leases {
            Some(_) => segment.state.pick(&lease.target, limit, now_ms),
            None => Vec::new(),
        };
        if attempts.is_empty() {
            let _ = responder.send(Ok(Reply::Leased(Leased::default())));
            continue;
        }
        let event = Event::Lease(record::Lease { worker: lease.worker.clone(), attempts });
        segment.lease_pending = true;
        let waiter = Waiter::Lease(lease.worker, lease.sequence, responder);
        segment.propose(&Record::new(now_ms, event), waiter);
    }
}

fn json_reply<T>(value: &T) -> Reply
where
    T: serde::Serialize,
{
    Reply::Json(serde_json::to_vec(value).expect("a reply serializes to JSON").into())
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
