//! Drives the member state machine on the control thread: ticks it and performs its actions.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{Notify, mpsc};

use super::command::{Commands, Update};
use super::handlers::Handlers;
use super::register::Registration;
use super::{Platform, Settings, compose};
use crate::clock::Time;
use crate::config::resource::Kind;
use crate::config::{Delta, Item};
use crate::context::Context;
use crate::emit;
use crate::event::Event;
use crate::id::Vm;
use crate::member::{Action, Machine, Roster, read_members};
use crate::view::{Member, State};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(50);
/// Time between two attempts to bootstrap from the seeds.
const SEED_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the control thread's tasks on the current arbiter. `commands` is the receiving end made
/// by `channel`; other threads keep the handle.
pub fn start(
    context: Context,
    settings: Settings,
    platform: Platform,
    commands: Commands,
) -> Handlers {
    let driver = Rc::new(Driver::new(context, settings, platform));
    actix_rt::spawn(driver.clone().run());
    actix_rt::spawn(driver.clone().bootstrap());
    actix_rt::spawn(driver.clone().watch_for_changes());
    actix_rt::spawn(driver.clone().register());
    actix_rt::spawn(driver.clone().sync_leases());
    actix_rt::spawn(driver.clone().sync_vm_list());
    actix_rt::spawn(driver.clone().update_table());
    actix_rt::spawn(driver.clone().serve(commands));
    Handlers::new(driver)
}

/// The control thread's state, settings and clients.
pub(super) struct Driver {
    pub(super) context: Context,
    pub(super) platform: Platform,
    pub(super) settings: Settings,
    pub(super) keys: Keys,
    pub(super) registration: tokio::sync::Mutex<Registration>,
    /// Notified when a member answered or the configuration changed.
    pub(super) progress: Notify,
    pub(super) state: RefCell<Inner>,
}

/// Key names in the key-value service.
pub(super) struct Keys {
    /// Prefix of the configuration.
    pub(super) config: String,
    /// Key whose version is the configuration version.
    pub(super) marker: String,
    /// Prefix of the VMs' lease entries.
    pub(super) vms: String,
}

/// Mutable state of the control thread.
pub(super) struct Inner {
    /// Description of this VM.
    pub(super) own: Member,
    pub(super) machine: Machine,
    pub(super) roster: Roster,
    /// VMs and upstreams that are leaving according to the VM list or a hub.
    pub(super) listed_leaving: BTreeSet<String>,
    /// All names last published as leaving.
    pub(super) leaving: BTreeSet<String>,
    pub(super) watchers: Vec<(Kind, mpsc::Sender<Update>)>,
    pub(super) platform_reachable: bool,
    pub(super) in_contact: bool,
}

