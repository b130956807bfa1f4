//! What traffic threads know: one immutable snapshot, replaced as a whole.
//!
//! The control thread builds a `View` from the configuration, the members and
//! the VM list and publishes it; traffic threads load it once a request. The
//! contact deadline changes far more often and is kept beside it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;

use crate::clock::Time;
use crate::config::resource;
use crate::id::{self, DataCentre, Vm};

/// SHA-256 of a caller's key.
pub type Digest = [u8; 32];

key! {
    /// Whether a VM or upstream takes new work.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// It takes new work.
        Live,
        /// It finishes what it has and takes nothing new.
        Leaving,
    }

    /// What a member of the fleet does.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Serves callers and operators.
        Entry,
        /// Keeps segments.
        Store,
    }
}

/// An upstream as the fleet sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: id::Upstream,
    /// As configured.
    pub spec: resource::Upstream,
    /// Whether it takes new work.
    pub state: State,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: Vm,
    /// Rises with each restart.
    pub incarnation: u64,
    /// What it does.
    pub role: Role,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Where callers connect, for entry VMs.
    pub caller: Option<SocketAddr>,
    /// Whether it takes new work.
    pub state: State,
}

/// One consistent state of configuration and fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration version that this view holds.
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

/// Until when this VM may act on its view.
#[derive(Debug, Default)]
pub struct Contact {
    until: AtomicU64,
}

impl Contact {
    /// Sets the deadline.
    pub fn set(&self, until: Time) {
        self.until.store(until.0, Ordering::Release);
    }

    /// The deadline.
    pub fn until(&self) -> Time {
        Time(self.until.load(Ordering::Acquire))
    }

    /// Whether this VM is in contact at `now`.
    pub fn holds(&self, now: Time) -> bool {
        !self.until().passed(now)
    }
}

/// Gives every thread the current view.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// The current view.
    pub view: Arc<ArcSwap<View>>,
    /// Until when it may be acted on.
    pub contact: Arc<Contact>,
}

impl Shared {
    /// The current view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }
}
