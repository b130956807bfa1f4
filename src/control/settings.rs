//! Settings and platform clients of the control thread.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::kv::{Etcd, HttpVmList, KeyValue, VmList};
use crate::settings;
use crate::view::Role;

/// Settings of the control thread.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Role of this VM.
    pub role: Role,
    /// Address that peers connect to.
    pub peer: SocketAddr,
    /// Address that callers connect to; `None` unless this is an entry VM.
    pub caller: Option<SocketAddr>,
    /// Prefix of the fleet's keys in the key-value service.
    pub prefix: String,
    /// Peers to fetch the configuration from at start-up while the platform is down.
    pub seeds: Vec<SocketAddr>,
}

impl From<&settings::Entry> for Settings {
    fn from(entry: &settings::Entry) -> Self {
        Self {
            role: Role::Entry,
            peer: entry.peer,
            caller: Some(entry.caller),
            prefix: entry.platform.prefix.clone(),
            seeds: entry.seeds.clone(),
        }
    }
}

impl From<&settings::Store> for Settings {
    fn from(store: &settings::Store) -> Self {
        Self {
            role: Role::Store,
            peer: store.peer,
            caller: None,
            prefix: store.platform.prefix.clone(),
            seeds: Vec::new(),
        }
    }
}

/// Clients of the platform's services, for use on the control arbiter.
#[derive(Clone)]
pub struct Platform {
    /// Client of the key-value service.
    pub key_value: Rc<dyn KeyValue>,
    /// Client of the VM list, if the platform provides one.
    pub vm_list: Option<Rc<dyn VmList>>,
}

impl From<&settings::Platform> for Platform {
    fn from(settings: &settings::Platform) -> Self {
        let vm_list = settings.vm_list.map(|address| {
            let list: Rc<dyn VmList> = Rc::new(HttpVmList::new(address));
            list
        });
        Self { key_value: Rc::new(Etcd::new(settings.key_value.clone())), vm_list }
    }
}
