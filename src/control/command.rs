//! Commands that other threads send to the control thread.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::config::resource::{Kind, Spec};
use crate::config::{Id, Precondition};
use crate::error::{self, Error, Result};
use crate::id::{DataCentre, Vm};
use crate::view::{Role, State};

/// A resource as returned to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
    /// Version of its last write.
    pub version: u64,
    /// Specification written by the operator; `None` once deleted.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub spec: Option<Value>,
    /// Status reported by the system.
    #[serde(default)]
    pub status: Status,
}

/// Status of a resource as reported by the system.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether the last write can no longer be lost or reverted; set only when a single resource
    /// is read or written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<bool>,
    /// Configuration version that each member was last known to hold.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub in_force: BTreeMap<String, u64>,
}

/// The fleet as one VM sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Name of the reporting VM.
    pub vm: Vm,
    /// Configuration version that the reporting VM holds.
    pub version: u64,
    /// Whether the reporting VM is in contact and may act on its configuration.
    pub in_contact: bool,
    /// Whether the key-value service answered the last call of the reporting VM.
    pub platform_reachable: bool,
    /// The members of the fleet, including the reporting VM.
    pub members: Vec<Member>,
}

/// A member of the fleet and its configuration version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the member.
    pub vm: Vm,
    /// Data centre that the member runs in.
    pub data_centre: DataCentre,
    /// Role of the member.
    pub role: Role,
    /// Whether the member takes new work.
    pub state: State,
    /// Configuration version that the member was last known to hold.
    pub version: u64,
}

/// An update delivered by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A resource was written or deleted.
    Changed(Resource),
    /// All changes up to this version were delivered.
    Bookmark(u64),
}

/// Result of a write that was applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Written {
    /// The resource as stored.
    pub resource: Resource,
    /// Whether the write is accepted; otherwise it is stored but not yet in force.
    pub accepted: bool,
}

/// Receiver of a watch's updates; dropping it ends the watch.
pub type Updates = mpsc::Receiver<Update>;

/// A command to the control thread, with the channel for its reply.
pub(super) enum Command {
    Get { id: Id, reply: oneshot::Sender<Result<Resource>> },
    List { kind: Kind, reply: oneshot::Sender<(u64, Vec<Resource>)> },
    Watch { kind: Kind, from: u64, reply: oneshot::Sender<Result<Updates>> },
    Write(Request),
    State(State),
    Deregister(oneshot::Sender<Result<()>>),
    Fleet(oneshot::Sender<Fleet>),
}

/// A requested write; `spec` is `None` for a deletion.
pub(super) struct Request {
    pub(super) id: Id,
    pub(super) spec: Option<Spec>,
    pub(super) precondition: Precondition,
    pub(super) reply: oneshot::Sender<Result<Written>>,
}

/// The receiving end of a command channel, for the control thread.
pub struct Commands(pub(super) mpsc::UnboundedReceiver<Command>);

/// Creates a handle and the receiving end that `start` takes.
pub fn channel() -> (Handle, Commands) {
    let (commands, queue) = mpsc::unbounded_channel();
    (Handle { commands }, Commands(queue))
}

/// Sends commands to the control thread, from any thread.
#[derive(Clone)]
pub struct Handle {
    pub(super) commands: mpsc::UnboundedSender<Command>,
}

impl Handle {
    /// Reads a resource; fails with `NotFound` if it doesn't exist.
    pub async fn get(&self, id: Id) -> Result<Resource> {
        self.request(|reply| Command::Get { id, reply }).await?
    }

    /// Returns the configuration version and all resources of a kind.
    pub async fn list(&self, kind: Kind) -> Result<(u64, Vec<Resource>)> {
        self.request(|reply| Command::List { kind, reply }).await
    }

    /// Watches the resources of a kind after a version; fails with `WatchTooOld` if the changes
    /// since that version are no longer kept.
    pub async fn watch(&self, kind: Kind, from: u64) -> Result<Updates> {
        self.request(|reply| Command::Watch { kind, from, reply }).await?
    }

    /// Writes a resource, or deletes it if `spec` is `None`. Fails with `VersionConflict`,
    /// `NotFound`, `PlatformUnavailable` if the write was certainly not applied, or `WriteUnknown`
    /// if it may have been.
    pub async fn write(
        &self,
        id: Id,
        spec: Option<Spec>,
        precondition: Precondition,
    ) -> Result<Written> {
        self.request(|reply| Command::Write(Request { id, spec, precondition, reply })).await?
    }

    /// Announces to the fleet whether this VM takes new work.
    pub fn set_state(&self, state: State) {
        let _ = self.commands.send(Command::State(state));
    }

    /// Deregisters this VM permanently; must be the last command before it exits.
    pub async fn deregister(&self) -> Result<()> {
        self.request(Command::Deregister).await?
    }

    /// Returns the fleet as this VM sees it, after asking every member for its version.
    pub async fn fleet(&self) -> Result<Fleet> {
        self.request(Command::Fleet).await
    }

    async fn request<T, F>(&self, command: F) -> Result<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> Command,
    {
        let stopped = || Error::new(error::Kind::Internal, "the control thread has stopped");
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())
    }
}
