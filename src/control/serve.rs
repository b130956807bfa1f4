//! Answers to other threads' commands.

use std::rc::Rc;

use tokio::sync::mpsc;

use super::command::{Command, Commands, Fleet, Member, Resource, Status, Update, Updates};
use super::shell::{Known, Shell};
use crate::config::resource::{Kind, Spec};
use crate::config::{Id, Item, Record, Revision};
use crate::error::{self, Error, Result};
use crate::view::{self, State};

/// Updates that may wait for a slow watcher before it is dropped.
const WATCH_QUEUE: usize = 1_024;

impl Shell {
    /// Answers commands until every handle is dropped.
    pub(super) async fn serve(self: Rc<Self>, mut commands: Commands) {
        while let Some(command) = commands.0.recv().await {
            match command {
                Command::Get { address, reply } => {
                    let shell = self.clone();
                    actix_rt::spawn(async move {
                        let _ = reply.send(shell.get(&address).await);
                    });
                }
                Command::List { kind, reply } => {
                    let _ = reply.send(self.list(kind));
                }
                Command::Watch { kind, from, reply } => {
                    let _ = reply.send(self.watch(kind, from));
                }
                Command::Write(order) => {
                    actix_rt::spawn(self.clone().write(order));
                }
                Command::Fleet(reply) => {
                    let shell = self.clone();
                    actix_rt::spawn(async move {
                        let _ = reply.send(shell.fleet().await);
                    });
                }
                Command::State(state) => self.set_state(state),
                Command::Leave(reply) => {
                    let shell = self.clone();
                    actix_rt::spawn(async move {
                        let _ = reply.send(shell.registration.lock().await.leave().await);
                    });
                }
            }
        }
    }

    /// Tells the fleet, by beats, whether this VM takes new work.
    fn set_state(&self, state: State) {
        {
            let known = &mut *self.state.borrow_mut();
            known.own.state = state;
            known.machine.set_leaving(state == State::Leaving);
        }
        self.refresh_leaving();
        self.publish();
    }

    /// Reads a resource, asking every member which version it holds.
    async fn get(self: &Rc<Self>, address: &Id) -> Result<Resource> {
        self.find(address)?;
        self.ask_all().await;
        let mut resource = self.find(address)?;
        resource.status = self.status(resource.version);
        Ok(resource)
    }

    /// Asks every member which version it holds.
    async fn ask_all(self: &Rc<Self>) {
        let members: Vec<_> = {
            let known = self.state.borrow();
            let members = known.machine.table().members.keys();
            members.filter(|vm| **vm != known.own.vm).cloned().collect()
        };
        let asked = members.into_iter().map(|vm| self.clone().ask_held(vm));
        futures_util::future::join_all(asked).await;
    }

    async fn fleet(self: &Rc<Self>) -> Fleet {
        self.ask_all().await;
        let view = self.context.shared.load();
        let known = self.state.borrow();
        let holding = |member: &view::Member| Member {
            vm: member.vm.clone(),
            data_centre: member.data_centre.clone(),
            role: member.role,
            state: member.state,
            version: known.machine.version_of(&member.vm),
        };
        Fleet {
            vm: known.own.vm.clone(),
            version: known.machine.cache().version(),
            in_contact: self.context.shared.contact.holds(self.now()),
            platform_reachable: known.machine.platform_reachable(),
            members: view.members.values().map(holding).collect(),
        }
    }

    fn find(&self, address: &Id) -> Result<Resource> {
        let known = self.state.borrow();
        let key = address.key();
        let held = known.machine.cache().get(&key).filter(|held| held.value.is_some());
        let item = held.map(|held| Item { key, revision: held.clone() });
        item.as_ref().and_then(resource).ok_or_else(|| {
            Error::new(error::Kind::NotFound, format!("no {} {}", address.kind, address.name))
        })
    }

    fn list(&self, kind: Kind) -> (u64, Vec<Resource>) {
        let known = self.state.borrow();
        let cache = known.machine.cache();
        let items = cache.live().map(|(key, version, value)| Item {
            key: key.to_owned(),
            revision: Revision { version, value: Some(value.clone()) },
        });
        let resources = items.filter_map(|item| resource(&item));
        (cache.version(), resources.filter(|resource| resource.kind == kind).collect())
    }

    fn watch(&self, kind: Kind, from: u64) -> Result<Updates> {
        let mut known = self.state.borrow_mut();
        let cache = known.machine.cache();
        let items = cache.changes(from).ok_or_else(|| {
            Error::new(error::Kind::WatchTooOld, format!("changes after {from} aren't kept"))
        })?;
        let changed = items.iter().filter_map(resource);
        let changed: Vec<_> = changed.filter(|resource| resource.kind == kind).collect();
        let version = cache.version();
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE + changed.len());
        for resource in changed {
            let _ = sender.try_send(Update::Changed(resource));
        }
        let _ = sender.try_send(Update::Bookmark(version));
        known.watchers.push((kind, sender));
        Ok(receiver)
    }

    /// Who was last known to hold what, and whether `version` is accepted.
    pub(super) fn status(&self, version: u64) -> Status {
        let now = self.now();
        let known: &mut Known = &mut self.state.borrow_mut();
        let accepted = known.machine.accepted(now, version);
        let members = known.machine.table().members.keys();
        let in_force = members.map(|vm| (vm.to_string(), known.machine.version_of(vm))).collect();
        Status { accepted: Some(accepted), in_force }
    }
}

/// A resource as an operator reads it; none for the fleet's own keys.
pub(super) fn resource(item: &Item) -> Option<Resource> {
    let address = Id::from_key(&item.key)?;
    let stored = item.revision.value.as_ref().and_then(|value| Record::decode(value));
    let spec = stored.and_then(|stored| stored.spec).as_ref().map(plain);
    let version = item.revision.version;
    Some(Resource {
        kind: address.kind,
        name: address.name,
        version,
        spec,
        status: Status::default(),
    })
}

/// The spec without its kind.
pub(super) fn plain(spec: &Spec) -> serde_json::Value {
    let value = match spec {
        Spec::Organisation(spec) => serde_json::to_value(spec),
        Spec::Key(spec) => serde_json::to_value(spec),
        Spec::Route(spec) => serde_json::to_value(spec),
        Spec::Model(spec) => serde_json::to_value(spec),
        Spec::Upstream(spec) => serde_json::to_value(spec),
    };
    value.expect("plain data becomes JSON")
}
