//! Cancelled jobs: that all VMs learn of them, also while datagrams get lost.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::serve::jobs::Ended;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time(1_000_000_000);
const MAX_NEWS: usize = 16;

fn millis(count: u64) -> Time {
    NOW.after(Duration::from_millis(count))
}

#[test]
fn record_once_and_for_a_while() {
    let mut ended = Ended::default();
    assert!(ended.record("a", true, NOW));
    assert!(!ended.record("a", false, millis(1)), "known");
    assert_eq!(ended.take_due(MAX_NEWS, NOW), ["a"]);
    assert!(ended.take_due(MAX_NEWS, millis(100)).is_empty());
    assert_eq!(ended.take_due(MAX_NEWS, millis(250)), ["a"], "again");
    assert_eq!(ended.recent(millis(29_000)).count(), 1);
    assert!(ended.take_due(MAX_NEWS, millis(31_000)).is_empty());
    ended.record("b", true, millis(119_000));
    assert!(ended.contains("a"));
    ended.record("c", true, millis(121_000));
    assert!(!ended.contains("a"), "forgotten");
}

#[test]
fn record_more_than_are_remembered() {
    let mut ended = Ended::default();
    for job in 0..5_000 {
        ended.record(&job.to_string(), true, millis(job));
    }
    assert!(!ended.contains("0") && ended.contains("4999"));
}

/// Guards against an owner that misses the one datagram which says that its job was
/// cancelled, and runs the job's items for as long as the store is away.
#[test]
fn take_due_known_everywhere_in_time() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut vms: Vec<Ended> = (0..30).map(|_| Ended::default()).collect();
        vms[0].record("job", true, NOW);
        for step in 0..=20 {
            let now = millis(step * 100);
            for from in 0..vms.len() {
                for job in vms[from].take_due(MAX_NEWS, now) {
                    for to in (0..vms.len()).filter(|to| *to != from) {
                        if random.random_bool(0.7) {
                            vms[to].record(&job, false, now);
                        }
                    }
                }
            }
        }
        let unaware = vms.iter().filter(|vm| !vm.contains("job")).count();
        assert_eq!(unaware, 0, "seed {seed}: VMs that don't know after 2 s");
    }
}
