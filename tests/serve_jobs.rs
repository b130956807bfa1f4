//! State machine of one job at its owner: every item gets one result, positions
//! are stable, and a pending write is repeated unchanged.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::serve::jobs::{
    AttemptOutcome, Head, Item, ItemResult, Job, Outcome, Progress, Snapshot, Spec, Status, Times,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(5_000_000);

fn snapshot(items: usize) -> Snapshot {
    let item = |index| Item { id: format!("item-{index}"), tokens: 10, ..Item::default() };
    let spec = Spec { items: (0..items).map(item).collect() };
    Snapshot { head: Head::default(), spec, ..Snapshot::default() }
}

fn job(snapshot: Snapshot) -> Job {
    let times = Times { owned_since: NOW, due: Time::NEVER, expires: Time::NEVER };
    Job::new("job".into(), snapshot, 7, times)
}

fn completed(text: &str) -> AttemptOutcome {
    AttemptOutcome::Completed(text.into())
}

#[test]
fn next_write_same_until_confirmed() {
    let mut job = job(snapshot(3));
    let first = job.start(NOW).expect("an item is waiting");
    job.finish_attempt(first.index, completed("one"), 3, NOW);
    let write = job.next_write().expect("there is a result to store");
    let second = job.start(NOW).expect("an item is waiting");
    job.finish_attempt(second.index, completed("two"), 3, NOW);
    assert_eq!(job.next_write(), Some(write), "the outcome of the first write is unknown");
    assert_eq!(job.confirm_write(), Status::Open);
    let (position, results) = job.next_write().expect("there is a result to store");
    assert_eq!((position, results.len()), (1, 1));
}

#[test]
fn finish_attempt_max_failures() {
    let mut job = job(snapshot(1));
    for failures in 1..=3 {
        let next = job.start(Time::NEVER).expect("the item is retried");
        let progress = Progress { failures, ..next.progress };
        job.finish_attempt(next.index, AttemptOutcome::Failed(progress), 3, NOW);
    }
    let (_, results) = job.next_write().expect("the item is a dead letter");
    assert_eq!(results[0].outcome(), Outcome::DeadLetter);
    assert!(job.write_is_last());
}

#[test]
fn finish_attempt_broken_always_retries() {
    let mut job = job(snapshot(1));
    for _ in 0..50 {
        let next = job.start(Time::NEVER).expect("the item is retried");
        job.finish_attempt(next.index, AttemptOutcome::Broken(next.progress), 3, NOW);
        assert_eq!(job.next_write(), None);
    }
}

#[test]
fn finish_attempt_interrupted_keeps_progress() {
    let mut job = job(snapshot(1));
    let next = job.start(NOW).expect("an item is waiting");
    let progress = Progress { events: vec!["a".into()], last_event_id: Some(1), failures: 0 };
    job.finish_attempt(next.index, AttemptOutcome::Interrupted(progress.clone()), 3, NOW);
    let soon = NOW.after(Duration::from_millis(100));
    assert_eq!(job.start(soon).expect("the item may run again soon").progress, progress);
}

#[test]
fn new_with_results() {
    let mut snapshot = snapshot(2);
    let result = ItemResult { item: "item-1".into(), outcome: 0, output: "x".into() };
    snapshot.results.push(result);
    let mut job = job(snapshot);
    assert_eq!(job.remaining(), 1);
    assert_eq!(job.start(NOW).expect("one item remains").index, 0);
    assert_eq!(job.start(NOW), None);
}

#[test]
fn new_with_partials() {
    let mut first = job(snapshot(2));
    let next = first.start(NOW).expect("an item is waiting");
    let progress =
        Progress { events: vec!["a".into(), "b".into()], last_event_id: Some(2), failures: 1 };
    first.finish_attempt(next.index, AttemptOutcome::Interrupted(progress.clone()), 3, NOW);
    let partials: Vec<_> = first.partials().into_iter().map(|(_, partial)| partial).collect();
    assert_eq!(partials.len(), 1);
    let mut second = job(Snapshot { partials, ..snapshot(2) });
    assert_eq!(second.start(NOW).expect("an item is waiting").progress, progress);
}

#[test]
fn dead_letter_waiting_only() {
    let mut job = job(snapshot(3));
    let running = job.start(NOW).expect("an item is waiting");
    assert!(job.dead_letter_waiting());
    assert!(!job.dead_letter_waiting(), "no item is waiting any more");
    job.finish_attempt(running.index, completed("done"), 3, NOW);
    let (_, results) = job.next_write().expect("there are results to store");
    let done = results.iter().filter(|result| result.outcome() == Outcome::Completed);
    assert_eq!((results.len(), done.count()), (3, 1));
}

#[test]
fn random_one_result_per_item() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..40);
        let mut job = job(snapshot(count));
        let mut running = Vec::new();
        let mut now = NOW;
        while job.remaining() > 0 {
            now = now.after(Duration::from_millis(50));
            match random.random_range(0..4) {
                0 => running.extend(job.start(now)),
                1 if !running.is_empty() => {
                    let next = running.swap_remove(random.random_range(0..running.len()));
                    let outcome = match random.random_range(0..4) {
                        0 => AttemptOutcome::Interrupted(next.progress),
                        1 => AttemptOutcome::Broken(next.progress),
                        _ => completed(&next.index.to_string()),
                    };
                    job.finish_attempt(next.index, outcome, 3, now);
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
        let mut ids: Vec<_> = job.results.iter().map(|result| result.item.clone()).collect();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), count, "seed {seed}");
    }
}
