//! The fair queue: scheduling by weight and cost, deadlines, exclusions and concurrency limits.

use std::collections::BTreeMap;
use std::time::Duration;

use parsleybeam::admission::queue::{Limit, Policy, Queue, Refusal};
use parsleybeam::admission::{Pick, Ticket};
use parsleybeam::clock::Time;
use parsleybeam::config::resource::Serves;
use parsleybeam::id::Upstream;

struct First;

impl Pick for First {
    fn pick(&self, _: &Ticket, free: &[Upstream], _: Time) -> Option<Upstream> {
        free.first().cloned()
    }
}

fn serves() -> Serves {
    Serves::Model("notes".into())
}

fn queue(order: Policy, limits: &[(&str, u32)]) -> Queue {
    let mut queue = Queue::new(order);
    let slot = |limit| Limit { serves: serves(), concurrency: limit, live: true };
    queue.set_limits(limits.iter().map(|(name, limit)| ((*name).into(), slot(*limit))).collect());
    queue
}

fn ticket(organisation: &str, cost: u32) -> Ticket {
    Ticket {
        organisation: organisation.into(),
        target: serves(),
        cost,
        deadline: Time::from_millis(10_000),
        excluded: Vec::new(),
        exclusive: false,
        prefix: None,
    }
}

/// Serves requests one at a time until none waits; returns their organisations in order.
fn drain(queue: &mut Queue, names: &BTreeMap<u64, &'static str>) -> Vec<&'static str> {
    let mut order = Vec::new();
    let mut now = Time(0);
    loop {
        let grants = queue.start(&First, now);
        let Some(grant) = grants.first() else { return order };
        order.push(names[&grant.id]);
        now = now.after(Duration::from_millis(1));
        queue.finish(&serves(), &grant.upstream, Duration::from_millis(1));
    }
}

fn load(
    queue: &mut Queue,
    counts: &[(&'static str, u32, u32, u32)],
) -> BTreeMap<u64, &'static str> {
    let mut names = BTreeMap::new();
    for (name, count, cost, weight) in counts {
        for _ in 0..*count {
            let id = queue.enqueue(ticket(name, *cost), *weight, Time(0)).expect("queued");
            names.insert(id, *name);
        }
    }
    names
}

#[test]
fn start_takes_turns() {
    let mut queue = queue(Policy::Fair, &[("engine-1", 1)]);
    let names = load(&mut queue, &[("loud", 50, 10, 1), ("small", 3, 10, 1)]);
    let order = drain(&mut queue, &names);
    assert!(order[..6].iter().filter(|name| **name == "small").count() == 3, "{order:?}");
}

#[test]
fn start_by_arrival_starves_small_ones() {
    let mut queue = queue(Policy::Arrival, &[("engine-1", 1)]);
    let names = load(&mut queue, &[("loud", 50, 10, 1), ("small", 3, 10, 1)]);
    assert!(!drain(&mut queue, &names)[..50].contains(&"small"));
}

#[test]
fn start_counts_cost_and_weight() {
    let mut queue = queue(Policy::Fair, &[("engine-1", 1)]);
    let names =
        load(&mut queue, &[("dear", 60, 30, 1), ("cheap", 60, 10, 1), ("heavy", 60, 30, 2)]);
    let first = &drain(&mut queue, &names)[..60];
    let count = |name| first.iter().filter(|served| **served == name).count();
    assert_eq!((count("dear"), count("cheap"), count("heavy")), (10, 30, 20));
}

#[test]
fn start_skips_excluded_upstreams() {
    let mut queue = queue(Policy::Fair, &[("engine-1", 1), ("engine-2", 1)]);
    let mut restricted = ticket("harbour", 1);
    restricted.excluded = vec!["engine-1".into()];
    let id = queue.enqueue(restricted, 1, Time(0)).expect("queued");
    let grants = queue.start(&First, Time(0));
    assert_eq!((grants[0].id, grants[0].upstream.as_str()), (id, "engine-2"));
}

#[test]
fn start_keeps_exclusive_requests_alone() {
    let mut queue = queue(Policy::Fair, &[("engine-1", 4)]);
    let mut suspect = ticket("harbour", 1);
    suspect.exclusive = true;
    queue.enqueue(suspect, 1, Time(0)).expect("queued");
    assert_eq!(queue.start(&First, Time(0)).len(), 1);
    queue.enqueue(ticket("other", 1), 1, Time(0)).expect("queued");
    assert!(
        queue.start(&First, Time(0)).is_empty(),
        "no request starts at an upstream that is held exclusively"
    );
    queue.finish(&serves(), &"engine-1".into(), Duration::from_millis(5));
    assert_eq!(queue.start(&First, Time(0)).len(), 1);
}

#[test]
fn enqueue_refuses_late_requests() {
    let mut queue = queue(Policy::Fair, &[("engine-1", 1)]);
    let names = load(&mut queue, &[("harbour", 2, 1, 1)]);
    assert_eq!(names.len(), 2);
    queue.start(&First, Time(0));
    queue.finish(&serves(), &"engine-1".into(), Duration::from_secs(8));
    queue.start(&First, Time(0));
    load(&mut queue, &[("harbour", 1, 1, 1)]);
    let late = queue.enqueue(ticket("harbour", 1), 1, Time(0));
    assert_eq!(
        late,
        Err(Refusal::Late(Duration::from_secs(6))),
        "expected wait of 16 s, deadline in 10 s"
    );
}

#[test]
fn enqueue_refuses_unknown_targets() {
    let mut queue = queue(Policy::Fair, &[]);
    assert_eq!(queue.enqueue(ticket("harbour", 1), 1, Time(0)), Err(Refusal::NoUpstream));
}

#[test]
fn start_drops_expired() {
    let mut queue = queue(Policy::Fair, &[("engine-1", 1)]);
    load(&mut queue, &[("harbour", 1, 1, 1)]);
    assert!(queue.start(&First, Time::from_millis(10_000)).is_empty());
    assert_eq!(queue.waiting(&serves()), 0);
}
