//! Immutable snapshot of configuration and fleet for the traffic threads.
//!
//! The control thread builds a `View` from the configuration, the members and the VM list, and
//! replaces it as a whole; traffic threads load it once per request. The contact deadline changes
//! far more often and is published separately.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;

use crate::clock::Time;
use crate::config::resource;
use crate::id::{self, DataCentre, Vm};

/// SHA-256 digest of a caller's API key.
pub type Digest = [u8; 32];

key! {
    /// Whether a VM or upstream takes new work.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// Takes new work.
        Live,
        /// Finishes its current work and takes no new work.
        Leaving,
    }

    /// Role of a member of the fleet.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Serves callers and operators.
        Entry,
        /// Stores segments.
        Store,
    }
}

/// An upstream with its state.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: id::Upstream,
    /// Configured specification.
    pub spec: resource::Upstream,
    /// Whether the upstream takes new work.
    pub state: State,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: Vm,
    /// Number that increases with each restart of the VM.
    pub incarnation: u64,
    /// Role of the VM.
    pub role: Role,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentre,
    /// Address that peers connect to.
    pub peer: SocketAddr,
    /// Address that callers connect to; `None` unless this is an entry VM.
    pub caller: Option<SocketAddr>,
    /// Whether the VM takes new work.
    pub state: State,
}

/// A consistent snapshot of configuration and fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration version of this view.
    pub version: u64,
    /// Organisations by name.
    pub organisations: BTreeMap<id::Organisation, resource::Organisation>,
    /// Organisation that each key belongs to, by the key's digest.
    pub keys: HashMap<Digest, id::Organisation>,
    /// Routes by path.
    pub routes: BTreeMap<String, resource::Route>,
    /// Models by name.
    pub models: BTreeMap<id::Model, resource::Model>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<id::Upstream, Upstream>,
    /// Members by name, this VM included.
    pub members: BTreeMap<Vm, Member>,
}

/// The contact deadline: the time until which this VM may act on its view.
#[derive(Debug, Default)]
pub struct Contact {
    until: AtomicU64,
}

impl Contact {
    /// Sets the contact deadline.
    pub fn set(&self, until: Time) {
        self.until.store(until.0, Ordering::Release);
    }

    /// Returns the contact deadline.
    pub fn until(&self) -> Time {
        Time(self.until.load(Ordering::Acquire))
    }

    /// Whether this VM is in contact at `now`, that is, before the deadline.
    pub fn holds(&self, now: Time) -> bool {
        !self.until().passed(now)
    }
}

/// The current view and contact deadline, shared by all threads.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// The view, replaced as a whole.
    pub view: Arc<ArcSwap<View>>,
    /// Deadline until which the view may be acted on.
    pub contact: Arc<Contact>,
}

impl Shared {
    /// Returns the current view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }
}
