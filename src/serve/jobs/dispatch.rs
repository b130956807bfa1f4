//! Which items run where, and which make room for online requests.
//!
//! Items take all slots that online requests leave. When online requests and
//! items together exceed an upstream's slots, the VMs that run items there
//! interrupt the newest ones, in the order of their names, until the rest fits.
//! An interrupted item goes on elsewhere after the last event that it has, so
//! it loses little. Only where many VMs choose at once a slot stays free at each
//! upstream, for requests that meet there before their VMs know of each other.
//!
//! Answers steps of online load within seconds, with batch load that leaves
//! few slots free on average, and items that wait at many VMs at once.

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

/// Most items that a VM starts at one moment, so that VMs see each other's.
const MAX_STARTS: usize = 2;
/// Pause between moments at which items start.
const START_PAUSE: Duration = Duration::from_millis(15);
/// Longest time between two looks at what may run.
const LOOK: Duration = Duration::from_millis(200);

/// Time for which one VM alone may take room at an upstream.
const TURN: Duration = Duration::from_millis(25);

/// What came of a look for an item to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// An item was started.
    Started,
    /// There is room that other VMs may take now.
    NotYet,
    /// Items wait and there is no room.
    NoRoom,
    /// No item waits.
    Nothing,
}

/// An item that runs.
pub struct Running {
    pub(super) job: String,
    pub(super) item: String,
    pub(super) key: Key,
    pub(super) started: Time,
    pub(super) interrupt: Rc<Notify>,
}

/// An item that is about to run.
struct Start {
    job: String,
    head: Head,
    item: Item,
    next: Task,
    max_attempts: u32,
    slot: Slot,
}

/// How many of this VM's items must make room at an upstream, where `before`
/// items belong to VMs that come first.
pub fn interrupt_count(total: u32, slots: u32, before: u32, own: u32) -> u32 {
    total.saturating_sub(slots).saturating_sub(before).min(own)
}

impl Jobs {
    /// Starts and interrupts items for ever.
    pub async fn dispatch(self: Rc<Self>) {
        loop {
            self.interrupt_excess();
            self.expire();
            let mut choice = Choice::Nothing;
            for _ in 0..MAX_STARTS {
                choice = self.start_one();
                if choice != Choice::Started {
                    break;
                }
            }
            self.say_waiting(choice != Choice::Nothing);
            match choice {
                Choice::Started => tokio::time::sleep(START_PAUSE).await,
                Choice::NotYet => tokio::time::sleep(TURN).await,
                Choice::NoRoom | Choice::Nothing => {
                    let _ = tokio::time::timeout(LOOK, self.fleet.work_changed.notified()).await;
                }
            }
        }
    }

    /// Tells the other VMs whether items wait here.
    fn say_waiting(&self, waiting: bool) {
        if self.fleet.items_waiting.replace(waiting) != waiting {
            self.fleet.load_changed.notify_one();
        }
    }

    fn start_one(self: &Rc<Self>) -> Choice {
        if self.fleet.stopping.get() {
            return Choice::Nothing;
        }
        let start = match self.choose() {
            Ok(start) => start,
            Err(choice) => return choice,
        };
        let interrupt = Rc::new(Notify::new());
        self.running.borrow_mut().push(Running {
            job: start.job.clone(),
            item: start.item.id.clone(),
            key: start.slot.key,
            started: self.fleet.now(),
            interrupt: interrupt.clone(),
        });
        let jobs = self.clone();
        actix_rt::spawn(async move { jobs.run_item(start, interrupt).await });
        Choice::Started
    }

