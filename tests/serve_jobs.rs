//! One job at its owner: results once, positions fixed, writes unchanged.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::serve::jobs::{
    AttemptOutcome, Head, Item, ItemResult, Job, Outcome, Progress, Snapshot, Spec, Status, Times,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(5_000_000);

fn stored(items: usize) -> Snapshot {
    let item = |index| Item { id: format!("item-{index}"), tokens: 10, ..Item::default() };
    let spec = Spec { items: (0..items).map(item).collect() };
    Snapshot { head: Head::default(), spec, ..Snapshot::default() }
}

fn job(stored: Snapshot) -> Job {
    let times = Times { owned_since: NOW, due: Time::NEVER, expires: Time::NEVER };
    Job::new("job".into(), stored, 7, times)
}

fn completed(text: &str) -> AttemptOutcome {
    AttemptOutcome::Completed(text.into())
}

#[test]
fn write_same_until_stored() {
    let mut job = job(stored(3));
    let first = job.start(NOW).expect("an item waits");
    job.finish_attempt(first.index, completed("one"), 3, NOW);
    let write = job.next_write().expect("a result waits");
    let second = job.start(NOW).expect("an item waits");
    job.finish_attempt(second.index, completed("two"), 3, NOW);
    assert_eq!(job.next_write(), Some(write), "the outcome of the first write is unknown");
    assert_eq!(job.confirm_write(), Status::Open);
    let (position, results) = job.next_write().expect("a result waits");
    assert_eq!((position, results.len()), (1, 1));
}

#[test]
fn ended_failures_up_to_the_bound() {
    let mut job = job(stored(1));
    for failures in 1..=3 {
        let next = job.start(Time::NEVER).expect("it is tried again");
        let progress = Progress { failures, ..next.progress };
        job.finish_attempt(next.index, AttemptOutcome::Failed(progress), 3, NOW);
    }
    let (_, results) = job.next_write().expect("it is given up");
    assert_eq!(results[0].outcome(), Outcome::DeadLetter);
    assert!(job.write_is_last());
}

#[test]
fn ended_broken_never_gives_up() {
    let mut job = job(stored(1));
    for _ in 0..50 {
        let next = job.start(Time::NEVER).expect("it is tried again");
        job.finish_attempt(next.index, AttemptOutcome::Broken(next.progress), 3, NOW);
        assert_eq!(job.next_write(), None);
    }
}

#[test]
fn ended_interrupted_keeps_progress() {
    let mut job = job(stored(1));
    let next = job.start(NOW).expect("an item waits");
    let progress = Progress { events: vec!["a".into()], last_event_id: Some(1), failures: 0 };
    job.finish_attempt(next.index, AttemptOutcome::Interrupted(progress.clone()), 3, NOW);
    let soon = NOW.after(Duration::from_millis(100));
    assert_eq!(job.start(soon).expect("it goes on soon").progress, progress);
}

#[test]
fn new_with_results() {
    let mut stored = stored(2);
    let listed = ItemResult { item: "item-1".into(), outcome: 0, output: "x".into() };
    stored.results.push(listed);
    let mut job = job(stored);
    assert_eq!(job.remaining(), 1);
    assert_eq!(job.start(NOW).expect("one is left").index, 0);
    assert_eq!(job.start(NOW), None);
}

#[test]
fn new_with_partials() {
    let mut first = job(stored(2));
    let next = first.start(NOW).expect("an item waits");
    let progress =
        Progress { events: vec!["a".into(), "b".into()], last_event_id: Some(2), failures: 1 };
    first.finish_attempt(next.index, AttemptOutcome::Interrupted(progress.clone()), 3, NOW);
    let partials: Vec<_> = first.partials().into_iter().map(|(_, partial)| partial).collect();
    assert_eq!(partials.len(), 1);
    let mut second = job(Snapshot { partials, ..stored(2) });
    assert_eq!(second.start(NOW).expect("an item waits").progress, progress);
}

#[test]
fn give_up_waiting_only() {
    let mut job = job(stored(3));
    let running = job.start(NOW).expect("an item waits");
    assert!(job.dead_letter_waiting());
    assert!(!job.dead_letter_waiting(), "nothing waits any more");
    job.finish_attempt(running.index, completed("done"), 3, NOW);
    let (_, results) = job.next_write().expect("results wait");
    let done = results.iter().filter(|listed| listed.outcome() == Outcome::Completed);
    assert_eq!((results.len(), done.count()), (3, 1));
}

#[test]
fn random_every_item_once() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..40);
        let mut job = job(stored(count));
        let mut running = Vec::new();
        let mut now = NOW;
        while job.remaining() > 0 {
            now = now.after(Duration::from_millis(50));
            match random.random_range(0..4) {
                0 => running.extend(job.start(now)),
                1 if !running.is_empty() => {
                    let next = running.swap_remove(random.random_range(0..running.len()));
                    let ended = match random.random_range(0..4) {
                        0 => AttemptOutcome::Interrupted(next.progress),
                        1 => AttemptOutcome::Broken(next.progress),
                        _ => completed(&next.index.to_string()),
                    };
                    job.finish_attempt(next.index, ended, 3, now);
                }
                2 => {
                    job.next_write();
                }
                _ => {
                    if job.next_write().is_some() {
                        job.confirm_write();
                    }
                }
            }
        }
        let mut names: Vec<_> = job.results.iter().map(|listed| listed.item.clone()).collect();
        names.sort();
        names.dedup();
        assert_eq!(names.len(), count, "seed {seed}");
    }
}
