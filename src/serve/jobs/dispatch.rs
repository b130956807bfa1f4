//! Schedules items on upstreams and interrupts them in favour of online
//! requests.
//!
//! Items use the slots that online requests leave free, but for a few that are
//! kept for the next arrivals (`place::headroom`). When online requests and items
//! together exceed an upstream's slots, the VMs that run items there interrupt
//! their least urgent ones, in the order of the VMs' names, until the rest fits.
//! An interrupted item resumes elsewhere after the last event that it received,
//! so little work is lost.
//!
//! This adapts to steps of online load within seconds while batch load leaves
//! few slots free on average and items wait on many VMs at once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::job::Task;
use super::manager::{Jobs, unix_ms};
use super::record::{Head, Item};
use super::run::{self, AttemptOutcome, Progress};
use super::schedule::{self, Rank};
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::{Service, Version};
use crate::serve::configuration::{Configuration, Route};
use crate::serve::held::Kind;
use crate::serve::origin::Origin;
use crate::serve::place::{self, BatchChoice, Contender, Criteria, Room};
use crate::serve::slot::Slot;
use crate::serve::upstream::{Key, Timing, Use};

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

/// Items over which the mean size of outputs is taken.
const OUTPUT_WEIGHT: usize = 8;

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
    pub(super) due: Time,
    pub(super) ends_at: Time,
    pub(super) started: Time,
    /// When it would have started, had all of its output been made by this run.
    pub(super) begun: Time,
    pub(super) interrupted: Cell<bool>,
    pub(super) interrupt: Rc<Notify>,
}

/// An item with the slot that it will run in.
struct PlannedItem {
    job: String,
    head: Head,
    item: Item,
    next: Task,
    due: Time,
    max_attempts: u32,
    slot: Slot,
}

/// The most urgent waiting item of a job.
struct Candidate {
    rank: Rank,
    job: String,
    index: usize,
}

/// Number of its own items that a VM must interrupt at an upstream, where VMs
/// earlier in the order run `before` items.
pub fn interrupt_count(total: u32, slots: u32, before: u32, own: u32) -> u32 {
    total.saturating_sub(slots).saturating_sub(before).min(own)
}

