//! What other threads ask of the control thread.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::config::resource::{Kind, Spec};
use crate::config::{Id, Precondition};
use crate::error::{self, Error, Result};
use crate::id::{DataCentre, Vm};
use crate::view::{Role, State};

/// A resource as operators read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Version of its last write.
    pub version: u64,
    /// What the operator wants; none once deleted.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub spec: Option<Value>,
    /// What the system reports.
    #[serde(default)]
    pub status: Status,
}

/// What the system reports about a resource.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether the last write can no longer be lost or reverted; told when a
    /// single resource is read or written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<bool>,
    /// Configuration version that each member was last known to hold.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub in_force: BTreeMap<String, u64>,
}

/// The fleet as one VM sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Which VM.
    pub vm: Vm,
    /// Configuration version that it holds.
    pub version: u64,
    /// Whether it may act on it.
    pub in_contact: bool,
    /// Whether the key-value service answered its last call.
    pub platform_reachable: bool,
    /// The members.
    pub members: Vec<Member>,
}

/// A member and what it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: Vm,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What it does.
    pub role: Role,
    /// Whether it takes new work.
    pub state: State,
    /// Configuration version that it was last known to hold.
    pub version: u64,
}

/// What a watch delivers.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A resource was written or deleted.
    Changed(Resource),
    /// Everything up to this version was delivered.
    Bookmark(u64),
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Written {
    /// The resource as stored.
    pub resource: Resource,
    /// Whether it is accepted; otherwise it is stored, not yet in force.
    pub accepted: bool,
}

/// A resource's updates, until dropped.
pub type Updates = mpsc::Receiver<Update>;

/// What the control thread is asked.
pub(super) enum Command {
    Get { address: Id, reply: oneshot::Sender<Result<Resource>> },
    List { kind: Kind, reply: oneshot::Sender<(u64, Vec<Resource>)> },
    Watch { kind: Kind, from: u64, reply: oneshot::Sender<Result<Updates>> },
    Write(Order),
    State(State),
    Leave(oneshot::Sender<Result<()>>),
    Fleet(oneshot::Sender<Fleet>),
}

/// A wanted write.
pub(super) struct Order {
    pub(super) address: Id,
    pub(super) spec: Option<Spec>,
    pub(super) expected: Precondition,
    pub(super) reply: oneshot::Sender<Result<Written>>,
}

/// The control thread's end of a channel.
pub struct Commands(pub(super) mpsc::UnboundedReceiver<Command>);

/// Makes a handle and the end that `start` takes.
pub fn channel() -> (Handle, Commands) {
    let (commands, queue) = mpsc::unbounded_channel();
    (Handle { commands }, Commands(queue))
}

/// Asks the control thread, from any thread.
#[derive(Clone)]
pub struct Handle {
    pub(super) commands: mpsc::UnboundedSender<Command>,
}

impl Handle {
    /// Reads a resource; `NotFound` where there is none.
    pub async fn get(&self, address: Id) -> Result<Resource> {
        self.ask(|reply| Command::Get { address, reply }).await?
    }

    /// The configuration's version and all resources of a kind.
    pub async fn list(&self, kind: Kind) -> Result<(u64, Vec<Resource>)> {
        self.ask(|reply| Command::List { kind, reply }).await
    }

    /// Updates of a kind after a version; `WatchTooOld` where it isn't kept.
    pub async fn watch(&self, kind: Kind, from: u64) -> Result<Updates> {
        self.ask(|reply| Command::Watch { kind, from, reply }).await?
    }

    /// Writes a resource, or deletes it where `spec` is none. Errors:
    /// `VersionConflict`, `NotFound`, `PlatformUnavailable` when certainly
    /// nothing was applied, `WriteUnknown` when that can't be told.
    pub async fn write(
        &self,
        address: Id,
        spec: Option<Spec>,
        expected: Precondition,
    ) -> Result<Written> {
        self.ask(|reply| Command::Write(Order { address, spec, expected, reply })).await?
    }

    /// Tells the fleet whether this VM takes new work.
    pub fn set_state(&self, state: State) {
        let _ = self.commands.send(Command::State(state));
    }

    /// Says that this VM is gone for good; the last thing before it exits.
    pub async fn deregister(&self) -> Result<()> {
        self.ask(Command::Leave).await?
    }

    /// The fleet as this VM sees it, once every member was asked.
    pub async fn fleet(&self) -> Result<Fleet> {
        self.ask(Command::Fleet).await
    }

    async fn ask<T, F>(&self, command: F) -> Result<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> Command,
    {
        let stopped = || Error::new(error::Kind::Internal, "the control thread has stopped");
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())
    }
}
