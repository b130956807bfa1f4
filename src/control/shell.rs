//! The control thread around its state machine: a clock tick, and the calls
//! that the machine asks for.

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
use crate::member::{Action, Machine, Roster, describe};
use crate::view::{Member, State};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time between two tries to find a peer while nothing is known.
const SEED_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the control thread's work on the current arbiter; `commands` comes
/// from `channel`, whose handle other threads keep.
pub fn start(
    context: Context,
    settings: Settings,
    platform: Platform,
    commands: Commands,
) -> Handlers {
    let shell = Rc::new(Shell::new(context, settings, platform));
    actix_rt::spawn(shell.clone().run());
    actix_rt::spawn(shell.clone().seed());
    actix_rt::spawn(shell.clone().hint());
    actix_rt::spawn(shell.clone().register());
    actix_rt::spawn(shell.clone().follow_leases());
    actix_rt::spawn(shell.clone().follow_list());
    actix_rt::spawn(shell.clone().publish_tables());
    actix_rt::spawn(shell.clone().serve(commands));
    Handlers::new(shell)
}

/// The control thread's state and its surroundings.
pub(super) struct Shell {
    pub(super) context: Context,
    pub(super) platform: Platform,
    pub(super) settings: Settings,
    pub(super) keys: Keys,
    pub(super) registration: tokio::sync::Mutex<Registration>,
    /// Rings when a member answered or the configuration moved on.
    pub(super) moved: Notify,
    pub(super) state: RefCell<Known>,
}

/// Names in the key-value service.
pub(super) struct Keys {
    /// Prefix of the configuration.
    pub(super) config: String,
    /// Key whose version is the configuration's.
    pub(super) marker: String,
    /// Prefix of the VMs' leased entries.
    pub(super) vms: String,
}

/// What the control thread knows.
pub(super) struct Known {
    pub(super) own: Member,
    pub(super) machine: Machine,
    pub(super) roster: Roster,
    /// VMs and upstreams that are leaving by the VM list or by a hub.
    pub(super) listed_leaving: BTreeSet<String>,
    /// All names that were last published as leaving.
    pub(super) leaving: BTreeSet<String>,
    pub(super) watchers: Vec<(Kind, mpsc::Sender<Update>)>,
    pub(super) reachable: bool,
    pub(super) in_contact: bool,
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
        let (vm, centre) = (own.vm.clone(), own.data_centre.clone());
        let machine = Machine::new(vm, centre, context.clock.now(), rand::random());
        let registration = Registration::new(&platform, &settings.prefix, &own.vm);
        let state = Known {
            own,
            machine,
            roster: Roster::default(),
            listed_leaving: BTreeSet::new(),
            leaving: BTreeSet::new(),
            watchers: Vec::new(),
            reachable: true,
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
            moved: Notify::new(),
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

    /// Does what is due now.
    pub(super) fn tick(self: &Rc<Self>) {
        let actions = self.state.borrow_mut().machine.tick(self.now());
        self.act(actions);
        self.refresh_contact();
        self.refresh_leaving();
    }

    /// Does what the machine asks for.
    pub(super) fn act(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            let shell = self.clone();
            match action {
                Action::Heartbeat(vm, beat) => actix_rt::spawn(shell.beat(vm, beat)),
                Action::Confirm => actix_rt::spawn(shell.confirm()),
                Action::Fetch(vm) => actix_rt::spawn(shell.fetch_from(vm)),
                Action::Push(vm, delta) => actix_rt::spawn(shell.push(vm, delta)),
            };
        }
    }

    /// Publishes until when this VM may act on its view.
    pub(super) fn refresh_contact(&self) {
        let now = self.now();
        let mut known = self.state.borrow_mut();
        let until = known.machine.contact_deadline(now);
        self.context.shared.contact.set(until);
        let holds = !until.passed(now);
        if known.in_contact != holds {
            known.in_contact = holds;
            emit!(self.context.log, if holds { Event::ContactBack } else { Event::ContactLost });
        }
    }

    /// Moves the configuration on, publishes the view and tells watchers.
    pub(super) fn adopt(&self, delta: Delta) {
        let items = self.state.borrow_mut().machine.apply(delta);
        if items.is_empty() {
            return;
        }
        let version = self.state.borrow().machine.cache().version();
        emit!(self.context.log, Event::ConfigurationAdopted, "version" => version);
        self.publish();
        self.refresh_contact();
        self.tell(&items, version);
        self.moved.notify_waiters();
    }

    /// Publishes the view.
    pub(super) fn publish(&self) {
        let known = self.state.borrow();
        let cache = known.machine.cache();
        let mut members = describe(cache, known.machine.table());
        members.insert(known.own.vm.clone(), known.own.clone());
        for (vm, member) in &mut members {
            if known.leaving.contains(vm.as_str()) {
                member.state = State::Leaving;
            }
        }
        let view = compose(cache, members, &known.leaving);
        self.context.shared.view.store(Arc::new(view));
    }

    /// Publishes the view again where other names are leaving.
    pub(super) fn refresh_leaving(&self) {
        let changed = {
            let mut known = self.state.borrow_mut();
            let mut leaving = known.listed_leaving.clone();
            let peers = known.machine.leaving_peers();
            leaving.extend(peers.iter().map(Vm::to_string));
            if known.own.state == State::Leaving {
                leaving.insert(known.own.vm.to_string());
            }
            let changed = known.leaving != leaving;
            known.machine.set_leaving_digest(digest(&leaving));
            known.leaving = leaving;
            changed
        };
        if changed {
            self.publish();
        }
    }

    fn tell(&self, items: &[Item], version: u64) {
        let mut known = self.state.borrow_mut();
        let updates: Vec<_> = items.iter().filter_map(super::serve::resource).collect();
        known.watchers.retain(|(kind, sender)| {
            let wanted = updates.iter().filter(|resource| resource.kind == *kind);
            let mut told = wanted.map(|resource| Update::Changed(resource.clone()));
            told.all(|update| sender.try_send(update).is_ok())
                && sender.try_send(Update::Bookmark(version)).is_ok()
        });
    }

    /// Asks the seeds while neither the platform nor a peer told anything.
    async fn seed(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SEED_INTERVAL).await;
            let lost = {
                let known = self.state.borrow();
                known.machine.cache().version() == 0 && !known.machine.platform_reachable()
            };
            if lost {
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
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
