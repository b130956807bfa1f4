//! Limited upstreams under bursts of online requests while items wait: online requests come
//! first, items keep a tenth, and the limit is used up.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream, Version};
use parsleybeam::serve::departure::Process;
use parsleybeam::serve::limit::{Admission, Limits, Word};
use parsleybeam::serve::place::{self, BatchChoice, Criteria};
use parsleybeam::serve::priority::{self, Priority};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::{Table, Use};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time(100_000_000);
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_S: u64 = 100;
/// Upstreams, each limited to a third of 8 slots of 0.7 s.
const UPSTREAMS: u32 = 18;
const LIMIT_PER_S: f64 = 3.8;
/// Mean online demand over all upstreams, and its steps.
const ONLINE_PER_S: f64 = 60.0;
const STEPS_MS: (u64, u64) = (3_800, 2_800);
const RELATIVE: (f64, f64) = (0.38, 1.84);
/// Length of a simulation.
const LENGTH_S: u64 = 66;
/// Items that are ready at any moment.
const ITEMS: usize = 40;

/// Grants of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    asked: u32,
    refused: u32,
    online: u32,
    items: u32,
}

struct World {
    limits: Limits,
    priority: Priority,
    /// Whether grants know priorities.
    with_priority: bool,
    processes: Vec<Process>,
    closed_until: Vec<Time>,
    item_not_before: Vec<Time>,
    random: ChaCha8Rng,
    now: Time,
}

impl World {
    fn new(with_priority: bool, seed: u64) -> Self {
        let process = |index| Process::new(&Upstream::from(format!("i-{index}")), 1);
        let processes: Vec<Process> = (0..UPSTREAMS).map(process).collect();
        let mut limits = Limits::default();
        for process in &processes {
            limits.record(*process, Word { per_s: Some(LIMIT_PER_S), at: START }, true, START);
        }
        Self {
            limits,
            priority: Priority::default(),
            with_priority,
            closed_until: vec![START; processes.len()],
            processes,
            item_not_before: vec![START; ITEMS],
            random: ChaCha8Rng::seed_from_u64(seed),
            now: START,
        }
    }

    /// Sends one request of a kind to an upstream that is open; whether it was granted.
    fn send(&mut self, kind: Use) -> bool {
        let open: Vec<usize> = (0..self.processes.len())
            .filter(|index| self.closed_until[*index].passed(self.now))
            .collect();
        if open.is_empty() {
            return false;
        }
        let index = open[self.random.random_range(0..open.len())];
        let (process, now) = (self.processes[index], self.now);
        let admission = if self.with_priority {
            let (limits, priority) = (&mut self.limits, &mut self.priority);
            priority::grant(limits, priority, process, kind, 1.0, now)
        } else {
            self.limits.grant(process, 1.0, now)
        };
        match admission {
            Admission::Granted => true,
            Admission::Denied(until) if kind == Use::Online => {
                self.closed_until[index] = until;
                self.send(kind)
            }
            Admission::Denied(_) => false,
        }
    }

    fn step(&mut self, second: &mut Second, due: &mut f64) {
        let elapsed_ms = START.until(self.now).as_millis() as u64;
        let is_low = elapsed_ms % (STEPS_MS.0 + STEPS_MS.1) < STEPS_MS.0;
        let relative = if is_low { RELATIVE.0 } else { RELATIVE.1 };
        *due += ONLINE_PER_S * relative * STEP.as_secs_f64() * 2.0 * self.random.random::<f64>();
        while *due >= 1.0 {
            *due -= 1.0;
            second.asked += 1;
            if self.send(Use::Online) {
                second.online += 1;
            } else {
                second.refused += 1;
            }
        }
        for item in 0..ITEMS {
            if !self.item_not_before[item].passed(self.now) {
                continue;
            }
            second.items += u32::from(self.send(Use::Batch));
            self.item_not_before[item] = self.now.after(Duration::from_millis(30));
        }
        self.now = self.now.after(STEP);
    }

    fn run(mut self) -> Vec<Second> {
        let mut due = 0.0;
        let second = |_| {
            let mut second = Second::default();
            for _ in 0..STEPS_PER_S {
                self.step(&mut second, &mut due);
            }
            second
        };
        (0..LENGTH_S).map(second).collect()
    }
}

fn sum(seconds: &[Second], part: fn(&Second) -> u32) -> f64 {
    seconds.iter().map(|second| f64::from(part(second))).sum()
}

/// Guards against items that take the grants which bursts of online requests need.
#[test]
fn grant_online_first_in_bursts() {
    for seed in 0..10 {
        let (former, seconds) = (World::new(false, seed).run(), World::new(true, seed).run());
        let share = |seconds: &[Second]| {
            sum(seconds, |second| second.online) / sum(seconds, |second| second.asked)
        };
        let (before, after) = (share(&former), share(&seconds));
        let limit = LIMIT_PER_S * f64::from(UPSTREAMS);
        let short: Vec<Second> =
            seconds.iter().copied().filter(|second| second.refused > 0).collect();
        let items = sum(&short, |second| second.items) / (limit * short.len() as f64);
        eprintln!(
            "seed {seed}: online granted {before:.3}, then {after:.3}; items {items:.3} of the \
             limit in {} seconds with refusals",
            short.len()
        );
        assert!(after >= before + 0.2, "seed {seed}: {after:.3}, before {before:.3}");
        assert!((0.05..=0.2).contains(&items), "seed {seed}: {items:.3} of the limit to items");
    }
}