    /// The first item, by the time its job is due, that finds a slot.
    fn choose(&self) -> std::result::Result<Start, Choice> {
        let now = self.fleet.now();
        let configuration = self.fleet.configuration().ok_or(Choice::Nothing)?;
        let mut owned = self.owned.borrow_mut();
        let mut order: Vec<(Time, String)> =
            owned.values().map(|owned| (owned.job.due, owned.job.id.clone())).collect();
        order.sort();
        let mut choice = Choice::Nothing;
        for (_, id) in order {
            let Some(owned) = owned.get_mut(&id) else { continue };
            let job = &mut owned.job;
            let Some(route) = configuration.route(&job.head.host, &job.head.path) else {
                continue;
            };
            if !job.has_ready(now) {
                continue;
            }
            let slot = match self.find_slot(route.target(self.fleet.random()), now) {
                Ok(slot) => slot,
                Err(reason) => {
                    choice = reason;
                    continue;
                }
            };
            let Some(next) = job.start(now) else { continue };
            let item = job.spec.items[next.index].clone();
            let (head, max_attempts) = (job.head.clone(), route.max_attempts);
            return Ok(Start { job: id, head, item, next, max_attempts, slot });
        }
        Err(choice)
    }

    /// Gives up jobs that are past their time or whose route is gone.
    fn expire(self: &Rc<Self>) {
        let now = self.fleet.now();
        let Some(configuration) = self.fleet.configuration() else { return };
        let mut given_up = Vec::new();
        for owned in self.owned.borrow_mut().values_mut() {
            let job = &mut owned.job;
            let routed = configuration.route(&job.head.host, &job.head.path).is_some();
            if (job.expires.passed(now) || !routed) && job.dead_letter_waiting() {
                given_up.push(job.id.clone());
            }
        }
        for id in given_up {
            emit!(self.fleet.log, Event::JobGivenUp, "job" => id.as_str());
            self.flush(&id);
        }
    }

    fn find_slot(&self, service: Option<&Service>, now: Time) -> std::result::Result<Slot, Choice> {
        let wish = Criteria {
            service: service.ok_or(Choice::NoRoom)?,
            data_centre: &self.fleet.member.data_centre,
            tried: &[],
            tie_breaker: self.fleet.random(),
        };
        let contenders = self.fleet.contenders.borrow();
        let slice = unix_ms() / TURN.as_millis() as u64;
        let turn = |upstream| place::is_turn(self.fleet.vm(), &contenders, upstream, slice);
        let reserve = place::reserved_slots(self.fleet.view.borrow().members.len());
        let place = place::batch(&self.fleet.table.borrow(), wish, reserve, turn, now);
        match place {
            BatchChoice::Upstream(key) => {
                self.fleet.take_slot(key, Use::Batch).ok_or(Choice::NoRoom)
            }
            BatchChoice::OtherTurn => Err(Choice::NotYet),
            BatchChoice::Full => Err(Choice::NoRoom),
        }
    }

    async fn run_item(self: Rc<Self>, start: Start, interrupt: Rc<Notify>) {
        let Start { job, head, item, next, max_attempts, slot } = start;
        let (upstream, index) = (slot.upstream.clone(), next.index);
        let ended = run::run(&self.fleet, slot, &head, &item, next.progress, &interrupt).await;
        self.running.borrow_mut().retain(|running| !Rc::ptr_eq(&running.interrupt, &interrupt));
        emit!(self.fleet.log, Event::ItemEnded, "job" => job.as_str(), "item" => item.id.as_str(),
            "upstream" => upstream.as_str(), "outcome" => ended.as_str());
        metrics::counter!("serve_item_attempts_total", "outcome" => ended.as_str()).increment(1);
        let stored = matches!(
            ended,
            AttemptOutcome::Completed(_) | AttemptOutcome::Impossible | AttemptOutcome::Failed(_)
        );
        if let Some(owned) = self.owned.borrow_mut().get_mut(&job) {
            owned.job.finish_attempt(index, ended, max_attempts, self.fleet.now());
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
            let before = entry.batch_yielding_first;
            let count = interrupt_count(entry.load().total(), slots, before, entry.own.batch);
            let mut here: Vec<&Running> = running.iter().filter(|item| item.key == key).collect();
            here.sort_by_key(|item| std::cmp::Reverse(item.started));
            for item in here.into_iter().take(count as usize) {
                emit!(self.fleet.log, Event::ItemInterrupted, "job" => item.job.as_str(),
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
