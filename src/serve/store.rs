//! Interface to the platform's key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use super::configuration::Configuration;
use super::departure::Process;
use crate::error::Result;
use crate::id::{DataCentre, Service, Upstream, Version, Vm};
use crate::kv::Entry;

/// Registration of an upstream, as written by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Identifier of the upstream, usually a new one at each start.
    pub upstream: Upstream,
    /// Service that the upstream provides.
    pub service: Service,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Version of its software.
    pub version: Version,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
    /// Start time of its process as a Unix time in milliseconds, if registered.
    pub started_unix_ms: u64,
    /// Remaining cold time when it was written, in milliseconds, if registered.
    pub cold_left_ms: Option<u64>,
    /// Revision of its entry in the store.
    pub revision: u64,
}

impl Registration {
    /// The process that wrote it.
    pub fn process(&self) -> Process {
        Process::new(&self.upstream, self.started_unix_ms)
    }
}

/// A request to retire a storage VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Retirement {
    /// Name of the storage VM.
    pub vm: Vm,
    /// Whether the VM has been reported as empty.
    pub reported: bool,
}

/// All shared entries, decoded from one read of the service.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The operator's configuration; none if none was written yet.
    pub configuration: Option<Arc<Configuration>>,
    /// All registered upstreams.
    pub upstreams: Vec<Registration>,
    /// Data centres that the operator evacuates.
    pub evacuated: Vec<DataCentre>,
    /// Requests to retire storage VMs.
    pub retirements: Vec<Retirement>,
    /// The fleet's own entries, not decoded: members and open jobs.
    pub shared: Vec<Entry>,
    /// Entries that could not be decoded.
    pub unreadable: Vec<Unreadable>,
}

/// An entry that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Key in the store.
    pub key: String,
    /// Version in the store.
    pub version: u64,
    /// Why it can't be decoded.
    pub reason: String,
}

impl Unreadable {
    /// The entry, with the reason why it can't be decoded.
    pub fn new(entry: &Entry, reason: String) -> Self {
        Self { key: entry.key.clone(), version: entry.version, reason }
    }
}

/// Precondition of a transaction: a key and the version it must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// Key in the store.
    pub key: String,
    /// Required version; zero: the key must not exist.
    pub version: u64,
}

/// An atomic write of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    pub expected: Vec<Expectation>,
    /// Keys to write with their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Applied; the keys written have this version.
    Applied(u64),
    /// Not applied, since a precondition failed; holds the current entries of the expected
    /// keys that exist.
    Refused(Vec<Entry>),
}

/// One page of entries, ordered by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The entries of this page.
    pub entries: Vec<Entry>,
    /// Whether more entries follow.
    pub more: bool,
}

key! {
    /// Ways that a call may take to the store.
    pub enum Way {
        /// Directly, and through a peer if that fails, or the other way round.
        Any,
        /// Directly only.
        Direct,
    }
}

/// Client of the platform's key-value service. An error of kind
/// `PlatformUnavailable` means that the call had no effect, `WriteUnknown` that
/// a write may have been applied or may still be applied.
pub trait Store {
    /// Reads all shared entries.
    fn entries(&self, way: Way) -> LocalBoxFuture<'_, Result<Vec<Entry>>>;

    /// Decodes entries returned by `entries`, on this VM or on another one.
    fn decode(&self, entries: Vec<Entry>) -> Snapshot;

    /// Reads one entry; none if the key doesn't exist.
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>>>;

    /// Reads the entry of an upstream; none if it has none that can be read.
    fn registration(&self, upstream: &Upstream)
    -> LocalBoxFuture<'_, Result<Option<Registration>>>;

    /// Reads a page of entries under a prefix whose keys come after `after`.
    fn list(&self, prefix: &str, after: &str) -> LocalBoxFuture<'_, Result<Page>>;

    /// Commits a transaction.
    fn commit(&self, transaction: Transaction) -> LocalBoxFuture<'_, Result<Commit>>;

    /// Reports that a storage VM to be retired is empty.
    fn report_retired(&self, vm: &Vm) -> LocalBoxFuture<'_, Result<()>>;
}