/// Guards against grants that nobody gets while online requests are refused.
#[test]
fn grant_limit_used_up_while_refused() {
    for seed in 0..10 {
        let limit = LIMIT_PER_S * f64::from(UPSTREAMS);
        let seconds = World::new(true, seed).run();
        // Seconds within which refusals begin or end hold another demand too. As in
        // `serve_limit`, one part in twenty may be left, and at each upstream one request that a
        // span ends before.
        let (mut used, mut allowed) = (0.0, 0.0);
        for (index, window) in seconds.windows(3).enumerate() {
            if window.iter().any(|second| second.refused == 0) {
                (used, allowed) = (0.0, 0.0);
                continue;
            }
            let second = window[1];
            used += f64::from(second.online + second.items);
            allowed += limit;
            let at = index + 1;
            let least = 0.95 * (allowed - f64::from(UPSTREAMS));
            assert!(used >= least, "seed {seed}, second {at}: {used} of {allowed}");
        }
    }
}

/// Guards against a share that items lose for good, and against one that they save up.
#[test]
fn may_grant_item_a_tenth_while_short() {
    let mut priority = Priority::default();
    let process = Process::new(&Upstream::from("a"), 1);
    assert_eq!(priority.may_grant_item(process, 10.0, START), Ok(()), "nothing was denied");
    for _ in 0..50 {
        priority.record_item(process, 10.0, START);
    }
    priority.record_shortage(START);
    assert!(priority.may_grant_item(process, 10.0, START).is_err(), "nothing was saved up");
    let mut granted = 0;
    let mut now = START;
    for _ in 0..20 * STEPS_PER_S {
        priority.record_shortage(now);
        if priority.may_grant_item(process, 10.0, now).is_ok() {
            priority.record_item(process, 10.0, now);
            granted += 1;
        }
        now = now.after(STEP);
    }
    assert!((17..=21).contains(&granted), "{granted} in 20 s at one a second");
    let later = now.after(Duration::from_secs(2));
    assert!(!priority.is_online_short(later));
    assert_eq!(priority.may_grant_item(process, 10.0, later), Ok(()));
}

/// Guards against a peer's report that can't be true.
#[test]
fn record_reported_impossible_count() {
    let mut priority = Priority::default();
    assert!(!priority.record_reported(u32::MAX, START));
    assert!(!priority.is_online_short(START));
    assert!(priority.record_reported(0, START));
    assert!(!priority.is_online_short(START));
    assert!(priority.record_reported(3, START));
    assert!(priority.is_online_short(START));
    assert_eq!(priority.denied(START), 0, "only this VM's own denials are reported");
}

/// Guards against an item's denial that keeps online requests of the VM from an upstream, and
/// against items that still prefer limited upstreams while online requests lack grants.
#[test]
fn close_and_batch_leave_limited_to_online() {
    let registration = |name: &str| Registration {
        cold_left_ms: None,
        revision: 1,
        upstream: Upstream::from(name),
        service: Service::from("text"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: DataCentre::from("porto"),
        version: Version::from("v1"),
        slots: 8,
        draining: false,
        started_unix_ms: 1,
    };
    let (service, data_centre) = (Service::from("text"), DataCentre::from("porto"));
    let criteria = |items_wait| Criteria {
        service: &service,
        version: None,
        data_centre: &data_centre,
        tried: &[],
        items_wait,
        tie_breaker: 0,
    };
    let mut table = Table::default();
    table.replace(&[registration("limited"), registration("free")], None, START);
    let limited = Process::new(&Upstream::from("limited"), 1);
    table.record_limit(limited, Word { per_s: Some(LIMIT_PER_S), at: START }, true, START);
    let key_of = |table: &Table, is_limited: bool| {
        let found = table.iter().find(|(_, entry)| entry.limit_per_s.is_some() == is_limited);
        found.expect("both upstreams are listed").0
    };
    let (limited, free) = (key_of(&table, true), key_of(&table, false));
    let batch =
        |table: &Table, items_wait| place::batch(table, criteria(items_wait), 0, |_| true, START);
    assert_eq!(batch(&table, true), BatchChoice::Upstream(limited));
    assert_eq!(batch(&table, false), BatchChoice::Upstream(free), "online lacks grants");
    table.get_mut(free).expect("it is listed").own.online = 8;
    table.close(limited, Use::Batch, START.after(STEP));
    let online = place::online(&table, criteria(true), START).expect("an upstream is usable");
    assert_eq!(online.key, limited);
    assert_eq!(batch(&table, true), BatchChoice::Full);
    table.close(limited, Use::Online, START.after(STEP));
    let online = place::online(&table, criteria(true), START).expect("an upstream is usable");
    assert_eq!(online.key, free, "the limited one is closed to online requests too");
}

#[test]
fn denied_within_last_second() {
    let mut priority = Priority::default();
    priority.record_denied(START);
    priority.record_denied(START.after(Duration::from_millis(600)));
    assert_eq!(priority.denied(START.after(Duration::from_millis(700))), 2);
    assert_eq!(priority.denied(START.after(Duration::from_millis(1_100))), 1);
    assert_eq!(priority.denied(START.after(Duration::from_millis(1_700))), 0);
}
