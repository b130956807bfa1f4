//! The engine: one thread that owns the disk and all segments of a store.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot};

use super::command::{Command, Output, Responder};
use super::page::Reader;
use super::part::{Part, Ready, Waiter};
use crate::batch::Renewal;
use crate::batch::record::{
    self, Attempt, AttemptOutcome, Event, Expire, Record, Settle, Settlement,
};
use crate::clock::{Clock, Time};
use crate::error::{Error, Kind, Result};
use crate::segment::{Append, Appended, Disk, Replica, SegmentId, Transfer, Write};
use crate::wire::batch::{Leased, Operation, Renew, Reply};

/// Commands that share one fsync.
const ROUND: usize = 1_024;
/// Bytes of entries in one message.
const SEND_BYTES: usize = 4 << 20;
/// Pause between looks for void leases and old jobs.
const SWEEP_PAUSE: Duration = Duration::from_millis(100);
/// Most results in one page.
const PAGE_LIMIT: u32 = 1_000;
/// Most items that one lease gives.
const LEASE_LIMIT: u32 = 256;

/// Owns the disk and all segments.
pub struct Engine {
    disk: Disk,
    own: Replica,
    clock: Arc<dyn Clock>,
    parts: Vec<Part>,
    reader: Reader,
    outputs: mpsc::UnboundedSender<Output>,
    /// Answers to primaries that wait for this round's fsync.
    appended: Vec<(oneshot::Sender<Appended>, Appended)>,
}

impl Engine {
    /// Reads every segment, verifying all entries.
    pub fn new(
        disk: Disk,
        own: Replica,
        clock: Arc<dyn Clock>,
        outputs: mpsc::UnboundedSender<Output>,
    ) -> Result<Self> {
        let now = clock.now();
        let parts = load(&disk, &own, now)?;
        let reader = Reader::new();
        Ok(Self { disk, own, clock, parts, reader, outputs, appended: Vec::new() })
    }

