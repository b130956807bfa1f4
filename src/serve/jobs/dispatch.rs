//! Schedules items on upstreams and interrupts them in favour of online
//! requests.
//!
//! Items use all slots that online requests leave free. When online requests
//! and items together exceed an upstream's slots, the VMs that run items there
//! interrupt their newest ones, in the order of the VMs' names, until the rest
//! fits. An interrupted item resumes elsewhere after the last event that it
//! received, so little work is lost. Only where many VMs place requests at once,
//! one slot of each upstream stays free, for requests that arrive there before
//! their VMs know of each other's.
//!
//! This adapts to steps of online load within seconds while batch load leaves
//! few slots free on average and items wait on many VMs at once.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::job::Task;
use super::manager::{Jobs, unix_ms};
use super::record::{Head, Item};
use super::run::{self, AttemptOutcome};
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::Service;
use crate::serve::context::{Slot, Use};
use crate::serve::place::{self, BatchChoice, Criteria};
use crate::serve::upstream::Key;

/// Maximum number of items that a VM starts in a row. The pause afterwards lets
/// VMs see each other's starts.
const MAX_CONSECUTIVE_STARTS: usize = 2;
/// Pause between bursts of starts.
const START_PAUSE: Duration = Duration::from_millis(15);
/// Maximum time between two scheduling rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Length of the time slice in which a single VM may take the free slots of an
/// upstream.
const TIME_SLICE: Duration = Duration::from_millis(25);

/// Result of an attempt to start an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// An item was started.
    Started,
    /// Slots are free, but it is another VM's turn to take them.
    OtherTurn,
    /// Items are waiting, but no slot is free.
    NoFreeSlot,
    /// No item is waiting.
    NoWaitingItem,
}

/// A running item.
pub struct RunningItem {
    pub(super) job: String,
    pub(super) item: String,
    pub(super) key: Key,
    pub(super) started: Time,
    pub(super) interrupt: Rc<Notify>,
}

/// An item with the slot that it will run in.
struct PlannedItem {
    job: String,
    head: Head,
    item: Item,
    next: Task,
    max_attempts: u32,
    slot: Slot,
}

/// Number of its own items that a VM must interrupt at an upstream, where VMs
/// earlier in the order run `before` items.
pub fn interrupt_count(total: u32, slots: u32, before: u32, own: u32) -> u32 {
    total.saturating_sub(slots).saturating_sub(before).min(own)
}

impl Jobs {
    /// Starts and interrupts items in an endless loop.
    pub async fn dispatch(self: Rc<Self>) {
        loop {
            self.interrupt_excess();
            self.dead_letter_expired();
            let mut choice = Choice::NoWaitingItem;
            for _ in 0..MAX_CONSECUTIVE_STARTS {
                choice = self.start_next();
                if choice != Choice::Started {
                    break;
                }
            }
            self.publish_waiting(choice != Choice::NoWaitingItem);
            match choice {
                Choice::Started => tokio::time::sleep(START_PAUSE).await,
                Choice::OtherTurn => tokio::time::sleep(TIME_SLICE).await,
                Choice::NoFreeSlot | Choice::NoWaitingItem => {
                    let _ = tokio::time::timeout(
                        MAX_ROUND_INTERVAL,
                        self.context.work_changed.notified(),
                    )
                    .await;
                }
            }
        }
    }

    /// Publishes to the other VMs whether items are waiting here.
    fn publish_waiting(&self, waiting: bool) {
        if self.context.items_waiting.replace(waiting) != waiting {
            self.context.load_changed.notify_one();
        }
    }

    fn start_next(self: &Rc<Self>) -> Choice {
        if self.context.stopping.get() {
            return Choice::NoWaitingItem;
        }
        let start = match self.choose() {
            Ok(start) => start,
            Err(choice) => return choice,
        };
        let interrupt = Rc::new(Notify::new());
        self.running.borrow_mut().push(RunningItem {
            job: start.job.clone(),
            item: start.item.id.clone(),
            key: start.slot.key,
            started: self.context.now(),
            interrupt: interrupt.clone(),
        });
        let jobs = self.clone();
        actix_rt::spawn(async move { jobs.run_item(start, interrupt).await });
        Choice::Started
    }

