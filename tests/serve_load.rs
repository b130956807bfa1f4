//! Simulation of online load in bursts next to batch jobs, in virtual time. Tests
//! upstream selection, load shedding and preemption by what callers get.
//!
//! Upstreams admit requests in order of arrival and run eight concurrently. A
//! preempted item keeps its progress and waits before it resumes.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream, Version};
use parsleybeam::serve::jobs::interrupt_count;
use parsleybeam::serve::place::{self, BatchChoice, Criteria};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::{Key, Table};

const STEP_MS: u64 = 5;
const UPSTREAMS: usize = 9;
const SLOTS: u32 = 8;
/// Time to the first event when a slot is free.
const PREFILL_MS: u64 = 50;
const ONLINE_MS: u64 = 900;
const ITEM_MS: u64 = 5_900;
/// Cost of a preemption to the item: the wait, and the prefill of its progress.
const PREEMPTION_MS: u64 = 90;
const TARGET_MS: f64 = 300.0;
const ONLINE_PER_S: f64 = 38.0;
const ITEMS_PER_S: f64 = 6.0;
const LENGTH_MS: u64 = 300_000;

/// Arrival rate relative to the mean, with the load steps seen on the users' sites.
fn relative_rate(now_ms: u64) -> f64 {
    if now_ms % 6_600 < 3_800 { 0.377 } else { 1.84 }
}

#[derive(Clone, Copy)]
struct Item {
    arrived_ms: u64,
    remaining_ms: u64,
    not_before_ms: u64,
}

struct Simulation {
    table: Table,
    online: Vec<(Key, u64)>,
    running: Vec<(Key, Item)>,
    waiting: Vec<Item>,
    sent: u64,
    refused: u64,
    served_on_time: u64,
    item_durations_ms: Vec<u64>,
}

impl Simulation {
    fn new() -> Self {
        let registration = |index| Registration {
            upstream: Upstream::from(format!("i-{index}")),
            service: Service::from("text"),
            address: "127.0.0.1:1".parse().expect("the address is valid"),
            data_centre: DataCentre::from("porto"),
            version: Version::from("v1"),
            slots: SLOTS,
            draining: false,
            started_unix_ms: 1,
            cold_left_ms: None,
            revision: 0,
        };
        let all: Vec<_> = (0..UPSTREAMS).map(registration).collect();
        let mut table = Table::default();
        table.replace(&all, None, Time(0));
        let (online, running, waiting) = (Vec::new(), Vec::new(), Vec::new());
        let item_durations_ms = Vec::new();
        Self {
            table,
            online,
            running,
            waiting,
            sent: 0,
            refused: 0,
            served_on_time: 0,
            item_durations_ms,
        }
    }

