//! Asynchronous side of a store: network calls and timers around the engine.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot};

use super::command::{Command, Output};
use super::engine::Engine;
use super::supervisor::Supervisor;
use crate::context::Context;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::kv::KeyValue;
use crate::segment::{Append, Disk, Replica, SEGMENTS, SegmentId};
use crate::wire::batch::{self, Body, Message, Operation};
use crate::wire::{self, Handler, Peer};

/// Maximum number of commands queued for the engine.
const QUEUE_CAPACITY: usize = 4_096;
/// Interval between ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between reconciliations with the platform's service and the members.
const RECONCILE_PAUSE: Duration = Duration::from_millis(1_000);
/// Timeout of an append message to a replica.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A running store; handles peer messages of the batch area.
#[derive(Debug)]
pub struct Store {
    commands: mpsc::Sender<Command>,
    disk: u64,
}

/// Starts the engine thread, and the store's tasks on the current arbiter.
///
/// `directory` is the data directory, `prefix` the prefix of the fleet's keys. Fails
/// with `Settings` if the directory is missing and with `Internal` if it contains
/// a corrupt entry: a store must not act as a replica of entries it can't read.
pub fn start(
    context: Context,
    directory: &Path,
    prefix: &str,
    key_value: Rc<dyn KeyValue>,
) -> Result<Arc<Store>> {
    let disk = Disk::open(directory, rand::random())?;
    let own = Replica { vm: context.vm.clone(), disk: disk.identity() };
    let (outputs, outgoing) = mpsc::unbounded_channel();
    let engine = Engine::new(disk, own.clone(), context.clock.clone(), outputs)?;
    let (commands, queue) = mpsc::channel(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("segments".into())
        .spawn(move || engine.run(queue))
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    let supervisor =
        Rc::new(Supervisor::new(context, prefix, key_value, commands.clone(), own.clone()));
    actix_rt::spawn(tick(commands.clone()));
    actix_rt::spawn(perform_outputs(supervisor.clone(), commands.clone(), outgoing));
    actix_rt::spawn(async move {
        loop {
            supervisor.reconcile().await;
            actix_rt::time::sleep(RECONCILE_PAUSE).await;
        }
    });
    Ok(Arc::new(Store { commands, disk: own.disk }))
}

async fn tick(commands: mpsc::Sender<Command>) {
    let mut interval = actix_rt::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if commands.send(Command::Tick).await.is_err() {
            return;
        }
    }
}

/// Performs the actions that the engine requests.
async fn perform_outputs(
    supervisor: Rc<Supervisor>,
    commands: mpsc::Sender<Command>,
    mut outputs: mpsc::UnboundedReceiver<Output>,
) {
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Send(segment, append) => {
                actix_rt::spawn(send(supervisor.clone(), commands.clone(), segment, append));
            }
            Output::Swap(segment, set) => {
                let supervisor = supervisor.clone();
                actix_rt::spawn(async move { supervisor.swap(segment, set).await });
            }
            Output::DiskFailed(reason) => {
                emit!(supervisor.context().log, Event::DiskFailed, "reason" => reason);
            }
        }
    }
}

async fn send(
    supervisor: Rc<Supervisor>,
    commands: mpsc::Sender<Command>,
    segment: SegmentId,
    append: Append,
) {
    let Some(address) = supervisor.address(&append.to.vm) else { return };
    let body = Message::frame(Body::Append(batch::Append::new(segment, append)));
    let answer = supervisor.context().peers.get(address).call(body, APPEND_TIMEOUT).await;
    if let Ok(Body::Appended(answer)) = answer.and_then(Message::unframe) {
        let _ = commands.send(Command::Appended(segment, answer.into())).await;
    }
}

impl Store {
    /// Returns the identity of this store's disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Returns the adopted replica set of each segment.
    pub async fn sets(&self) -> Vec<crate::segment::ReplicaSet> {
        let (responder, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Sets(responder)).await;
        answer.await.unwrap_or_default()
    }

    /// Stops the engine and waits for its end; acknowledged records are on disk.
    pub async fn stop(&self) {
        let _ = self.commands.send(Command::Stop).await;
        self.commands.closed().await;
    }

    /// Sends a request to a segment of this store. With `any_member`, a read is
    /// answered by any member of the replica set.
    pub async fn ask(
        &self,
        segment: SegmentId,
        operation: Operation,
        any_member: bool,
    ) -> Result<batch::Reply> {
        let (responder, answer) = oneshot::channel();
        let sent =
            self.commands.send(Command::Ask(segment, operation, any_member, responder)).await;
        sent.map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())?
    }

    async fn answer(&self, body: wire::Body) -> Result<wire::Body> {
        let answer = match Message::unframe(body)? {
            Body::Identify(()) => Body::Identity(self.disk),
            Body::Append(append) => {
                let segment = segment(append.segment)?;
                let (responder, answer) = oneshot::channel();
                let command = Command::Append(segment, append.into(), responder);
                self.commands.send(command).await.map_err(|_| stopped())?;
                Body::Appended(answer.await.map_err(|_| stopped())?.into())
            }
            Body::Request(request) => {
                let segment = segment(request.segment)?;
                let operation =
                    request.operation.ok_or_else(|| Error::new(Kind::Peer, "an empty request"))?;
                let reply = self.ask(segment, operation, request.any_member).await?;
                Body::Response(batch::Response { reply: Some(reply) })
            }
            _ => return Err(Error::new(Kind::Peer, "a store doesn't answer this")),
        };
        Ok(Message::frame(answer))
    }
}

impl Handler for Arc<Store> {
    fn handle(&self, _peer: Peer, body: wire::Body) -> LocalBoxFuture<'_, Result<wire::Body>> {
        Box::pin(self.answer(body))
    }
}

fn segment(number: u32) -> Result<SegmentId> {
    if number < SEGMENTS {
        return Ok(SegmentId(number));
    }
    Err(Error::new(Kind::Peer, format!("there is no segment {number}")))
}

fn stopped() -> Error {
    Error::new(Kind::StoreUnavailable, "the store's disk can't be used at present")
}
