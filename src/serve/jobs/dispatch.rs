//! Which items run where, and which make room for online requests.
//!
//! Items take the slots that online requests leave, all but a reserve at each
//! upstream, so that a burst finds room. When online requests and items
//! together exceed an upstream's slots, the VMs that run items there interrupt
//! the newest ones, in the order of their names, until the rest fits. An
//! interrupted item goes on elsewhere after the last event that it has.
//!
//! Answers steps of online load within seconds, with batch load that leaves
//! few slots free on average.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::owner::Next;
use super::record::{Head, Item};
use super::run::{self, Ended};
use super::shell::Jobs;
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::Service;
use crate::serve::fleet::{Slot, Use};
use crate::serve::place::{self, Wish};
use crate::serve::upstream::Key;

/// Slots at each upstream that items leave free.
pub const RESERVE_SLOTS: u32 = 1;
/// Most items that a VM starts at one moment, so that VMs see each other's.
const MAX_STARTS: usize = 2;
/// Pause between moments at which items start.
const START_PAUSE: Duration = Duration::from_millis(15);
/// Longest time between two looks at what may run.
const LOOK: Duration = Duration::from_millis(200);

/// An item that runs.
pub struct Running {
    pub(super) job: String,
    pub(super) key: Key,
    pub(super) started: Time,
    pub(super) interrupt: Rc<Notify>,
}

/// An item that is about to run.
struct Start {
    job: String,
    head: Head,
    item: Item,
    next: Next,
    max_attempts: u32,
    slot: Slot,
}

/// How many of this VM's items must make room at an upstream, where `before`
/// items belong to VMs that come first.
pub fn to_interrupt(total: u32, slots: u32, before: u32, own: u32) -> u32 {
    total.saturating_sub(slots).saturating_sub(before).min(own)
}

impl Jobs {
    /// Starts and interrupts items for ever.
    pub async fn dispatch(self: Rc<Self>) {
        loop {
            self.interrupt_excess();
            self.expire();
            let mut started = 0;
            while started < MAX_STARTS && self.start_one() {
                started += 1;
            }
            if started > 0 {
                tokio::time::sleep(START_PAUSE).await;
                continue;
            }
            let _ = tokio::time::timeout(LOOK, self.fleet.work_changed.notified()).await;
        }
    }

    fn start_one(self: &Rc<Self>) -> bool {
        if self.fleet.stopping.get() {
            return false;
        }
        let Some(start) = self.choose() else { return false };
        let interrupt = Rc::new(Notify::new());
        self.running.borrow_mut().push(Running {
            job: start.job.clone(),
            key: start.slot.key,
            started: self.fleet.now(),
            interrupt: interrupt.clone(),
        });
        let jobs = self.clone();
        actix_rt::spawn(async move { jobs.run_item(start, interrupt).await });
        true
    }

    /// The first item, by the time its job is due, that finds a slot.
    fn choose(&self) -> Option<Start> {
        let now = self.fleet.now();
        let configuration = self.fleet.configuration()?;
        let mut owned = self.owned.borrow_mut();
        let mut order: Vec<(Time, String)> =
            owned.values().map(|owned| (owned.job.due, owned.job.id.clone())).collect();
        order.sort();
        for (_, id) in order {
            let job = &mut owned.get_mut(&id)?.job;
            let Some(route) = configuration.route(&job.head.host, &job.head.path) else {
                continue;
            };
            if !job.has_ready(now) {
                continue;
            }
            let Some(slot) = self.find_slot(route.target(self.fleet.draw()), now) else { continue };
            let next = job.start(now)?;
            let item = job.spec.items[next.index].clone();
            let (head, max_attempts) = (job.head.clone(), route.max_attempts);
            return Some(Start { job: id, head, item, next, max_attempts, slot });
        }
        None
    }

    /// Gives up jobs that are past their time or whose route is gone.
    fn expire(self: &Rc<Self>) {
        let now = self.fleet.now();
        let Some(configuration) = self.fleet.configuration() else { return };
        let mut given_up = Vec::new();
        for owned in self.owned.borrow_mut().values_mut() {
            let job = &mut owned.job;
            let routed = configuration.route(&job.head.host, &job.head.path).is_some();
            if (job.give_up.passed(now) || !routed) && job.give_up_waiting() {
                given_up.push(job.id.clone());
            }
        }
        for id in given_up {
            emit!(self.fleet.log, Event::JobGivenUp, "job" => id.as_str());
            self.flush(&id);
        }
    }

    fn find_slot(&self, service: Option<&Service>, now: Time) -> Option<Slot> {
        let wish = Wish {
            service: service?,
            data_centre: &self.fleet.member.data_centre,
            tried: &[],
            draw: self.fleet.draw(),
        };
        let key = place::batch(&self.fleet.table.borrow(), wish, RESERVE_SLOTS, now)?;
        self.fleet.occupy(key, Use::Batch)
    }

    async fn run_item(self: Rc<Self>, start: Start, interrupt: Rc<Notify>) {
        let Start { job, head, item, next, max_attempts, slot } = start;
        let (upstream, index) = (slot.upstream.clone(), next.index);
        let ended = run::run(&self.fleet, slot, &head, &item, next.progress, &interrupt).await;
        self.running.borrow_mut().retain(|running| !Rc::ptr_eq(&running.interrupt, &interrupt));
        emit!(self.fleet.log, Event::ItemEnded, "job" => job.as_str(), "item" => item.id.as_str(),
            "upstream" => upstream.as_str(), "outcome" => ended.as_str());
        let stored = matches!(ended, Ended::Completed(_) | Ended::Impossible | Ended::Failed(_));
        if let Some(owned) = self.owned.borrow_mut().get_mut(&job) {
            owned.job.ended(index, ended, max_attempts, self.fleet.now());
        }
        if stored {
            self.flush(&job);
        }
        self.fleet.work_changed.notify_one();
    }

    fn interrupt_excess(&self) {
        let running = self.running.borrow();
        let mut keys: Vec<Key> = running.iter().map(|running| running.key).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            let table = self.fleet.table.borrow();
            let Some(entry) = table.get(key) else { continue };
            let slots = entry.registration.slots;
            let before = entry.batch_before;
            let count = to_interrupt(entry.load().total(), slots, before, entry.own.batch);
            let mut here: Vec<&Running> = running.iter().filter(|item| item.key == key).collect();
            here.sort_by_key(|item| std::cmp::Reverse(item.started));
            for item in here.into_iter().take(count as usize) {
                item.interrupt.notify_one();
            }
        }
    }
}
