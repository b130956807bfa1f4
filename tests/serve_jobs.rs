//! State machine of one job at its owner: every item gets one result, positions
//! are stable, and a pending write is repeated unchanged.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{Service, Version};
use parsleybeam::serve::jobs::{
    AttemptOutcome, Cause, Head, Item, Job, Outcome, Partial, Progress, Rank, Snapshot, Spec,
    Status, Task, Times, expected_end,
};
use parsleybeam::serve::origin::Origin;
use parsleybeam::serve::upstream::Timing;
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

/// Starts the most urgent item that may run.
fn start(job: &mut Job, now: Time) -> Option<Task> {
    let (_, index) = job.ready(Timing::INITIAL, |_| false, now).first?;
    job.start(index)
}

fn origin(version: &str) -> Origin {
    Origin { service: Service::from("text"), version: Version::from(version) }
}

fn completed(text: &str) -> AttemptOutcome {
    AttemptOutcome::Completed(text.into())
}

#[test]
fn next_write_same_until_confirmed() {
    let mut job = job(snapshot(3));
    let first = start(&mut job, NOW).expect("an item is waiting");
    job.finish_attempt(first.index, completed("one"), 3, NOW);
    let write = job.next_write().expect("there is a result to store");
    let second = start(&mut job, NOW).expect("an item is waiting");
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
        let next = start(&mut job, Time::NEVER).expect("the item is retried");
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
        let next = start(&mut job, Time::NEVER).expect("the item is retried");
        job.finish_attempt(next.index, AttemptOutcome::Broken(next.progress), 3, NOW);
        assert_eq!(job.next_write(), None);
    }
}

#[test]
fn finish_attempt_interrupted_keeps_progress() {
    let mut job = job(snapshot(1));
    let next = start(&mut job, NOW).expect("an item is waiting");
    let progress =
        Progress { events: vec!["a".into()], last_event_id: Some(1), failures: 0, origin: None };
    job.finish_attempt(next.index, AttemptOutcome::Interrupted(progress.clone()), 3, NOW);
    let soon = NOW.after(Duration::from_millis(100));
    assert_eq!(start(&mut job, soon).expect("the item may run again soon").progress, progress);
}

#[test]
fn new_with_results() {
    let mut snapshot = snapshot(2);
    snapshot.listed.push("item-1".into());
    let mut job = job(snapshot);
    assert_eq!(job.remaining(), 1);
    assert_eq!(start(&mut job, NOW).expect("one item remains").index, 0);
    assert_eq!(start(&mut job, NOW), None);
}

#[test]
fn new_with_partials() {
    let mut first = job(snapshot(2));
    let next = start(&mut first, NOW).expect("an item is waiting");
    let progress = Progress {
        events: vec!["a".into(), "b".into()],
        last_event_id: Some(2),
        failures: 1,
        origin: Some(origin("v1")),
    };
    first.finish_attempt(next.index, AttemptOutcome::Interrupted(progress.clone()), 3, NOW);
    let partials: Vec<_> = first.partials().into_iter().map(|(_, partial)| partial).collect();
    assert_eq!(partials.len(), 1);
    let mut second = job(Snapshot { partials, ..snapshot(2) });
    assert_eq!(start(&mut second, NOW).expect("an item is waiting").progress, progress);
}

#[test]
fn new_with_partial_of_unknown_version() {
    let events = vec!["a".to_owned()];
    let partial = Partial { item: "item-0".into(), events, failures: 1, ..Partial::default() };
    let mut job = job(Snapshot { partials: vec![partial], ..snapshot(1) });
    let progress = start(&mut job, NOW).expect("the item is waiting").progress;
    assert_eq!(progress, Progress { failures: 1, ..Progress::default() });
}

#[test]
fn ready_waits_for_its_version_until_a_deadline() {
    let mut job = job(snapshot(2));
    let next = start(&mut job, NOW).expect("an item is waiting");
    let progress = Progress {
        events: vec!["a".into()],
        last_event_id: Some(1),
        origin: Some(origin("v1")),
        ..Progress::default()
    };
    job.finish_attempt(next.index, AttemptOutcome::Interrupted(progress), 3, NOW);
    let is_full = |full: &Origin| full == &origin("v1");
    let soon = NOW.after(Duration::from_millis(200));
    let first = |job: &Job, now| job.ready(Timing::INITIAL, is_full, now).first;
    let other = first(&job, soon).expect("the other item isn't held up").1;
    assert_ne!(other, next.index);
    job.start(other).expect("it starts");
    assert_eq!(first(&job, soon), None);
    assert_eq!(job.resumes_at(next.index, soon), Some(&origin("v1")));
    let late = NOW.after(Duration::from_secs(2));
    assert_eq!(first(&job, late).map(|(_, index)| index), Some(next.index));
    assert_eq!(job.resumes_at(next.index, late), None, "it may start over anywhere");
}

/// Something that happens to the only item of a job.
#[derive(Clone, Copy, Debug)]
enum Step {
    Broken,
    Crashed,
    Interrupted,
    Failed,
    TakenOver,
}