    fn run(mut self) -> Self {
        let (mut online_due, mut items_due) = (0.0, 0.0);
        for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            let seconds = STEP_MS as f64 / 1e3;
            online_due += ONLINE_PER_S * relative_rate(now_ms) * seconds;
            items_due += ITEMS_PER_S * seconds;
            self.finish(now_ms);
            while online_due >= 1.0 {
                online_due -= 1.0;
                self.arrive(now_ms);
            }
            while items_due >= 1.0 {
                items_due -= 1.0;
                let item =
                    Item { arrived_ms: now_ms, remaining_ms: ITEM_MS, not_before_ms: now_ms };
                self.waiting.push(item);
            }
            self.preempt(now_ms);
            self.start_items(now_ms);
        }
        self
    }

    /// Removes finished requests and advances running items.
    fn finish(&mut self, now_ms: u64) {
        let ended: Vec<Key> =
            self.online.iter().filter(|(_, end)| *end <= now_ms).map(|(key, _)| *key).collect();
        self.online.retain(|(_, end)| *end > now_ms);
        for key in ended {
            self.table.get_mut(key).expect("the upstream is in the table").own.online -= 1;
        }
        let mut done = Vec::new();
        for (key, item) in &mut self.running {
            item.remaining_ms = item.remaining_ms.saturating_sub(STEP_MS);
            if item.remaining_ms == 0 {
                done.push(*key);
                self.item_durations_ms.push(now_ms - item.arrived_ms);
            }
        }
        self.running.retain(|(_, item)| item.remaining_ms > 0);
        for key in done {
            self.table.get_mut(key).expect("the upstream is in the table").own.batch -= 1;
        }
    }

    fn criteria<'a>(service: &'a Service, data_centre: &'a DataCentre) -> Criteria<'a> {
        Criteria {
            service,
            version: None,
            data_centre,
            tried: &[],
            items_wait: false,
            tie_breaker: 0,
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let (service, data_centre) = (Service::from("text"), DataCentre::from("porto"));
        self.sent += 1;
        let now = Time(0).after(Duration::from_millis(now_ms + 1));
        let choice = place::online(&self.table, Self::criteria(&service, &data_centre), now);
        let choice = choice.expect("all upstreams are usable");
        if !choice.free && choice.expected_ms > TARGET_MS {
            self.refused += 1;
            return;
        }
        let entry = self.table.get_mut(choice.key).expect("the upstream is in the table");
        entry.own.online += 1;
        let earlier = self.online.iter().filter(|(key, _)| *key == choice.key);
        let mut ends: Vec<u64> = earlier.map(|(_, end)| *end).collect();
        ends.sort_unstable();
        // With all slots taken it starts when enough earlier requests have ended.
        let excess = (ends.len() + 1).saturating_sub(SLOTS as usize);
        let starts_at = if excess == 0 { now_ms } else { ends[excess - 1] };
        let first_event = starts_at - now_ms + PREFILL_MS;
        if first_event as f64 <= TARGET_MS {
            self.served_on_time += 1;
        }
        self.online.push((choice.key, starts_at + ONLINE_MS));
    }

    fn preempt(&mut self, now_ms: u64) {
        let keys: Vec<Key> = self.table.iter().map(|(key, _)| key).collect();
        for key in keys {
            let entry = self.table.get_mut(key).expect("the upstream is in the table");
            let count = interrupt_count(entry.load().total(), SLOTS, 0, entry.own.batch);
            entry.own.batch -= count;
            for _ in 0..count {
                let newest = self.running.iter().rposition(|(running_at, _)| *running_at == key);
                let (_, item) = self.running.remove(newest.expect("a counted item is running"));
                let not_before_ms = now_ms + PREEMPTION_MS;
                self.waiting.insert(0, Item { not_before_ms, ..item });
            }
        }
    }

    fn start_items(&mut self, now_ms: u64) {
        let (service, data_centre) = (Service::from("text"), DataCentre::from("porto"));
        let now = Time(0).after(Duration::from_millis(now_ms + 1));
        while let Some(next) = self.waiting.iter().position(|item| item.not_before_ms <= now_ms) {
            let criteria = Self::criteria(&service, &data_centre);
            let headroom = place::headroom(&self.table, &service);
            let BatchChoice::Upstream(key) =
                place::batch(&self.table, criteria, headroom, |_| true, now)
            else {
                return;
            };
            self.table.get_mut(key).expect("the upstream is in the table").own.batch += 1;
            let item = self.waiting.remove(next);
            self.running.push((key, item));
        }
    }
}

#[test]
fn online_bursts_with_batch_load() {
    let mut simulation = Simulation::new().run();
    let on_time = simulation.served_on_time as f64 / simulation.sent as f64;
    assert!(on_time >= 0.99, "share of first events within the target: {on_time:.4}");
    let refused = simulation.refused as f64 / simulation.sent as f64;
    assert!(refused <= 0.01, "share of refused requests: {refused:.4}");
    simulation.item_durations_ms.sort_unstable();
    let p95_ms = simulation.item_durations_ms[simulation.item_durations_ms.len() * 95 / 100];
    assert!(p95_ms <= 18_000, "95th percentile of item durations: {p95_ms} ms");
    let share = simulation.item_durations_ms.len() as f64 / (ITEMS_PER_S * LENGTH_MS as f64 / 1e3);
    assert!(share >= 0.9, "share of completed items: {share:.3}");
}