    /// Handles commands until the channel closes or `Stop` comes.
    pub fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        self.serve(&mut commands);
        // The disk is closed before whoever waits for the end hears of it.
        drop(self);
        drop(commands);
    }

    fn serve(&mut self, commands: &mut mpsc::Receiver<Command>) {
        while let Some(first) = commands.blocking_recv() {
            let mut round = vec![first];
            while round.len() < ROUND {
                let Ok(next) = commands.try_recv() else { break };
                round.push(next);
            }
            for command in round {
                if matches!(command, Command::Stop) {
                    return;
                }
                self.handle(command);
            }
            self.finish_round();
            while self.parts.iter().any(|part| !part.proposals.is_empty()) {
                self.finish_round();
            }
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Append(segment, append, responder) => {
                let part = &mut self.parts[segment.0 as usize];
                let (answer, step) = part.machine.append(append, now);
                part.step.merge(step);
                self.appended.push((responder, answer));
            }
            Command::Appended(segment, answer) => {
                let part = &mut self.parts[segment.0 as usize];
                let step = part.machine.appended(answer, now);
                part.step.merge(step);
            }
            Command::Adopt(segment, set) => {
                let part = &mut self.parts[segment.0 as usize];
                let step = part.machine.adopt(set, now);
                part.step.merge(step);
            }
            Command::SetSpares(segment, spares) => {
                self.parts[segment.0 as usize].machine.set_spares(spares);
            }
            Command::Ask(segment, ask, any_member, responder) => {
                self.ask(segment, ask, any_member, responder, now);
            }
            Command::Sets(responder) => {
                let sets = self.parts.iter().map(|part| part.machine.set().clone()).collect();
                let _ = responder.send(sets);
            }
            Command::Tick => self.parts.iter_mut().for_each(|part| tick(part, now)),
            Command::Stop => {}
        }
    }

    fn ask(
        &mut self,
        segment: SegmentId,
        ask: Operation,
        any_member: bool,
        responder: Responder,
        now: Time,
    ) {
        let part = &mut self.parts[segment.0 as usize];
        let read = any_member
            && matches!(ask, Operation::Status(_) | Operation::List(_) | Operation::Results(_));
        let answers = part.machine.accepts() || (read && part.machine.is_member());
        if !answers {
            let primary = part.machine.set().primary().filter(|each| **each != self.own);
            let primary = primary.map_or(String::new(), |each| each.vm.as_str().into());
            let _ = responder.send(Ok(Reply::Redirect(primary)));
            return;
        }
        match ask {
            Operation::Commit(mut record) => {
                record.now_ms = wall_ms();
                part.propose(&record, Waiter::Caller(responder));
            }
            Operation::Lease(lease) => {
                part.lease_asks.push_back((lease, responder));
                lease_next(part);
            }
            Operation::Renew(renew_ask) => {
                let stop = renew(part, &renew_ask, now);
                let renewed = Renew { attempts: stop, ..Renew::default() };
                let _ = responder.send(Ok(Reply::Stop(renewed)));
            }
            Operation::Status(_) | Operation::List(_) | Operation::Results(_) => {
                let reply = self.read(segment, ask);
                let _ = responder.send(reply);
            }
        }
    }

    fn read(&mut self, segment: SegmentId, ask: Operation) -> Result<Reply> {
        let part = &self.parts[segment.0 as usize];
        let unknown = || Error::new(Kind::NotFound, "no such job");
        match ask {
            Operation::Status(name) => {
                let progress = part.state.job(&name).ok_or_else(unknown)?.progress();
                Ok(json(&progress))
            }
            Operation::List(organisation) => Ok(json(&part.state.list(&organisation))),
            Operation::Results(wanted) => {
                let job = part.state.job(&wanted.name).ok_or_else(unknown)?;
                let limit = wanted.limit.min(PAGE_LIMIT);
                let page = self.reader.page(&self.disk, segment, job, wanted.after, limit)?;
                Ok(Reply::Page(page))
            }
            _ => Err(Error::new(Kind::Internal, "not a read")),
        }
    }

    /// Makes the round durable, then lets everything out.
    fn finish_round(&mut self) {
        let now = self.clock.now();
        self.parts.iter_mut().for_each(|part| part.number(now));
        let (places, writes): (Vec<usize>, Vec<Write>) = self
            .parts
            .iter_mut()
            .enumerate()
            .filter_map(|(place, part)| Some((place, part.take_write()?)))
            .unzip();
        if !writes.is_empty() {
            match self.disk.write(&writes) {
                Ok(bases) => {
                    for (place, base) in places.into_iter().zip(bases) {
                        self.parts[place].written(base);
                    }
                }
                Err(error) => return self.recover(error, now),
            }
        }
        for (responder, answer) in self.appended.drain(..) {
            let _ = responder.send(answer);
        }
        if let Err(error) = self.let_out(now) {
            self.recover(error, now);
        }
    }

    fn let_out(&mut self, now: Time) -> Result<()> {
        for place in 0..self.parts.len() {
            self.send(place)?;
            let part = &mut self.parts[place];
            part.check_role(now);
            let ready = part.apply_committed(&self.disk, now)?;
            part.check_role(now);
            let segment = part.id;
            for Ready { waiter, outcome } in ready {
                let Waiter::Caller(responder) = waiter else { continue };
                let state = &self.parts[place].state;
                let _ = responder.send(self.reader.reply(&self.disk, segment, state, outcome));
            }
            let part = &mut self.parts[place];
            lease_next(part);
            for held in std::mem::take(&mut part.held) {
                if held.0.passed(now) {
                    let _ = held.1.send(Ok(held.2));
                } else {
                    part.held.push(held);
                }
            }
        }
        Ok(())
    }

    fn send(&mut self, place: usize) -> Result<()> {
        let part = &mut self.parts[place];
        if let Some(set) = part.step.swap.take() {
            let _ = self.outputs.send(Output::Swap(part.id, set));
        }
        for send in std::mem::take(&mut part.step.sends) {
            if let Some(append) = read_entries(&self.disk, part, send)? {
                let _ = self.outputs.send(Output::Send(part.id, append));
            }
        }
        Ok(())
    }

    /// The disk refused a write or a read: what is in memory may be ahead of
    /// it, so nothing of this round is answered and everything is read again.
    fn recover(&mut self, error: Error, now: Time) {
        let _ = self.outputs.send(Output::DiskFailed(error.detail.clone()));
        self.appended.clear();
        self.reader.clear();
        for part in &mut self.parts {
            part.abandon();
        }
        if let Ok(parts) = load(&self.disk, &self.own, now) {
            self.parts = parts;
        }
    }
}