const STEPS: [Step; 5] =
    [Step::Broken, Step::Crashed, Step::Interrupted, Step::Failed, Step::TakenOver];

/// Longest time for which an item may wait for anything but a slot.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Plays all orders of `STEPS` up to a length and checks after each step that the item may
/// run again within `MAX_PAUSE`.
#[test]
fn explore_item_never_waits_for_ever() {
    const LENGTH: u32 = 7;
    for number in 0..STEPS.len().pow(LENGTH) {
        let (mut job, mut now) = (job(snapshot(1)), NOW);
        let mut rest = number;
        for _ in 0..LENGTH {
            let step = STEPS[rest % STEPS.len()];
            rest /= STEPS.len();
            let task = start(&mut job, now).unwrap_or_else(|| panic!("{number}: it waits on"));
            let progress = task.progress;
            match step {
                Step::TakenOver => job = self::job(snapshot(1)),
                Step::Broken => finish(&mut job, AttemptOutcome::Broken(progress), now),
                Step::Crashed => finish(&mut job, AttemptOutcome::Crashed(progress), now),
                Step::Interrupted => finish(&mut job, AttemptOutcome::Interrupted(progress), now),
                Step::Failed => finish(&mut job, AttemptOutcome::Failed(progress), now),
            }
            assert!(job.next_write().is_none(), "{number}: {step:?} ended it");
            now = now.after(MAX_PAUSE);
        }
    }
}

fn finish(job: &mut Job, outcome: AttemptOutcome, now: Time) {
    job.finish_attempt(0, outcome, 3, now);
}

#[test]
fn waiting_says_for_what_and_until_when() {
    let mut job = job(snapshot(1));
    assert_eq!(job.waiting(NOW).collect::<Vec<_>>(), [Cause::Slot]);
    for _ in 0..3 {
        let now = job.not_before(0).expect("it waits").max(NOW);
        let task = start(&mut job, now).expect("it may run");
        assert_eq!(job.not_before(0), None, "it runs");
        finish(&mut job, AttemptOutcome::Crashed(task.progress), now);
        assert_eq!(job.waiting(now).collect::<Vec<_>>(), [Cause::Crashed]);
    }
    let until = job.not_before(0).expect("it waits");
    assert_eq!(job.waiting(until).collect::<Vec<_>>(), [Cause::Slot]);
}

#[test]
fn restrict_to_another_version() {
    let begun = Progress {
        events: vec!["a".into()],
        last_event_id: Some(1),
        failures: 2,
        origin: Some(origin("v1")),
    };
    let mut progress = begun.clone();
    assert!(!progress.restrict_to(&origin("v1")));
    assert_eq!(progress, begun);
    assert!(progress.restrict_to(&origin("v2")));
    assert_eq!(progress, Progress { failures: 2, ..Progress::default() });
}

#[test]
fn dead_letter_waiting_only() {
    let mut job = job(snapshot(3));
    let running = start(&mut job, NOW).expect("an item is waiting");
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
                0 => running.extend(start(&mut job, now)),
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
        let mut items = job.listed.clone();
        items.sort();
        items.dedup();
        assert_eq!((items.len(), job.listed.len()), (count, count), "seed {seed}");
    }
}

const TIMING: Timing =
    Timing { first_event_ms: 50.0, slot_ms: 700.0, event_ms: 25.0, event_tokens: 10.0 };

#[test]
fn expected_end_counts_events_left() {
    let item = Item { tokens: 2_000, ..Item::default() };
    let fresh = expected_end(&item, &Progress::default(), TIMING, NOW);
    assert_eq!(fresh, NOW.after(Duration::from_millis(5_000)));
    let events = vec![String::new(); 150];
    let progress = Progress { events, ..Progress::default() };
    let resumed = expected_end(&item, &progress, TIMING, NOW);
    assert_eq!(resumed, NOW.after(Duration::from_millis(1_250)));
    let unmeasured = expected_end(&item, &Progress::default(), Timing::INITIAL, NOW);
    assert_eq!(unmeasured, NOW, "an unknown time doesn't make an item late");
}

#[test]
fn rank_late_items_last() {
    let due = |ms| NOW.after(Duration::from_millis(ms));
    let urgent = Rank::new(due(5_000), due(4_000));
    let relaxed = Rank::new(due(9_000), due(4_000));
    let late = Rank::new(due(3_000), due(4_000));
    assert!(urgent < relaxed && relaxed < late);
    assert!(late.is_late() && !urgent.is_late());
}

#[test]
fn ready_prefers_item_in_time() {
    let mut snapshot = snapshot(2);
    snapshot.spec.items[0].tokens = 2_000;
    snapshot.spec.items[1].tokens = 400;
    let due = NOW.after(Duration::from_millis(3_000));
    let times = Times { owned_since: NOW, due, expires: Time::NEVER };
    let job = Job::new("job".into(), snapshot, 7, times);
    let ready = job.ready(TIMING, |_| false, NOW);
    assert_eq!(ready.first.expect("items are waiting").1, 1, "the other would end late");
    assert_eq!(ready.in_time, 1);
}
