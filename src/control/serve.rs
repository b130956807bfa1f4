//! Handling of commands from other threads.

use std::rc::Rc;

use tokio::sync::mpsc;

use super::command::{Command, Commands, Fleet, Member, Resource, Status, Update, Updates};
use super::driver::{Driver, Inner};
use crate::config::resource::{Kind, Spec};
use crate::config::{Id, Item, Record, Revision};
use crate::error::{self, Error, Result};
use crate::view::{self, State};

/// Updates queued for a slow watcher before its watch is ended.
const WATCH_QUEUE: usize = 1_024;

impl Driver {
    /// Handles commands until every handle is dropped.
    pub(super) async fn serve(self: Rc<Self>, mut commands: Commands) {
        while let Some(command) = commands.0.recv().await {
            match command {
                Command::Get { id, reply } => {
                    let driver = self.clone();
                    actix_rt::spawn(async move {
                        let _ = reply.send(driver.get(&id).await);
                    });
                }
                Command::List { kind, reply } => {
                    let _ = reply.send(self.list(kind));
                }
                Command::Watch { kind, from, reply } => {
                    let _ = reply.send(self.watch(kind, from));
                }
                Command::Write(request) => {
                    actix_rt::spawn(self.clone().write(request));
                }
                Command::Fleet(reply) => {
                    let driver = self.clone();
                    actix_rt::spawn(async move {
                        let _ = reply.send(driver.fleet().await);
                    });
                }
                Command::State(state) => self.set_state(state),
                Command::Deregister(reply) => {
                    let driver = self.clone();
                    actix_rt::spawn(async move {
                        let _ = reply.send(driver.registration.lock().await.deregister().await);
                    });
                }
            }
        }
    }

    /// Sets whether this VM takes new work; heartbeats announce it to the fleet.
    fn set_state(&self, state: State) {
        {
            let inner = &mut *self.state.borrow_mut();
            inner.own.state = state;
            inner.machine.set_leaving(state == State::Leaving);
        }
        self.refresh_leaving();
        self.publish();
    }

    /// Reads a resource and its status, after asking every member for its version.
    async fn get(self: &Rc<Self>, id: &Id) -> Result<Resource> {
        self.read_cached(id)?;
        self.query_versions().await;
        let mut resource = self.read_cached(id)?;
        resource.status = self.status(resource.version);
        Ok(resource)
    }

    /// Asks every member for the configuration version that it holds.
    async fn query_versions(self: &Rc<Self>) {
        let members: Vec<_> = {
            let inner = self.state.borrow();
            let members = inner.machine.table().members.keys();
            members.filter(|vm| **vm != inner.own.vm).cloned().collect()
        };
        let queries = members.into_iter().map(|vm| self.clone().query_version(vm));
        futures_util::future::join_all(queries).await;
    }

    async fn fleet(self: &Rc<Self>) -> Fleet {
        self.query_versions().await;
        let view = self.context.shared.load();
        let inner = self.state.borrow();
        let to_member = |member: &view::Member| Member {
            vm: member.vm.clone(),
            data_centre: member.data_centre.clone(),
            role: member.role,
            state: member.state,
            version: inner.machine.version_of(&member.vm),
        };
        Fleet {
            vm: inner.own.vm.clone(),
            version: inner.machine.cache().version(),
            in_contact: self.context.shared.contact.holds(self.now()),
            platform_reachable: inner.machine.platform_reachable(),
            members: view.members.values().map(to_member).collect(),
        }
    }

    fn read_cached(&self, id: &Id) -> Result<Resource> {
        let inner = self.state.borrow();
        let key = id.key();
        let revision = inner.machine.cache().get(&key).filter(|revision| revision.value.is_some());
        let item = revision.map(|revision| Item { key, revision: revision.clone() });
        item.as_ref()
            .and_then(to_resource)
            .ok_or_else(|| Error::new(error::Kind::NotFound, format!("no {} {}", id.kind, id.name)))
    }

    fn list(&self, kind: Kind) -> (u64, Vec<Resource>) {
        let inner = self.state.borrow();
        let cache = inner.machine.cache();
        let items = cache.live().map(|(key, version, value)| Item {
            key: key.to_owned(),
            revision: Revision { version, value: Some(value.clone()) },
        });
        let resources = items.filter_map(|item| to_resource(&item));
        (cache.version(), resources.filter(|resource| resource.kind == kind).collect())
    }

    fn watch(&self, kind: Kind, from: u64) -> Result<Updates> {
        let mut inner = self.state.borrow_mut();
        let cache = inner.machine.cache();
        let items = cache.changes_since(from).ok_or_else(|| {
            Error::new(error::Kind::WatchTooOld, format!("changes after {from} aren't kept"))
        })?;
        let changed = items.iter().filter_map(to_resource);
        let changed: Vec<_> = changed.filter(|resource| resource.kind == kind).collect();
        let version = cache.version();
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE + changed.len());
        for resource in changed {
            let _ = sender.try_send(Update::Changed(resource));
        }
        let _ = sender.try_send(Update::Bookmark(version));
        inner.watchers.push((kind, sender));
        Ok(receiver)
    }

    /// Returns the version that each member was last known to hold and whether `version` is
    /// accepted.
    pub(super) fn status(&self, version: u64) -> Status {
        let now = self.now();
        let inner: &mut Inner = &mut self.state.borrow_mut();
        let accepted = inner.machine.accepted(now, version);
        let members = inner.machine.table().members.keys();
        let in_force = members.map(|vm| (vm.to_string(), inner.machine.version_of(vm))).collect();
        Status { accepted: Some(accepted), in_force }
    }
}

/// Converts an item to a resource; `None` for keys that aren't resources.
pub(super) fn to_resource(item: &Item) -> Option<Resource> {
    let id = Id::from_key(&item.key)?;
    let record = item.revision.value.as_ref().and_then(|value| Record::decode(value));
    let spec = record.and_then(|record| record.spec).as_ref().map(spec_to_json);
    let version = item.revision.version;
    Some(Resource { kind: id.kind, name: id.name, version, spec, status: Status::default() })
}

/// Converts a spec to JSON without its kind.
pub(super) fn spec_to_json(spec: &Spec) -> serde_json::Value {
    let value = match spec {
        Spec::Organisation(spec) => serde_json::to_value(spec),
        Spec::Key(spec) => serde_json::to_value(spec),
        Spec::Route(spec) => serde_json::to_value(spec),
        Spec::Model(spec) => serde_json::to_value(spec),
        Spec::Upstream(spec) => serde_json::to_value(spec),
    };
    value.expect("spec serializes to JSON")
}
