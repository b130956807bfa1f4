//! What every part of the serving path is given.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::Notify;

use super::configuration::Configuration;
use super::crash::Crashes;
use super::jobs::Pending;
use super::member::{self, Member};
use super::protocol::Protocol;
use super::rate::{Limiter, Tolerance};
use super::store::Store;
use super::upstream::{Key, Table};
use crate::clock::{Clock, Time};
use crate::emit;
use crate::event::Event;
use crate::id::{Upstream, Vm};
use crate::settings;
use crate::transport::Pool;

/// What this VM last learned from the store.
#[derive(Default)]
pub struct View {
    /// The configuration; none before the first.
    pub configuration: Option<Arc<Configuration>>,
    /// Entry VMs.
    pub members: Vec<member::Listed>,
    /// Jobs that have items left, with the versions of their entries.
    pub pending: HashMap<String, (Pending, u64)>,
    /// When the last read that was answered was sent.
    pub confirmed_at: Time,
}

/// The surroundings of the serving path; it runs on one thread.
pub struct Context {
    /// This VM.
    pub member: Member,
    /// Settings; replaced when they are read again.
    pub settings: RefCell<Rc<settings::Serve>>,
    /// Source of `now`; goes on while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Root logger.
    pub log: Logger,
    /// Connections to upstreams.
    pub pool: Rc<Pool>,
    /// The platform's key-value service.
    pub store: Rc<dyn Store>,
    /// Spelling of calls.
    pub protocol: Rc<dyn Protocol>,
    /// Upstreams.
    pub table: RefCell<Table>,
    /// What the store last said.
    pub view: RefCell<View>,
    /// Rates.
    pub limiter: RefCell<Limiter>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// Whether items of jobs wait here for a slot.
    pub items_waiting: Cell<bool>,
    /// Other VMs at which items wait.
    pub contenders: RefCell<Vec<Vm>>,
    /// Requests that may have crashed upstreams.
    pub crashes: RefCell<Crashes>,
    /// Told when this VM has seen a crash.
    pub crash_seen: Notify,
    /// Told when this VM's load has changed.
    pub load_changed: Notify,
    /// Told when any load has changed, or an item may run.
    pub work_changed: Notify,
    random: RefCell<ChaCha8Rng>,
}

impl Context {
    /// Makes the surroundings of a process that has just started.
    pub fn new(
        member: Member,
        settings: settings::Serve,
        clock: Arc<dyn Clock>,
        log: Logger,
        store: Rc<dyn Store>,
        protocol: Rc<dyn Protocol>,
    ) -> Rc<Self> {
        let tolerance = Tolerance {
            window_s: settings.bounds.rate_window_s,
            overrun: settings.bounds.rate_overrun,
            slack: settings.bounds.rate_slack,
        };
        let limiter = Limiter::new(member.vm.clone(), tolerance);
        Rc::new(Self {
            random: RefCell::new(ChaCha8Rng::seed_from_u64(member.incarnation)),
            member,
            settings: RefCell::new(Rc::new(settings)),
            pool: Pool::new(clock.clone()),
            clock,
            log,
            store,
            protocol,
            table: RefCell::default(),
            view: RefCell::default(),
            limiter: RefCell::new(limiter),
            stopping: Cell::new(false),
            items_waiting: Cell::new(false),
            contenders: RefCell::default(),
            crashes: RefCell::default(),
            crash_seen: Notify::new(),
            load_changed: Notify::new(),
            work_changed: Notify::new(),
        })
    }

    /// This VM's name.
    pub fn vm(&self) -> &Vm {
        &self.member.vm
    }

    /// The present.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// The configuration, if one has been read.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.borrow().configuration.clone()
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<settings::Serve> {
        self.settings.borrow().clone()
    }

    /// Until when the last answer of the store lets keyed requests run.
    pub fn contact_until(&self) -> Time {
        let bounds = self.settings().bounds;
        self.view.borrow().confirmed_at.after(bounds.max_key_age())
    }

    /// Whether keyed requests may run.
    pub fn in_contact(&self) -> bool {
        !self.contact_until().passed(self.now())
    }

    /// Takes a slot at an upstream for an online request.
    pub fn take_slot(self: &Rc<Self>, key: Key, use_: Use) -> Option<Slot> {
        let mut table = self.table.borrow_mut();
        let entry = table.get_mut(key)?;
        match use_ {
            Use::Online => entry.own.online += 1,
            Use::Batch => entry.own.batch += 1,
        }
        let slot = Slot {
            key,
            use_,
            taken: self.now(),
            free: entry.load().total() <= entry.registration.slots,
            answered: Cell::new(false),
            upstream: entry.registration.upstream.clone(),
            address: entry.registration.address,
            context: self.clone(),
        };
        self.load_changed.notify_one();
        self.work_changed.notify_one();
        Some(slot)
    }
}

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// An online request.
    Online,
    /// An item of a batch job.
    Batch,
}

/// A slot at an upstream, counted until it is dropped.
pub struct Slot {
    /// The upstream in the table.
    pub key: Key,
    /// Its name.
    pub upstream: Upstream,
    /// Where it listens.
    pub address: SocketAddr,
    use_: Use,
    taken: Time,
    /// Whether the upstream had a free slot for it.
    free: bool,
    answered: Cell<bool>,
    context: Rc<Context>,
}

impl Slot {
    /// Notes that the upstream failed.
    pub fn record_failure(&self, reason: &str) {
        let now = self.context.now();
        let until = self.context.table.borrow_mut().record_failure(self.key, now);
        let pause_ms = until.map_or(0, |until| now.until(until).as_millis() as u64);
        emit!(self.context.log, Event::UpstreamFailed, "upstream" => self.upstream.as_str(),
            "address" => self.address.to_string(), "reason" => reason, "pause_ms" => pause_ms);
    }

    /// Notes that the first event came.
    pub fn record_first_event(&self) {
        let took_ms = self.held_ms();
        let mut table = self.context.table.borrow_mut();
        table.record_first_event(self.key, took_ms);
        if self.free {
            table.record_idle_first_event(self.key, took_ms);
        }
        self.answered.set(true);
    }

    fn held_ms(&self) -> f64 {
        self.taken.until(self.context.now()).as_secs_f64() * 1e3
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held_ms = self.held_ms();
        let mut table = self.context.table.borrow_mut();
        if self.use_ == Use::Online && self.answered.get() {
            table.record_slot_time(self.key, held_ms);
        }
        if let Some(entry) = table.get_mut(self.key) {
            match self.use_ {
                Use::Online => entry.own.online -= 1,
                Use::Batch => entry.own.batch -= 1,
            }
        }
        drop(table);
        self.context.load_changed.notify_one();
        self.context.work_changed.notify_one();
    }
}
