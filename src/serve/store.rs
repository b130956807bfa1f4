//! What the serving path asks of the platform's key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use super::configuration::Configuration;
use crate::error::Result;
use crate::id::{DataCentre, Service, Upstream, Vm};
use crate::kv::Entry;

/// An upstream as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Its identifier, new at most starts.
    pub upstream: Upstream,
    /// Service that it serves.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// When its process started, if it says so, as a Unix time in milliseconds.
    pub started_unix_ms: u64,
}

/// A storage VM that is to be emptied.
#[derive(Clone, Debug, PartialEq)]
pub struct Retirement {
    /// Which VM.
    pub vm: Vm,
    /// Whether its emptiness has been reported.
    pub reported: bool,
}

/// Everything the fleet shares, as one read of the service showed it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The operator's configuration; none before the first.
    pub configuration: Option<Arc<Configuration>>,
    /// All registered upstreams.
    pub upstreams: Vec<Registration>,
    /// Storage VMs that are to be emptied.
    pub retirements: Vec<Retirement>,
    /// The product's own small entries: members and open jobs.
    pub shared: Vec<Entry>,
    /// Entries that could not be read, with the reason.
    pub unreadable: Vec<String>,
}

/// A key and the version it must have; zero: it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// Which key.
    pub key: String,
    /// The version.
    pub version: u64,
}

/// A write of several keys: all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub expected: Vec<Expectation>,
    /// Keys with their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Applied, at this version.
    Applied(u64),
    /// Not applied; the expected keys that exist, as they stand.
    Refused(Vec<Entry>),
}

/// One page of keys, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The keys.
    pub entries: Vec<Entry>,
    /// Whether more follow.
    pub more: bool,
}

/// The platform's key-value service. An error of kind `PlatformUnavailable`
/// means that nothing was done, `WriteUnknown` that a write may have been or
/// may still be done.
pub trait Store {
    /// Reads all entries that the fleet shares.
    fn entries(&self) -> LocalBoxFuture<'_, Result<Vec<Entry>>>;

    /// Sorts entries that `entries` gave, here or on another VM.
    fn decode(&self, entries: Vec<Entry>) -> Snapshot;

    /// Reads one key.
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>>>;

    /// Reads keys under a prefix that come after a key.
    fn list(&self, prefix: &str, after: &str) -> LocalBoxFuture<'_, Result<Page>>;

    /// Writes several keys under conditions.
    fn commit(&self, transaction: Transaction) -> LocalBoxFuture<'_, Result<Commit>>;

    /// Reports that a storage VM holds nothing any more.
    fn report_retired(&self, vm: &Vm) -> LocalBoxFuture<'_, Result<()>>;
}
