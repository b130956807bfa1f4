//! State shared by all parts of the serving path.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::Notify;

use super::cold::{self, Standing};
use super::configuration::Configuration;
use super::crash::Crashes;
use super::evacuation::Evacuations;
use super::freshness::Freshness;
use super::held::Held;
use super::jobs::{Ended, Pending};
use super::limit::Gate;
use super::member::{self, Member};
use super::opening::Opening;
use super::origin::{History, Origin, Origins};
use super::path::Paths;
use super::place::Contender;
use super::priority::Priority;
use super::protocol::{Part, Protocol};
use super::rate::{Limiter, Tolerance};
use super::renewal::Renewal;
use super::slot::Slot;
use super::store::Store;
use super::upstream::{Key, Table, Use};
use crate::clock::{Clock, Time};
use crate::id::Vm;
use crate::settings;
use crate::transport::{Direct, Pool};

/// The shared state, as this VM last read it from the store.
#[derive(Default)]
pub struct View {
    /// The newest configuration; none before the first read.
    pub configuration: Option<Arc<Configuration>>,
    /// The entry VMs.
    pub members: Vec<member::Listed>,
    /// Unfinished jobs by identifier, with the versions of their entries.
    pub pending: HashMap<String, (Pending, u64)>,
    /// Time at which the last successful read was sent: the state was current then.
    pub confirmed_at: Time,
}

/// State shared by all parts of the serving path, which runs on one thread.
pub struct Context {
    /// This VM's member entry.
    pub member: Member,
    /// Settings; replaced on reload.
    pub settings: RefCell<Rc<settings::Serve>>,
    /// Source of `now`; keeps running while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Root logger.
    pub log: Logger,
    /// Connections to upstreams, by the paths that work.
    pub pool: Rc<Pool>,
    /// Connections to other VMs. Apart, since they say nothing of the way to upstreams.
    pub peer_pool: Rc<Pool>,
    /// Opens connections to upstreams.
    pub paths: Rc<Paths>,
    /// Client of the platform's key-value service.
    pub store: Rc<dyn Store>,
    /// Encoder and decoder of the platform's requests and responses.
    pub protocol: Rc<dyn Protocol>,
    /// Known upstreams with their load and health.
    pub table: RefCell<Table>,
    /// Cold upstreams.
    pub cold: RefCell<cold::Upstreams>,
    /// Evacuated data centres.
    pub evacuations: RefCell<Evacuations>,
    /// Shared state, as last read from the store.
    pub view: RefCell<View>,
    /// Age of the view, and the outcome of this VM's reads.
    pub freshness: RefCell<Freshness>,
    /// Requests that wait for a current view.
    pub renewal: Renewal,
    /// Rate limiter.
    pub limiter: RefCell<Limiter>,
    /// Whether a graceful shutdown has begun.
    pub stopping: Cell<bool>,
    /// Whether batch items wait for a slot on this VM.
    pub items_waiting: Cell<bool>,
    /// Number of these items that can still end in time.
    pub items_in_time: Cell<u32>,
    /// Other VMs on which batch items wait for a slot.
    pub contenders: RefCell<Vec<Contender>>,
    /// Memory that answers hold until their callers have read them.
    pub held: Arc<Held>,
    /// Whether the outcome of the first read of the store is known.
    pub opening: Opening,
    /// Cancelled jobs.
    pub ended: RefCell<Ended>,
    /// Priority of online requests at limited upstreams.
    pub priority: RefCell<Priority>,
    /// Requests suspected of having crashed upstreams.
    pub crashes: RefCell<Crashes>,
    /// Parts of prompts that this VM found sound, to be reported to the others.
    pub parts_completed: RefCell<Vec<Part>>,
    /// Notified when this VM has something new to report about crashes.
    pub crash_seen: Notify,
    /// Notified when what is known of crashes may have changed.
    pub crashes_changed: Notify,
    /// Versions of the services' upstreams of late.
    pub versions: RefCell<History>,
    /// Origins of streams.
    pub origins: RefCell<Origins>,
    /// Notified when other VMs are to be sent records of `origins`.
    pub stream_begun: Notify,
    /// Notified when this VM's load has changed.
    pub load_changed: Notify,
    /// Notified when any load has changed or an item may be ready to run.
    pub work_changed: Notify,
    gate: OnceCell<Weak<dyn Gate>>,
    random: RefCell<ChaCha8Rng>,
}

