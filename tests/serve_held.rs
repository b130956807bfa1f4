//! Memory that answers hold: charges and their sum.

use std::time::Duration;

use bytes::Bytes;
use parsleybeam::serve::held::{Charged, Held, Kind, MAX_ANSWER_BYTES};

/// Time after which a turn counts as not given.
const WAIT: Duration = Duration::from_millis(100);

#[test]
fn charge_set_and_dropped() {
    let held = Held::new(None);
    let (mut one, mut two) = (held.charge(Kind::Answer), held.charge(Kind::Answer));
    one.set(1_000);
    two.set(500);
    one.set(200);
    assert_eq!(held.bytes(), 700);
    drop(one);
    assert_eq!(held.bytes(), 500);
    drop(two);
    assert_eq!(held.bytes(), 0, "a charge that isn't given back would refuse requests for ever");
}

#[test]
fn held_full_at_its_share() {
    let held = Held::new(Some(160.0));
    let mut charge = held.charge(Kind::Answer);
    charge.set(39_999_999);
    assert!(!held.is_full());
    charge.set(40_000_000);
    assert!(held.is_full(), "a quarter of 160 MB");
    let held = Held::new(None);
    let mut charge = held.charge(Kind::Answer);
    charge.set(1 << 40);
    assert!(!held.is_full(), "without memory_mb the sum isn't bounded");
}

#[actix_rt::test]
async fn turn_of_few_large_answers_at_once() {
    // Many large answers used the sum up in part, and none could be read to its end.
    let held = Held::new(Some(160.0));
    let first = held.turn(MAX_ANSWER_BYTES).await;
    let second = held.turn(MAX_ANSWER_BYTES).await;
    assert!(first.is_some() && second.is_some());
    let third = tokio::time::timeout(WAIT, held.turn(MAX_ANSWER_BYTES)).await;
    assert!(third.is_err(), "half of the sum is taken");
    drop(first);
    let third = tokio::time::timeout(WAIT, held.turn(MAX_ANSWER_BYTES)).await;
    assert!(third.is_ok(), "a turn has ended");
    let mut charge = held.charge(Kind::Answer);
    charge.set(40_000_000);
    drop(second);
    let fourth = tokio::time::timeout(WAIT, held.turn(1)).await;
    assert!(fourth.is_err(), "the sum is used up");
}

#[actix_rt::test]
async fn turn_in_small_memory() {
    // The largest answer must get a turn however small the memory is.
    let held = Held::new(Some(1.0));
    let turn = tokio::time::timeout(WAIT, held.turn(MAX_ANSWER_BYTES)).await;
    assert!(turn.is_ok_and(|turn| turn.is_some()));
}

#[test]
fn charged_until_the_last_part_is_dropped() {
    let held = Held::new(None);
    let mut charge = held.charge(Kind::Answer);
    charge.set(10);
    let mut whole = Bytes::from_owner(Charged { bytes: Bytes::from_static(b"0123456789"), charge });
    let part = whole.split_to(4);
    drop(whole);
    assert_eq!((held.bytes(), &part[..]), (10, &b"0123"[..]));
    drop(part);
    assert_eq!(held.bytes(), 0);
}

/// Memory of the smallest VM of our users, and of a process without load, in megabytes.
const SMALLEST_MB: f64 = 88.0;
const IDLE_MB: f64 = 12.0;

/// Guards against kinds of bytes whose bounds are each below the process's, and their sum isn't.
#[test]
fn shares_add_up_below_memory() {
    for memory_mb in [SMALLEST_MB, 110.0, 160.0, 260.0, 512.0] {
        let held = Held::new(Some(memory_mb));
        // The bound of requests includes answers.
        let kinds = Kind::ALL.into_iter().filter(|kind| *kind != Kind::Answer);
        let sum: usize = kinds.map(|kind| held.limit(kind)).sum::<usize>() + held.copy_limit();
        assert!(sum as f64 / 1e6 + IDLE_MB < memory_mb, "{sum} bytes of {memory_mb} MB");
        assert!(held.limit(Kind::Answer) < held.limit(Kind::Request), "bodies always have room");
    }
}

#[test]
fn charge_refused_beyond_its_kind_only() {
    let held = Held::new(Some(110.0));
    for kind in Kind::ALL {
        let all = held.try_charge(kind, held.room(kind));
        assert!(all.is_some() && held.room(kind) == 0, "{kind:?}");
        assert!(held.try_charge(kind, 1).is_none(), "{kind:?}");
        let others = Kind::ALL.into_iter().filter(|other| *other != kind);
        // Answers leave less for requests, and nothing else is shared.
        assert!(others.into_iter().all(|other| held.room(other) > 0), "{kind:?}");
        drop(all);
        assert_eq!(held.sum(kind), 0);
    }
}
