//! Token buckets of one VM: refill, loans, refunds and validity.

use std::collections::BTreeMap;
use std::time::Duration;

use parsleybeam::admission::share::{
    Bucket, Buckets, Denial, LOAN_TTL, REFUND_WINDOW, Slice, TOKEN,
};
use parsleybeam::clock::Time;

const SLICE: Slice = Slice { rate: 10 * TOKEN, burst: 5 * TOKEN };

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn full() -> Bucket {
    let mut bucket = Bucket::new(SLICE, at(0));
    bucket.refill(at(1_000));
    bucket
}

fn take_all(bucket: &mut Bucket, now: Time) -> u64 {
    std::iter::from_fn(|| bucket.take(now).ok()).count() as u64
}

#[test]
fn bucket_starts_empty() {
    assert_eq!(Bucket::new(SLICE, at(0)).take(at(0)), Err(at(100)));
}

#[test]
fn bucket_refills_to_burst() {
    assert_eq!(take_all(&mut full(), at(1_000)), 5);
}

#[test]
fn bucket_returns_time_of_next_token() {
    let mut bucket = full();
    take_all(&mut bucket, at(1_000));
    let next = bucket.take(at(1_050)).expect_err("only half a token is available");
    assert!(bucket.take(Time(next.0 - 1)).is_err());
    assert_eq!(bucket.take(next), Ok(()));
}

#[test]
fn bucket_counts_odd_spans_exactly() {
    let mut bucket = Bucket::new(Slice { rate: 333_333, burst: 1_000 * TOKEN }, at(0));
    for step in 1..=90_000 {
        bucket.refill(Time(step * 7_001));
    }
    assert_eq!(bucket.balance(), 333_333 * 90_000 * 7_001 / 1_000_000);
}

#[test]
fn bucket_reserves_headroom_for_loans() {
    let mut bucket = full();
    assert_eq!(bucket.lend(9 * TOKEN, at(1_000), at(2_000)), 0, "lends the full amount or nothing");
    assert_eq!(bucket.lend(5 * TOKEN, at(1_000), at(2_000)), 5 * TOKEN);
    assert_eq!(take_all(&mut bucket, at(1_999)), 0, "lent tokens may still be spent elsewhere");
    assert_eq!(
        take_all(&mut bucket, at(2_000)),
        0,
        "headroom freed by an expiry refills from the expiry on"
    );
    assert_eq!(take_all(&mut bucket, at(3_000)), 5);
}

#[test]
fn bucket_refunds_within_window_only() {
    let mut bucket = full();
    take_all(&mut bucket, at(1_000));
    bucket.refund(at(1_000));
    assert_eq!(bucket.take(at(1_000)), Ok(()));
    bucket.refund(at(1_000).after(REFUND_WINDOW));
    assert!(
        bucket.balance() < TOKEN,
        "no refund after the window, since the headroom has been refilled"
    );
}

#[test]
fn buckets_stop_at_their_deadline() {
    let mut buckets = Buckets::default();
    let slices = BTreeMap::from([("harbour".into(), SLICE)]);
    buckets.set(&slices, at(0));
    buckets.extend(at(1_000), at(0));
    assert_eq!(buckets.take(&"harbour".into(), at(999)), Ok(()));
    assert_eq!(buckets.take(&"harbour".into(), at(1_000)), Err(Denial::Unconfirmed));
    assert_eq!(buckets.lend(&"harbour".into(), TOKEN, at(1_000)), 0);
}

#[test]
fn buckets_drop_late_loans() {
    let mut buckets = Buckets::default();
    buckets.extend(at(60_000), at(0));
    let late = at(0).after(LOAN_TTL);
    buckets.receive(&"harbour".into(), 3 * TOKEN, at(0), late);
    assert!(buckets.take(&"harbour".into(), late).is_err());
    buckets.receive(&"harbour".into(), TOKEN, late, late.after(Duration::from_millis(1)));
    assert_eq!(buckets.take(&"harbour".into(), late.after(Duration::from_millis(2))), Ok(()));
}

#[test]
fn bucket_drops_expired_loans() {
    let mut bucket = Bucket::new(Slice::default(), at(0));
    bucket.receive(TOKEN, at(100));
    assert!(bucket.take(at(100)).is_err());
}

#[test]
fn bucket_adds_loans_to_partial_tokens() {
    let mut bucket = Bucket::new(SLICE, at(0));
    bucket.refill(at(40));
    assert_eq!(bucket.missing(), 600_000);
    bucket.receive(600_000, at(100));
    assert_eq!(bucket.take(at(40)), Ok(()));
    assert_eq!(bucket.balance(), 0);
}

#[test]
fn buckets_accrue_nothing_while_invalid() {
    let mut buckets = Buckets::default();
    buckets.set(&BTreeMap::from([("harbour".into(), SLICE)]), at(0));
    buckets.extend(at(1_000), at(0));
    while buckets.take(&"harbour".into(), at(999)).is_ok() {}
    buckets.extend(at(9_000), at(5_000));
    let next = buckets.take(&"harbour".into(), at(5_000));
    assert!(
        matches!(next, Err(Denial::Until(_))),
        "other VMs may have spent the share while it was invalid"
    );
}

#[test]
fn buckets_refund_nothing_while_invalid() {
    let mut buckets = Buckets::default();
    buckets.set(&BTreeMap::from([("harbour".into(), SLICE)]), at(0));
    buckets.extend(at(1_000), at(0));
    while buckets.take(&"harbour".into(), at(999)).is_ok() {}
    buckets.refund(&"harbour".into(), at(1_000));
    buckets.extend(at(9_000), at(1_000));
    assert!(buckets.take(&"harbour".into(), at(1_000)).is_err());
}

#[test]
fn bucket_reserves_headroom_for_recent_grants() {
    let mut bucket = full();
    assert_eq!(bucket.take(at(1_000)), Ok(()));
    bucket.refill(at(1_009));
    assert_eq!(bucket.balance(), 4 * TOKEN, "a recent grant still counts, as it may be refunded");
    bucket.refill(at(1_020));
    assert_eq!(bucket.balance(), 4_100_000);
}
