//! The control thread's loops around its state.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{Notify, mpsc};

use super::command::{Command, Commands, Resource, Status, Update, Write};
use super::register::{RENEW_INTERVAL, Registration, read_members};
use super::write::Writer;
use super::{Platform, Settings, compose};
use crate::config::{Address, Adopted, Cache, Delta, Held, Item, Stored};
use crate::context::Context;
use crate::emit;
use crate::error::{self, Error, Result};
use crate::event::Event;
use crate::id::Vm;
use crate::platform::{Entry, Notice};
use crate::view::{Member, State};

/// Time between confirmations of the configuration's version.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// Time between readings of the VM list and of the members.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a failure before the next try.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a confirmation holds: a withdrawn key must stop within 3 s.
const CONTACT_BOUND: Duration = Duration::from_millis(2_500);
/// Updates that may wait for a slow watcher before it is dropped.
const WATCH_QUEUE: usize = 1_024;

/// Starts the control thread's work on the current arbiter; `commands` comes
/// from `channel`, whose handle other threads keep.
pub fn start(context: Context, settings: Settings, platform: Platform, commands: Commands) {
    let shell = Rc::new(Shell::new(context, settings, platform));
    actix_rt::spawn(shell.clone().follow());
    actix_rt::spawn(shell.clone().hint());
    actix_rt::spawn(shell.clone().register());
    actix_rt::spawn(shell.clone().list());
    actix_rt::spawn(shell.serve(commands));
}

struct Shell {
    context: Context,
    platform: Platform,
    config_prefix: String,
    marker: String,
    members_prefix: String,
    registration: tokio::sync::Mutex<Registration>,
    writer: Writer,
    changed: Notify,
    state: RefCell<Known>,
}

/// What the control thread knows.
struct Known {
    own: Member,
    cache: Cache,
    members: BTreeMap<Vm, Member>,
    leaving: HashSet<String>,
    watchers: Vec<(crate::config::resource::Kind, mpsc::Sender<Update>)>,
    reachable: bool,
}

impl Shell {
    fn new(context: Context, settings: Settings, platform: Platform) -> Self {
        let own = Member {
            vm: context.vm.clone(),
            incarnation: unix_millis(),
            role: settings.role,
            data_centre: context.data_centre.clone(),
            peer: settings.peer,
            caller: settings.caller,
            state: State::Live,
        };
        let key_value = platform.key_value.clone();
        let registration = Registration::new(key_value.clone(), &settings.prefix, &own.vm);
        let state = Known {
            own,
            cache: Cache::default(),
            members: BTreeMap::new(),
            leaving: HashSet::new(),
            watchers: Vec::new(),
            reachable: true,
        };
        Self {
            config_prefix: format!("{}config/", settings.prefix),
            marker: format!("{}head", settings.prefix),
            members_prefix: format!("{}vms/", settings.prefix),
            registration: tokio::sync::Mutex::new(registration),
            writer: Writer::new(key_value, &settings.prefix),
            changed: Notify::new(),
            state: RefCell::new(state),
            context,
            platform,
        }
    }

    /// Confirms the configuration's version, again and again.
    async fn follow(self: Rc<Self>) {
        loop {
            let result = self.confirm().await;
            self.note(result.as_ref().err());
            let pause = if result.is_ok() { CONFIRM_INTERVAL } else { RETRY_INTERVAL };
            let _ = tokio::time::timeout(pause, self.changed.notified()).await;
        }
    }

    async fn confirm(&self) -> Result<()> {
        let asked = self.context.clock.now();
        let head = self.platform.key_value.get(&self.marker).await?;
        let held = self.state.borrow().cache.version();
        if head.is_some_and(|entry| entry.version > held) {
            self.catch_up().await?;
        }
        self.context.shared.contact.set(asked.after(CONTACT_BOUND));
        Ok(())
    }

    async fn catch_up(&self) -> Result<()> {
        let from = self.state.borrow().cache.version();
        let range = self.platform.key_value.since(&self.config_prefix, from).await?;
        let to = range.entries.iter().map(|entry| entry.version).max().unwrap_or(from);
        let items = range.entries.into_iter().map(|entry| self.item(entry)).collect();
        self.adopt(Delta { from, to, floor: 0, items });
        Ok(())
    }