impl Context {
    /// Creates the state of a process that has just started.
    pub fn new(
        member: Member,
        settings: settings::Serve,
        clock: Arc<dyn Clock>,
        log: Logger,
        store: Rc<dyn Store>,
        protocol: Rc<dyn Protocol>,
        paths: Rc<Paths>,
    ) -> Rc<Self> {
        let tolerance = Tolerance {
            window_s: settings.bounds.rate_window_s,
            overrun: settings.bounds.rate_overrun,
            slack: settings.bounds.rate_slack,
        };
        let limiter = Limiter::new(member.vm.clone(), tolerance, settings.rates.hand_over);
        Rc::new(Self {
            random: RefCell::new(ChaCha8Rng::seed_from_u64(member.incarnation)),
            member,
            held: Held::new(settings.memory_mb),
            settings: RefCell::new(Rc::new(settings)),
            pool: Pool::new(clock.clone(), paths.clone()),
            peer_pool: Pool::new(clock.clone(), Rc::new(Direct)),
            paths,
            opening: Opening::default(),
            clock,
            log,
            store,
            protocol,
            table: RefCell::default(),
            cold: RefCell::default(),
            evacuations: RefCell::default(),
            view: RefCell::default(),
            freshness: RefCell::default(),
            renewal: Renewal::default(),
            limiter: RefCell::new(limiter),
            stopping: Cell::new(false),
            items_waiting: Cell::new(false),
            items_in_time: Cell::new(0),
            contenders: RefCell::default(),
            ended: RefCell::default(),
            priority: RefCell::default(),
            crashes: RefCell::default(),
            parts_completed: RefCell::default(),
            crash_seen: Notify::new(),
            crashes_changed: Notify::new(),
            versions: RefCell::default(),
            origins: RefCell::default(),
            stream_begun: Notify::new(),
            load_changed: Notify::new(),
            work_changed: Notify::new(),
            gate: OnceCell::new(),
        })
    }

    /// Name of this VM.
    pub fn vm(&self) -> &Vm {
        &self.member.vm
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// A random number, uniform over all values.
    pub fn random(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// Sets who grants requests to upstreams that have named a limit, once.
    pub fn set_gate(&self, gate: Weak<dyn Gate>) {
        let is_first = self.gate.set(gate).is_ok();
        debug_assert!(is_first, "the gate is set once");
    }

    /// Who grants requests to upstreams that have named a limit.
    pub fn gate(&self) -> Option<Rc<dyn Gate>> {
        self.gate.get()?.upgrade()
    }

    /// The current configuration; none before the first read.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.borrow().configuration.clone()
    }

    /// The current settings.
    pub fn settings(&self) -> Rc<settings::Serve> {
        self.settings.borrow().clone()
    }

    /// Time until which the last successful read of the store allows requests with a key.
    pub fn contact_until(&self) -> Time {
        let bounds = self.settings().bounds;
        self.view.borrow().confirmed_at.after(bounds.max_key_age())
    }

    /// Whether requests with a key may run.
    pub fn in_contact(&self) -> bool {
        !self.contact_until().passed(self.now())
    }

    /// Whether batch items wait for a slot on any VM.
    pub fn items_wait(&self) -> bool {
        self.items_waiting.get() || !self.contenders.borrow().is_empty()
    }

    /// Takes a slot at an upstream; none if the upstream is no longer known.
    pub fn take_slot(self: &Rc<Self>, key: Key, kind: Use) -> Option<Slot> {
        let mut table = self.table.borrow_mut();
        let entry = table.get_mut(key)?;
        match kind {
            Use::Online => entry.own.online += 1,
            Use::Batch => entry.own.batch += 1,
        }
        let slot = Slot {
            key,
            kind,
            taken_at: Cell::new(self.now()),
            free: entry.load().total() <= entry.registration.slots,
            answered: Cell::new(false),
            upstream: entry.registration.upstream.clone(),
            origin: Origin::of(&entry.registration),
            started_unix_ms: entry.registration.started_unix_ms,
            address: entry.registration.address,
            announced: Cell::new(false),
            context: self.clone(),
        };
        let is_limited =
            entry.limit_per_s.is_some() || matches!(self.standing(entry.number), Standing::Cold(_));
        drop(table);
        if !is_limited {
            slot.announce();
        }
        self.work_changed.notify_one();
        Some(slot)
    }
}
