//! Online requests in steps beside jobs, in virtual time: what callers get from
//! the decisions of placing, refusing and making room.
//!
//! Upstreams admit requests in order of arrival; each runs eight at once. An
//! item that makes room keeps its progress and waits before it goes on.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream};
use parsleybeam::serve::jobs::interrupt_count;
use parsleybeam::serve::place::{self, BatchChoice, Criteria};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::{Key, Table};

const STEP_MS: u64 = 5;
const UPSTREAMS: usize = 9;
const SLOTS: u32 = 8;
/// Time to a first event where a slot is free.
const PREFILL_MS: u64 = 50;
const ONLINE_MS: u64 = 900;
const ITEM_MS: u64 = 5_900;
/// Loss of an item that makes room: its wait, and the reading of what it had.
const PREEMPTION_MS: u64 = 90;
const TARGET_MS: f64 = 300.0;
const ONLINE_PER_S: f64 = 38.0;
const ITEMS_PER_S: f64 = 6.0;
const LENGTH_MS: u64 = 300_000;

/// Share of the mean that arrives, in steps as on the users' sites.
fn step(now_ms: u64) -> f64 {
    if now_ms % 6_600 < 3_800 { 0.377 } else { 1.84 }
}

#[derive(Clone, Copy)]
struct Item {
    begun_ms: u64,
    left_ms: u64,
    not_before_ms: u64,
}

struct World {
    table: Table,
    online: Vec<(Key, u64)>,
    running: Vec<(Key, Item)>,
    waiting: Vec<Item>,
    asked: u64,
    refused: u64,
    served: u64,
    items_ms: Vec<u64>,
}

impl World {
    fn new() -> Self {
        let registration = |index| Registration {
            upstream: Upstream::from(format!("i-{index}")),
            service: Service::from("text"),
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: DataCentre::from("porto"),
            slots: SLOTS,
            draining: false,
            started_unix_ms: 1,
        };
        let all: Vec<_> = (0..UPSTREAMS).map(registration).collect();
        let mut table = Table::default();
        table.replace(&all, false, Time(0));
        let (online, running, waiting) = (Vec::new(), Vec::new(), Vec::new());
        let items_ms = Vec::new();
        Self { table, online, running, waiting, asked: 0, refused: 0, served: 0, items_ms }
    }

    fn run(mut self) -> Self {
        let (mut online_due, mut items_due) = (0.0, 0.0);
        for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            let seconds = STEP_MS as f64 / 1e3;
            online_due += ONLINE_PER_S * step(now_ms) * seconds;
            items_due += ITEMS_PER_S * seconds;
            self.end(now_ms);
            while online_due >= 1.0 {
                online_due -= 1.0;
                self.arrive(now_ms);
            }
            while items_due >= 1.0 {
                items_due -= 1.0;
                let item = Item { begun_ms: now_ms, left_ms: ITEM_MS, not_before_ms: now_ms };
                self.waiting.push(item);
            }
            self.make_room(now_ms);
            self.start(now_ms);
        }
        self
    }

    /// Ends what is done and moves items on.
    fn end(&mut self, now_ms: u64) {
        let ended: Vec<Key> =
            self.online.iter().filter(|(_, end)| *end <= now_ms).map(|(key, _)| *key).collect();
        self.online.retain(|(_, end)| *end > now_ms);
        for key in ended {
            self.table.get_mut(key).expect("listed").own.online -= 1;
        }
        let mut done = Vec::new();
        for (key, item) in &mut self.running {
            item.left_ms = item.left_ms.saturating_sub(STEP_MS);
            if item.left_ms == 0 {
                done.push(*key);
                self.items_ms.push(now_ms - item.begun_ms);
            }
        }
        self.running.retain(|(_, item)| item.left_ms > 0);
        for key in done {
            self.table.get_mut(key).expect("listed").own.batch -= 1;
        }
    }

    fn criteria<'a>(service: &'a Service, data_centre: &'a DataCentre) -> Criteria<'a> {
        Criteria { service, data_centre, tried: &[], tie_breaker: 0 }
    }

    fn arrive(&mut self, now_ms: u64) {
        let (service, data_centre) = (Service::from("text"), DataCentre::from("porto"));
        self.asked += 1;
        let now = Time(0).after(Duration::from_millis(now_ms + 1));
        let choice = place::online(&self.table, Self::criteria(&service, &data_centre), now);
        let choice = choice.expect("all are usable");
        if !choice.free && choice.expected_ms > TARGET_MS {
            self.refused += 1;
            return;
        }
        let entry = self.table.get_mut(choice.key).expect("listed");
        entry.own.online += 1;
        let before = self.online.iter().filter(|(key, _)| *key == choice.key);
        let mut ends: Vec<u64> = before.map(|(_, end)| *end).collect();
        ends.sort_unstable();
        // With all slots taken it begins when enough others have ended.
        let behind = (ends.len() + 1).saturating_sub(SLOTS as usize);
        let begins = if behind == 0 { now_ms } else { ends[behind - 1] };
        let first_event = begins - now_ms + PREFILL_MS;
        if first_event as f64 <= TARGET_MS {
            self.served += 1;
        }
        self.online.push((choice.key, begins + ONLINE_MS));
    }

    fn make_room(&mut self, now_ms: u64) {
        let keys: Vec<Key> = self.table.iter().map(|(key, _)| key).collect();
        for key in keys {
            let entry = self.table.get_mut(key).expect("listed");
            let count = interrupt_count(entry.load().total(), SLOTS, 0, entry.own.batch);
            entry.own.batch -= count;
            for _ in 0..count {
                let newest = self.running.iter().rposition(|(at, _)| *at == key);
                let (_, item) = self.running.remove(newest.expect("it is counted"));
                let not_before_ms = now_ms + PREEMPTION_MS;
                self.waiting.insert(0, Item { not_before_ms, ..item });
            }
        }
    }

    fn start(&mut self, now_ms: u64) {
        let (service, data_centre) = (Service::from("text"), DataCentre::from("porto"));
        let now = Time(0).after(Duration::from_millis(now_ms + 1));
        while let Some(next) = self.waiting.iter().position(|item| item.not_before_ms <= now_ms) {
            let criteria = Self::criteria(&service, &data_centre);
            let BatchChoice::Upstream(key) =
                place::batch(&self.table, criteria, place::reserved_slots(1), |_| true, now)
            else {
                return;
            };
            self.table.get_mut(key).expect("listed").own.batch += 1;
            let item = self.waiting.remove(next);
            self.running.push((key, item));
        }
    }
}

#[test]
fn load_in_steps_beside_jobs() {
    let mut world = World::new().run();
    let in_time = world.served as f64 / world.asked as f64;
    assert!(in_time >= 0.99, "first events in time: {in_time:.4}");
    let refused = world.refused as f64 / world.asked as f64;
    assert!(refused <= 0.01, "refused: {refused:.4}");
    world.items_ms.sort_unstable();
    let p95_ms = world.items_ms[world.items_ms.len() * 95 / 100];
    assert!(p95_ms <= 18_000, "items within the time of their jobs: {p95_ms} ms");
    let share = world.items_ms.len() as f64 / (ITEMS_PER_S * LENGTH_MS as f64 / 1e3);
    assert!(share >= 0.9, "items done: {share:.3}");
}