    fn item(&self, entry: Entry) -> Item {
        let key = entry.key.trim_start_matches(&self.config_prefix).to_owned();
        let live = Stored::decode(&entry.value).is_none_or(|stored| stored.spec.is_some());
        let value = live.then(|| entry.value.into());
        Item { key, held: Held { version: entry.version, value } }
    }

    fn adopt(&self, delta: Delta) {
        let version = delta.to;
        let Adopted::Changed(items) = self.state.borrow_mut().cache.adopt(delta) else { return };
        emit!(self.context.log, Event::ConfigurationAdopted, "version" => version);
        self.publish();
        self.tell(&items, version);
    }

    fn publish(&self) {
        let known = self.state.borrow();
        let mut members = known.members.clone();
        members.insert(known.own.vm.clone(), known.own.clone());
        let view = compose(&known.cache, members, &known.leaving);
        self.context.shared.view.store(Arc::new(view));
    }

    fn tell(&self, items: &[Item], version: u64) {
        let mut known = self.state.borrow_mut();
        let watchers = std::mem::take(&mut known.watchers);
        let updates: Vec<_> = items.iter().filter_map(|item| resource(&known, item)).collect();
        known.watchers = watchers
            .into_iter()
            .filter(|(kind, sender)| {
                let wanted = updates.iter().filter(|resource| resource.kind == *kind);
                let mut told = wanted.map(|resource| Update::Changed(resource.clone()));
                told.all(|update| sender.try_send(update).is_ok())
                    && sender.try_send(Update::Bookmark(version)).is_ok()
            })
            .collect();
    }

    /// Waits for changes only to confirm at once; what it brings isn't used.
    async fn hint(self: Rc<Self>) {
        loop {
            let from = self.state.borrow().cache.version() + 1;
            if let Ok(mut notices) = self.platform.key_value.watch(&self.config_prefix, from).await
            {
                while let Some(notice) = notices.recv().await {
                    match notice {
                        Notice::Changes(_) => self.changed.notify_one(),
                        Notice::Progress(_) => {}
                        Notice::TooOld => break,
                    }
                }
            }
            tokio::time::sleep(CONFIRM_INTERVAL).await;
        }
    }