impl RunningItem {
    /// How much of the item is done, for metrics.
    fn progress(&self, now: Time) -> &'static str {
        let (done, all) = (self.begun.until(now), self.begun.until(self.ends_at));
        match done.as_secs_f64() / all.as_secs_f64() {
            share if share < 0.25 => "first quarter",
            share if share < 0.5 => "second quarter",
            share if share < 0.75 => "third quarter",
            _ => "last quarter",
        }
    }
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

    /// Publishes to the other VMs whether items are waiting here. Their number is
    /// published with the next load report.
    fn publish_waiting(&self, waiting: bool) {
        if self.context.items_waiting.replace(waiting) != waiting {
            self.context.load_changed.notify_one();
        }
    }

    fn start_next(self: &Rc<Self>) -> Choice {
        if self.context.stopping.get() {
            return Choice::NoWaitingItem;
        }
        if !self.has_room_for_output() {
            return Choice::NoFreeSlot;
        }
        let start = match self.choose() {
            Ok(start) => start,
            Err(choice) => return choice,
        };
        let interrupt = Rc::new(Notify::new());
        let now = self.context.now();
        let timing = self.context.table.borrow().timing_at(start.slot.key);
        let made_ms = start.next.progress.events.len() as f64 * timing.event_ms;
        let made = Duration::try_from_secs_f64(made_ms / 1e3).unwrap_or_default();
        self.running.borrow_mut().push(RunningItem {
            job: start.job.clone(),
            item: start.item.id.clone(),
            key: start.slot.key,
            due: start.due,
            ends_at: schedule::expected_end(&start.item, &start.next.progress, timing, now),
            started: now,
            begun: Time(now.0.saturating_sub(made.as_micros() as u64)),
            interrupted: Cell::new(false),
            interrupt: interrupt.clone(),
        });
        let jobs = self.clone();
        actix_rt::spawn(async move { jobs.run_item(start, interrupt).await });
        Choice::Started
    }

    /// Whether the output of one more item is expected to fit, beside those of the items that
    /// run and those that aren't stored yet.
    fn has_room_for_output(&self) -> bool {
        let held = &self.context.held;
        let unstored: usize = self.owned.borrow().values().map(|owned| owned.output.bytes()).sum();
        let running = self.running.borrow().len();
        let expected = (running + 1).saturating_mul(self.output_bytes.get());
        // One item alone may always run.
        running == 0 && unstored == 0
            || unstored.saturating_add(expected) <= held.limit(Kind::Output)
    }

    /// Chooses the most urgent item that finds a slot.
    fn choose(&self) -> std::result::Result<PlannedItem, Choice> {
        let now = self.context.now();
        let configuration = self.context.configuration().ok_or(Choice::NoWaitingItem)?;
        let mut choice = Choice::NoWaitingItem;
        for Candidate { job: id, index, .. } in self.candidates(&configuration, now) {
            let mut owned = self.owned.borrow_mut();
            let Some(owned) = owned.get_mut(&id) else { continue };
            let job = &mut owned.job;
            let Some(route) = configuration.route(&job.head.host, &job.head.path) else {
                continue;
            };
            let resumes_at = job.resumes_at(index, now).filter(|origin| self.serves(origin, route));
            let (service, version) = match resumes_at {
                Some(origin) => (Some(&origin.service), Some(&origin.version)),
                None => (route.target(self.context.random()), None),
            };
            let slot = match self.find_slot(service, version, now) {
                Ok(slot) => slot,
                Err(reason) => {
                    choice = reason;
                    continue;
                }
            };
            let Some(mut next) = job.start(index) else { continue };
            let output = job.output_bytes();
            let item = job.spec.items[next.index].clone();
            self.start_over_elsewhere(&id, &item.id, &mut next.progress, &slot);
            let (head, due, max_attempts) = (job.head.clone(), job.due, route.max_attempts);
            owned.output.set(output);
            return Ok(PlannedItem { job: id, head, item, next, due, max_attempts, slot });
        }
        Err(choice)
    }

    /// The most urgent waiting item of each job, most urgent first. Counts those
    /// that can still end in time for the other VMs.
    fn candidates(&self, configuration: &Configuration, now: Time) -> Vec<Candidate> {
        let table = self.context.table.borrow();
        let mut in_time = 0;
        let mut candidates = Vec::new();
        for (id, owned) in self.owned.borrow().iter() {
            let job = &owned.job;
            let Some(route) = configuration.route(&job.head.host, &job.head.path) else {
                continue;
            };
            let timing = route.target(0).map_or(Timing::INITIAL, |service| table.timing(service));
            let is_full = |origin: &Origin| {
                place::room(&table, &origin.service, &origin.version, now) == Room::Full
            };
            let ready = job.ready(timing, is_full, now);
            in_time += ready.in_time;
            if let Some((rank, index)) = ready.first {
                candidates.push(Candidate { rank, job: id.clone(), index });
            }
        }
        candidates.sort_by(|a, b| (a.rank, &a.job).cmp(&(b.rank, &b.job)));
        self.context.items_in_time.set(in_time);
        candidates
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

    /// Whether upstreams of an item's origin still serve its route.
    fn serves(&self, origin: &Origin, route: &Route) -> bool {
        let table = self.context.table.borrow();
        let now = self.context.now();
        route.targets.iter().any(|(service, _)| service == &origin.service)
            && place::room(&table, &origin.service, &origin.version, now) != Room::Gone
    }

    /// Drops the partial output of an item that can't go on at the upstream of `slot`.
    fn start_over_elsewhere(&self, job: &str, item: &str, progress: &mut Progress, slot: &Slot) {
        let (events, origin) = (progress.events.len(), progress.origin.clone());
        if !progress.restrict_to(&slot.origin) {
            return;
        }
        let version = origin.map_or_else(String::new, |origin| origin.version.to_string());
        metrics::counter!("serve_items_started_over_total").increment(1);
        emit!(self.context.log, Event::ItemStartedOver, "job" => job, "item" => item,
            "upstream" => slot.upstream.as_str(), "version" => version,
            "next_version" => slot.origin.version.as_str(), "events_dropped" => events);
    }

    fn find_slot(
        &self,
        service: Option<&Service>,
        version: Option<&Version>,
        now: Time,
    ) -> std::result::Result<Slot, Choice> {
        let criteria = Criteria {
            service: service.ok_or(Choice::NoFreeSlot)?,
            version,
            data_centre: &self.context.member.data_centre,
            tried: &[],
            items_wait: !self.context.priority.borrow().is_online_short(now),
            tie_breaker: self.context.random(),
        };
        let contenders = self.context.contenders.borrow();
        let own =
            Contender { vm: self.context.vm().clone(), items: self.context.items_in_time.get() };
        let slice_number = unix_ms() / TIME_SLICE.as_millis() as u64;
        let table = self.context.table.borrow();
        let turn = |upstream| place::is_turn(&own, &contenders, upstream, slice_number);
        let headroom = place::headroom(&table, criteria.service);
        let place = place::batch(&table, criteria, headroom, turn, now);
        drop(table);
        match place {
            BatchChoice::Upstream(key) => {
                self.context.take_slot(key, Use::Batch).ok_or(Choice::NoFreeSlot)
            }
            BatchChoice::OtherTurn => Err(Choice::OtherTurn),
            BatchChoice::Full => Err(Choice::NoFreeSlot),
        }
    }

    async fn run_item(self: Rc<Self>, start: PlannedItem, interrupt: Rc<Notify>) {
        let PlannedItem { job, head, item, next, max_attempts, slot, .. } = start;
        let (upstream, key, index) = (slot.upstream.clone(), slot.key, next.index);
        let (started, events_before) = (self.context.now(), next.progress.events.len());
        let outcome = run::run(&self.context, slot, &head, &item, next.progress, &interrupt).await;
        self.running.borrow_mut().retain(|running| !Rc::ptr_eq(&running.interrupt, &interrupt));
        let took_ms = started.until(self.context.now()).as_secs_f64() * 1e3;
        let events = outcome.events() - events_before.min(outcome.events());
        let name = outcome.as_str();
        let mut table = self.context.table.borrow_mut();
        table.record_item_attempt(key, events, took_ms);
        if let AttemptOutcome::Completed(output) = &outcome {
            self.record_output(output.len());
            table.record_item_size(key, outcome.events(), item.tokens);
        }
        drop(table);
        metrics::counter!("serve_item_attempts_total", "outcome" => name).increment(1);
        let stored = matches!(
            outcome,
            AttemptOutcome::Completed(_) | AttemptOutcome::Impossible | AttemptOutcome::Failed(_)
        );
        let has_failed = matches!(outcome, AttemptOutcome::Failed(_));
        let now = self.context.now();
        let retry_at = self.owned.borrow_mut().get_mut(&job).and_then(|owned| {
            owned.job.finish_attempt(index, outcome, max_attempts, now);
            owned.charge_output();
            owned.job.not_before(index)
        });
        let retry_ms = retry_at.map_or(-1, |at| now.until(at).as_millis() as i64);
        emit!(self.context.log, Event::ItemEnded, "job" => job.as_str(), "item" => item.id.as_str(),
            "upstream" => upstream.as_str(), "outcome" => name, "took_ms" => took_ms as u64,
            "events" => events, "events_before" => events_before, "retry_in_ms" => retry_ms);
        if has_failed {
            self.store_failures(&job, index);
        }
        if stored {
            self.flush(&job);
        }
        self.context.work_changed.notify_one();
    }

    /// Records the size of an item's output. The mean follows a change within some ten items.
    fn record_output(&self, bytes: usize) {
        let mean = self.output_bytes.get();
        self.output_bytes.set(mean - mean / OUTPUT_WEIGHT + bytes / OUTPUT_WEIGHT);
    }

    fn interrupt_excess(&self) {
        let running = self.running.borrow();
        let mut keys: Vec<Key> = running.iter().map(|running| running.key).collect();
        keys.sort();
        keys.dedup();
        let now = self.context.now();
        for key in keys {
            let table = self.context.table.borrow();
            let Some(entry) = table.get(key) else { continue };
            let slots = entry.registration.slots;
            let before = entry.batch_yielding_first;
            let count = interrupt_count(entry.load().total(), slots, before, entry.own.batch);
            let mut here: Vec<&RunningItem> =
                running.iter().filter(|item| item.key == key).collect();
            // Items that are being interrupted still hold their slots and are counted first.
            let order = |item: &&RunningItem| {
                let rank = Rank::new(item.due, item.ends_at);
                (item.interrupted.get(), rank, item.started)
            };
            here.sort_by_key(|item| std::cmp::Reverse(order(item)));
            for item in here.into_iter().take(count as usize) {
                if item.interrupted.replace(true) {
                    continue;
                }
                emit!(self.context.log, Event::ItemInterrupted, "job" => item.job.as_str(),
                    "item" => item.item.as_str(),
                    "upstream" => entry.registration.upstream.as_str(), "slots" => slots,
                    "own_online" => entry.own.online, "own_batch" => entry.own.batch,
                    "peers_online" => entry.peers.online, "peers_batch" => entry.peers.batch,
                    "before" => before);
                let progress = item.progress(now);
                metrics::counter!("serve_item_cuts_total", "progress" => progress).increment(1);
                item.interrupt.notify_one();
            }
        }
    }
}