fn load(disk: &Disk, own: &Replica, now: Time) -> Result<Vec<Part>> {
    SegmentId::all().map(|id| Part::load(disk, id, own.clone(), now)).collect()
}

fn read_entries(disk: &Disk, part: &Part, send: Transfer) -> Result<Option<Append>> {
    // The set may have changed or the log been compacted since this was asked for.
    let current = send.epoch == part.machine.set().epoch;
    if !current || send.previous.seq < part.machine.base().seq {
        return Ok(None);
    }
    let from = send.previous.seq + 1;
    let entries = if from <= send.through {
        disk.read(part.id, from, send.through, SEND_BYTES)?
    } else {
        Vec::new()
    };
    Ok(Some(Append {
        set: part.machine.set().clone(),
        to: send.to,
        previous: send.previous,
        entries,
        commit: send.commit,
        reset: send.reset,
    }))
}

fn tick(part: &mut Part, now: Time) {
    let step = part.machine.tick(now);
    part.step.merge(step);
    if part.own_busy || !part.machine.accepts() || !part.next_sweep.passed(now) {
        return;
    }
    part.next_sweep = now.after(SWEEP_PAUSE);
    let Some(leases) = &mut part.leases else { return };
    let attempts = leases.expired(&part.state, now);
    let now_ms = wall_ms();
    let event = if attempts.is_empty() {
        part.state.due_sweep(now_ms).map(Event::Sweep)
    } else {
        Some(Event::Expire(Expire { attempts }))
    };
    if let Some(event) = event {
        part.own_busy = true;
        part.propose(&Record::new(now_ms, event), Waiter::Own);
    }
}

/// Renews a worker's leases; gives what it should stop. Leases whose answer
/// was lost are taken back.
fn renew(part: &mut Part, renew: &Renew, now: Time) -> Vec<Attempt> {
    let Some(leases) = &mut part.leases else { return Vec::new() };
    let Renew { worker, closed, attempts } = renew;
    let renewal = Renewal { worker, closed: *closed, running: attempts };
    let renewed = leases.renew(&part.state, &renewal, now);
    for attempt in renewed.undelivered {
        let outcome = AttemptOutcome::NotSent.into();
        let settlement = Settlement { attempt, outcome, ..Settlement::default() };
        let settle = Event::Settle(Settle { settlements: vec![settlement] });
        part.propose(&Record::new(wall_ms(), settle), Waiter::Nobody);
    }
    renewed.stop
}

/// Decides the next lease once the one before it is applied.
fn lease_next(part: &mut Part) {
    while !part.lease_busy {
        let Some((lease, responder)) = part.lease_asks.pop_front() else { return };
        let now_ms = wall_ms();
        let limit = lease.limit.min(LEASE_LIMIT) as usize;
        let attempts = match part.leases {
            Some(_) => part.state.pick(&lease.target, limit, now_ms),
            None => Vec::new(),
        };
        if attempts.is_empty() {
            let _ = responder.send(Ok(Reply::Leased(Leased::default())));
            continue;
        }
        let event = Event::Lease(record::Lease { worker: lease.worker.clone(), attempts });
        part.lease_busy = true;
        let waiter = Waiter::Lease(lease.worker, lease.sequence, responder);
        part.propose(&Record::new(now_ms, event), waiter);
    }
}

fn json<T>(value: &T) -> Reply
where
    T: serde::Serialize,
{
    Reply::Json(serde_json::to_vec(value).expect("plain data").into())
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