    async fn register(self: Rc<Self>) {
        loop {
            let pause = match self.keep_registration().await {
                Ok(()) => RENEW_INTERVAL,
                Err(_) => RETRY_INTERVAL,
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn keep_registration(&self) -> Result<()> {
        let own = self.state.borrow().own.clone();
        self.registration.lock().await.keep(&own).await
    }

    /// Reads the members and the VM list, again and again.
    async fn list(self: Rc<Self>) {
        loop {
            let _ = self.read_lists().await;
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    async fn read_lists(&self) -> Result<()> {
        let range = self.platform.key_value.range(&self.members_prefix).await?;
        let members = read_members(&range);
        let leaving = match &self.platform.vm_list {
            Some(list) => leaving(list.list().await),
            None => Some(HashSet::new()),
        };
        let changed = {
            let mut known = self.state.borrow_mut();
            let leaving = leaving.unwrap_or_else(|| known.leaving.clone());
            let changed = known.members != members || known.leaving != leaving;
            known.members = members;
            known.leaving = leaving;
            changed
        };
        if changed {
            self.publish();
        }
        Ok(())
    }

    async fn serve(self: Rc<Self>, mut queue: Commands) {
        while let Some(command) = queue.0.recv().await {
            match command {
                Command::Get { address, reply } => {
                    let _ = reply.send(self.get(&address));
                }
                Command::List { kind, reply } => {
                    let _ = reply.send(self.resources(kind));
                }
                Command::Watch { kind, from, reply } => {
                    let _ = reply.send(self.watch(kind, from));
                }
                Command::Write(write) => {
                    actix_rt::spawn(self.clone().write(write));
                }
                Command::State(state) => {
                    self.state.borrow_mut().own.state = state;
                    self.publish();
                    let shell = self.clone();
                    actix_rt::spawn(async move { shell.keep_registration().await });
                }
            }
        }
    }

    fn get(&self, address: &Address) -> Result<Resource> {
        let known = self.state.borrow();
        let key = address.key();
        let held = known.cache.get(&key).filter(|held| held.value.is_some());
        let item = held.map(|held| Item { key, held: held.clone() });
        item.and_then(|item| resource(&known, &item)).ok_or_else(|| {
            Error::new(error::Kind::NotFound, format!("no {} {}", address.kind, address.name))
        })
    }

    fn resources(&self, kind: crate::config::resource::Kind) -> (u64, Vec<Resource>) {
        let known = self.state.borrow();
        let items = known.cache.live().map(|(key, version, value)| Item {
            key: key.to_owned(),
            held: Held { version, value: Some(value.clone()) },
        });
        let resources = items.filter_map(|item| resource(&known, &item));
        (known.cache.version(), resources.filter(|resource| resource.kind == kind).collect())
    }

    fn watch(
        &self,
        kind: crate::config::resource::Kind,
        from: u64,
    ) -> Result<mpsc::Receiver<Update>> {
        let mut known = self.state.borrow_mut();
        let items = known.cache.changes(from).ok_or_else(|| {
            Error::new(error::Kind::WatchTooOld, format!("changes after {from} aren't kept"))
        })?;
        let changed = items.iter().filter_map(|item| resource(&known, item));
        let changed: Vec<_> = changed.filter(|resource| resource.kind == kind).collect();
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE + changed.len());
        for resource in changed {
            let _ = sender.try_send(Update::Changed(resource));
        }
        let _ = sender.try_send(Update::Bookmark(known.cache.version()));
        known.watchers.push((kind, sender));
        Ok(receiver)
    }

    async fn write(self: Rc<Self>, write: Write) {
        let held = self.state.borrow().cache.get(&write.address.key()).cloned();
        let result = match self.writer.write(&write, held).await {
            Ok(version) => self.confirm().await.and_then(|()| self.written(&write, version)),
            Err(error) => Err(error),
        };
        let _ = write.reply.send(result);
    }

    fn written(&self, write: &Write, version: u64) -> Result<super::Written> {
        let known = self.state.borrow();
        let spec = write.spec.as_ref().map(plain);
        let status = status(&known, version);
        let (kind, name) = (write.address.kind, write.address.name.clone());
        let accepted = status.accepted;
        Ok(super::Written { resource: Resource { kind, name, version, spec, status }, accepted })
    }

    fn note(&self, failure: Option<&Error>) {
        let mut known = self.state.borrow_mut();
        match failure {
            Some(error) if known.reachable => {
                emit!(self.context.log, Event::PlatformLost, "reason" => &error.detail);
            }
            None if !known.reachable => emit!(self.context.log, Event::PlatformBack),
            _ => {}
        }
        known.reachable = failure.is_none();
    }
}

fn resource(known: &Known, item: &Item) -> Option<Resource> {
    let address = Address::from_key(&item.key)?;
    let stored = item.held.value.as_ref().and_then(|value| Stored::decode(value));
    let spec = stored.and_then(|stored| stored.spec).as_ref().map(plain);
    let version = item.held.version;
    let status = status(known, version);
    Some(Resource { kind: address.kind, name: address.name, version, spec, status })
}

fn status(known: &Known, version: u64) -> Status {
    let held = known.cache.version();
    let in_force = [(known.own.vm.to_string(), held)].into_iter().collect();
    Status { accepted: held >= version, in_force }
}

/// The spec without its kind.
fn plain(spec: &crate::config::resource::Spec) -> serde_json::Value {
    let value = serde_json::to_value(spec).expect("plain data becomes JSON");
    match value {
        serde_json::Value::Object(fields) => {
            fields.into_iter().next().map(|(_, spec)| spec).unwrap_or_default()
        }
        other => other,
    }
}

fn leaving(listed: Result<Vec<crate::platform::Listed>>) -> Option<HashSet<String>> {
    let listed = listed.ok()?;
    let leaving = listed.iter().filter(|listed| listed.state == State::Leaving);
    Some(leaving.map(|listed| listed.vm.to_string()).collect())
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