    /// Chooses the first item that finds a slot, ordered by the due time of its
    /// job.
    fn choose(&self) -> std::result::Result<PlannedItem, Choice> {
        let now = self.context.now();
        let configuration = self.context.configuration().ok_or(Choice::NoWaitingItem)?;
        let mut owned = self.owned.borrow_mut();
        let mut by_due: Vec<(Time, String)> =
            owned.values().map(|owned| (owned.job.due, owned.job.id.clone())).collect();
        by_due.sort();
        let mut choice = Choice::NoWaitingItem;
        for (_, id) in by_due {
            let Some(owned) = owned.get_mut(&id) else { continue };
            let job = &mut owned.job;
            let Some(route) = configuration.route(&job.head.host, &job.head.path) else {
                continue;
            };
            if !job.has_ready(now) {
                continue;
            }
            let slot = match self.find_slot(route.target(self.context.random()), now) {
                Ok(slot) => slot,
                Err(reason) => {
                    choice = reason;
                    continue;
                }
            };
            let Some(next) = job.start(now) else { continue };
            let item = job.spec.items[next.index].clone();
            let (head, max_attempts) = (job.head.clone(), route.max_attempts);
            return Ok(PlannedItem { job: id, head, item, next, max_attempts, slot });
        }
        Err(choice)
    }

    /// Dead-letters the waiting items of jobs that have expired or whose route
    /// was removed.
    fn dead_letter_expired(self: &Rc<Self>) {
        let now = self.context.now();
        let Some(configuration) = self.context.configuration() else { return };
        let mut expired = Vec::new();
        for owned in self.owned.borrow_mut().values_mut() {
            let job = &mut owned.job;
            let routed = configuration.route(&job.head.host, &job.head.path).is_some();
            if (job.expires.passed(now) || !routed) && job.dead_letter_waiting() {
                expired.push(job.id.clone());
            }
        }
        for id in expired {
            emit!(self.context.log, Event::JobGivenUp, "job" => id.as_str());
            self.flush(&id);
        }
    }

    fn find_slot(&self, service: Option<&Service>, now: Time) -> std::result::Result<Slot, Choice> {
        let criteria = Criteria {
            service: service.ok_or(Choice::NoFreeSlot)?,
            data_centre: &self.context.member.data_centre,
            tried: &[],
            tie_breaker: self.context.random(),
        };
        let contenders = self.context.contenders.borrow();
        let slice_number = unix_ms() / TIME_SLICE.as_millis() as u64;
        let turn =
            |upstream| place::is_turn(self.context.vm(), &contenders, upstream, slice_number);
        let reserve = place::reserved_slots(self.context.view.borrow().members.len());
        let place = place::batch(&self.context.table.borrow(), criteria, reserve, turn, now);
        match place {
            BatchChoice::Upstream(key) => {
                self.context.take_slot(key, Use::Batch).ok_or(Choice::NoFreeSlot)
            }
            BatchChoice::OtherTurn => Err(Choice::OtherTurn),
            BatchChoice::Full => Err(Choice::NoFreeSlot),
        }
    }

    async fn run_item(self: Rc<Self>, start: PlannedItem, interrupt: Rc<Notify>) {
        let PlannedItem { job, head, item, next, max_attempts, slot } = start;
        let (upstream, index) = (slot.upstream.clone(), next.index);
        let outcome = run::run(&self.context, slot, &head, &item, next.progress, &interrupt).await;
        self.running.borrow_mut().retain(|running| !Rc::ptr_eq(&running.interrupt, &interrupt));
        emit!(self.context.log, Event::ItemEnded, "job" => job.as_str(), "item" => item.id.as_str(),
            "upstream" => upstream.as_str(), "outcome" => outcome.as_str());
        metrics::counter!("serve_item_attempts_total", "outcome" => outcome.as_str()).increment(1);
        let stored = matches!(
            outcome,
            AttemptOutcome::Completed(_) | AttemptOutcome::Impossible | AttemptOutcome::Failed(_)
        );
        if let Some(owned) = self.owned.borrow_mut().get_mut(&job) {
            owned.job.finish_attempt(index, outcome, max_attempts, self.context.now());
        }
        if stored {
            self.flush(&job);
        }
        self.context.work_changed.notify_one();
    }

    fn interrupt_excess(&self) {
        let running = self.running.borrow();
        let mut keys: Vec<Key> = running.iter().map(|running| running.key).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            let table = self.context.table.borrow();
            let Some(entry) = table.get(key) else { continue };
            let slots = entry.registration.slots;
            let before = entry.batch_yielding_first;
            let count = interrupt_count(entry.load().total(), slots, before, entry.own.batch);
            let mut here: Vec<&RunningItem> =
                running.iter().filter(|item| item.key == key).collect();
            here.sort_by_key(|item| std::cmp::Reverse(item.started));
            for item in here.into_iter().take(count as usize) {
                emit!(self.context.log, Event::ItemInterrupted, "job" => item.job.as_str(),
                    "item" => item.item.as_str(),
                    "upstream" => entry.registration.upstream.as_str(), "slots" => slots,
                    "own_online" => entry.own.online, "own_batch" => entry.own.batch,
                    "peers_online" => entry.peers.online, "peers_batch" => entry.peers.batch,
                    "before" => before);
                item.interrupt.notify_one();
            }
        }
    }
}