impl Driver {
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
        let (vm, data_centre) = (own.vm.clone(), own.data_centre.clone());
        let machine = Machine::new(vm, data_centre, context.clock.now(), rand::random());
        let registration = Registration::new(&platform, &settings.prefix, &own.vm);
        let state = Inner {
            own,
            machine,
            roster: Roster::default(),
            listed_leaving: BTreeSet::new(),
            leaving: BTreeSet::new(),
            watchers: Vec::new(),
            platform_reachable: true,
            in_contact: false,
        };
        let prefix = &settings.prefix;
        let keys = Keys {
            config: format!("{prefix}config/"),
            marker: format!("{prefix}head"),
            vms: format!("{prefix}vms/"),
        };
        Self {
            keys,
            registration: tokio::sync::Mutex::new(registration),
            progress: Notify::new(),
            state: RefCell::new(state),
            context,
            platform,
            settings,
        }
    }

    pub(super) fn now(&self) -> Time {
        self.context.clock.now()
    }

    async fn run(self: Rc<Self>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            interval.tick().await;
            self.tick();
        }
    }

    /// Ticks the machine and publishes what changed.
    pub(super) fn tick(self: &Rc<Self>) {
        let actions = self.state.borrow_mut().machine.tick(self.now());
        self.execute(actions);
        self.publish_contact();
        self.refresh_leaving();
    }

    /// Performs the machine's actions, each in its own task.
    pub(super) fn execute(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            let driver = self.clone();
            match action {
                Action::Heartbeat(vm, heartbeat) => {
                    actix_rt::spawn(driver.heartbeat(vm, heartbeat))
                }
                Action::Confirm => actix_rt::spawn(driver.confirm()),
                Action::Fetch(vm) => actix_rt::spawn(driver.fetch_from_member(vm)),
                Action::Push(vm, delta) => actix_rt::spawn(driver.push(vm, delta)),
            };
        }
    }

    /// Publishes the deadline until which this VM may act on its view.
    pub(super) fn publish_contact(&self) {
        let now = self.now();
        let mut inner = self.state.borrow_mut();
        let deadline = inner.machine.contact_deadline(now);
        self.context.shared.contact.set(deadline);
        let in_contact = !deadline.passed(now);
        if inner.in_contact != in_contact {
            inner.in_contact = in_contact;
            emit!(
                self.context.log,
                if in_contact { Event::ContactBack } else { Event::ContactLost }
            );
        }
    }

    /// Applies a delta, publishes the view and notifies watchers.
    pub(super) fn apply_delta(&self, delta: Delta) {
        let items = self.state.borrow_mut().machine.apply(delta);
        if items.is_empty() {
            return;
        }
        let version = self.state.borrow().machine.cache().version();
        emit!(self.context.log, Event::ConfigurationAdopted, "version" => version);
        self.publish();
        self.publish_contact();
        self.notify_watchers(&items, version);
        self.progress.notify_waiters();
    }

    /// Builds and publishes the view.
    pub(super) fn publish(&self) {
        let inner = self.state.borrow();
        let cache = inner.machine.cache();
        let mut members = read_members(cache, inner.machine.table());
        members.insert(inner.own.vm.clone(), inner.own.clone());
        for (vm, member) in &mut members {
            if inner.leaving.contains(vm.as_str()) {
                member.state = State::Leaving;
            }
        }
        let view = compose(cache, members, &inner.leaving);
        self.context.shared.view.store(Arc::new(view));
    }

    /// Recomputes the names that are leaving and publishes the view if they changed.
    pub(super) fn refresh_leaving(&self) {
        let changed = {
            let mut inner = self.state.borrow_mut();
            let mut leaving = inner.listed_leaving.clone();
            let peers = inner.machine.leaving_peers();
            leaving.extend(peers.iter().map(Vm::to_string));
            if inner.own.state == State::Leaving {
                leaving.insert(inner.own.vm.to_string());
            }
            let changed = inner.leaving != leaving;
            inner.machine.set_leaving_digest(digest(&leaving));
            inner.leaving = leaving;
            changed
        };
        if changed {
            self.publish();
        }
    }

    fn notify_watchers(&self, items: &[Item], version: u64) {
        let mut inner = self.state.borrow_mut();
        let updates: Vec<_> = items.iter().filter_map(super::serve::to_resource).collect();
        inner.watchers.retain(|(kind, sender)| {
            let matching = updates.iter().filter(|resource| resource.kind == *kind);
            let mut notifications = matching.map(|resource| Update::Changed(resource.clone()));
            notifications.all(|update| sender.try_send(update).is_ok())
                && sender.try_send(Update::Bookmark(version)).is_ok()
        });
    }

    /// Fetches the configuration from the seeds while the platform is unreachable and this VM holds
    /// no configuration.
    async fn bootstrap(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SEED_INTERVAL).await;
            let isolated = {
                let inner = self.state.borrow();
                inner.machine.cache().version() == 0 && !inner.machine.platform_reachable()
            };
            if isolated {
                for seed in &self.settings.seeds {
                    self.fetch(*seed).await;
                }
            }
        }
    }
}

fn digest(names: &BTreeSet<String>) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    hasher.finalize()
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
