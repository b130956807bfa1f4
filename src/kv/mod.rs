//! The platform's services, behind traits.
//!
//! The key-value service keeps what must last. The first implementation
//! speaks etcd v3 over HTTP and JSON.

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
    /// A lease of the key-value service.
    pub struct LeaseId(pub i64);
}

/// A stored key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Version of the service's whole state at which it was last written.
    pub version: u64,
}

/// All keys under a prefix at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// Version of the service's whole state.
    pub version: u64,
    /// The keys, in order.
    pub entries: Vec<Entry>,
}

/// A compare-and-swap of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Which key.
    pub key: String,
    /// Version that the key must have; zero: it must not exist.
    pub expected: u64,
    /// New value; none deletes the key.
    pub value: Option<Vec<u8>>,
    /// Lease that the key lives with.
    pub lease: Option<LeaseId>,
}

/// How a compare-and-swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// Applied, at this version.
    Applied(u64),
    /// Not applied; this is what stands there.
    Refused(Option<Entry>),
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Version of the change.
    pub version: u64,
    /// Which key.
    pub key: String,
    /// The new value; none when deleted.
    pub value: Option<Vec<u8>>,
}

/// What a watch delivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// All changes up to a version have been delivered.
    Progress(u64),
    /// Changes of one version.
    Changes(Vec<Change>),
    /// The wanted versions are no longer kept: read the range again.
    TooOld,
}

/// The key-value service. Errors are `PlatformUnavailable` when nothing can
/// have been applied and `WriteUnknown` when a write may have been.
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

    /// Compares and swaps one key and, in the same transaction, writes the
    /// empty key `marker`, so that the marker's version is that of the last
    /// such swap.
    fn swap_marked(&self, swap: Swap, marker: &str) -> LocalBoxFuture<'_, Result<Swapped>> {
        let _ = (swap, marker);
        Box::pin(async { Err(Error::new(Kind::Internal, "this service keeps no markers")) })
    }

    /// Grants a lease that ends after `ttl` without a renewal.
    fn grant(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId>>;

    /// Renews a lease; `NotFound` when it has ended.
    fn renew(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<()>>;

    /// Ends a lease and deletes its keys.
    fn revoke(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<()>>;

    /// Watches a prefix from a version on, until the receiver is dropped or
    /// the connection breaks (the channel then closes).
    fn watch(&self, prefix: &str, from: u64) -> LocalBoxFuture<'_, Result<mpsc::Receiver<Notice>>>;
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct VmInfo {
    /// Its name.
    pub vm: Vm,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its address, without meaning for VMs of the fleet.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Whether it is leaving.
    pub state: State,
}

/// The platform's VM list; it lags.
pub trait VmList {
    /// All VMs that the platform knows.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<VmInfo>>>;
}
