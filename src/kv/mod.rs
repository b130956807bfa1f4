//! Clients of the platform's services, behind traits.
//!
//! The key-value service holds the fleet's persistent state. `Etcd` implements
//! it for etcd v3, with JSON over HTTP.

mod etcd;
mod gateway;
mod http;
mod vms;

pub use etcd::Etcd;
pub use vms::HttpVmList;

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::sync::mpsc;

use crate::error::{Error, Kind, Result};
use crate::id::{DataCentre, Vm};
use crate::view::State;

key! {
    /// Identifier of a lease of the key-value service.
    pub struct LeaseId(pub i64);
}

/// A stored key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the key.
    pub key: String,
    /// Value stored under the key.
    pub value: Vec<u8>,
    /// Version of the whole service at which the key was last written.
    pub version: u64,
}

/// All keys under a prefix at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// Version of the whole service at which the keys were read.
    pub version: u64,
    /// Entries in key order.
    pub entries: Vec<Entry>,
}

/// A compare-and-swap operation on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Key to write.
    pub key: String,
    /// Version that the key must have; zero if it must not exist.
    pub expected: u64,
    /// New value, or none to delete the key.
    pub value: Option<Vec<u8>>,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// Applied at this version.
    Applied(u64),
    /// Not applied; holds the key's current entry.
    Refused(Option<Entry>),
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Version of the change.
    pub version: u64,
    /// Changed key.
    pub key: String,
    /// New value, or none if the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// A message of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// All changes up to a version have been delivered.
    Progress(u64),
    /// Changes of one version.
    Changes(Vec<Change>),
    /// The requested versions have been compacted; the reader must read the range again.
    TooOld,
}

/// Key-value service. Errors are `PlatformUnavailable` if no write was applied
/// and `WriteUnknown` if a write may have been applied.
pub trait KeyValue {
    /// Reads all keys under a prefix.
    fn range(&self, prefix: &str) -> LocalBoxFuture<'_, Result<Range>>;

    /// Compares and swaps one key.
    fn swap(&self, swap: Swap) -> LocalBoxFuture<'_, Result<Swapped>>;

    /// Reads one key.
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>>> {
        let key = key.to_owned();
        Box::pin(async move {
            let range = self.range(&key).await?;
            Ok(range.entries.into_iter().find(|entry| entry.key == key))
        })
    }

    /// Reads the keys under a prefix that were written after a version.
    fn since(&self, prefix: &str, version: u64) -> LocalBoxFuture<'_, Result<Range>> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            let mut range = self.range(&prefix).await?;
            range.entries.retain(|entry| entry.version > version);
            Ok(range)
        })
    }

    /// Compares and swaps one key and, in the same transaction, writes an empty
    /// value to the key `marker`. The marker's version is thus that of the last
    /// such swap.
    fn swap_marked(&self, swap: Swap, marker: &str) -> LocalBoxFuture<'_, Result<Swapped>> {
        let _ = (swap, marker);
        Box::pin(async { Err(Error::new(Kind::Internal, "this service keeps no markers")) })
    }

    /// Grants a lease that expires `ttl` after its last renewal.
    fn grant(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId>>;

    /// Renews a lease; fails with `NotFound` if it has expired.
    fn renew(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<()>>;

    /// Revokes a lease and deletes its keys.
    fn revoke(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<()>>;

    /// Watches a prefix from a version on, until the receiver is dropped. If the
    /// connection breaks, the channel closes.
    fn watch(&self, prefix: &str, from: u64) -> LocalBoxFuture<'_, Result<mpsc::Receiver<Notice>>>;
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct VmInfo {
    /// Name of the VM.
    pub vm: Vm,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address of the VM; not used for VMs of the fleet.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Whether the VM is live or leaving.
    pub state: State,
}

/// The platform's VM list, which may lag behind the actual state.
pub trait VmList {
    /// Returns all VMs known to the platform.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<VmInfo>>>;
}
