//! When a holder may spend its slices: epochs, incarnations and confirmations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parsleybeam::admission::share::{Allocation, Holder, Report, Slice, TOKEN, Table, VALIDITY};
use parsleybeam::clock::Time;
use parsleybeam::id::Organisation;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn harbour() -> Organisation {
    "harbour".into()
}

fn table(epoch: u64, settled: bool, tokens: u64) -> Arc<Table> {
    let slice = Slice { rate: tokens * TOKEN, burst: tokens * TOKEN };
    let slices: BTreeMap<_, _> = [(harbour(), slice)].into();
    let names = ["entry-1", "entry-2", "entry-3"];
    let holder = |name: &str| (name.into(), Allocation { incarnation: 7, slices: slices.clone() });
    let holders = names.into_iter().map(holder).collect();
    Arc::new(Table { epoch, settled, holders, previous: BTreeMap::new() })
}

fn holder(incarnation: u64) -> Holder {
    let mut holder = Holder::new("entry-1".into(), incarnation);
    holder.adopt(table(1, true, 5), at(0));
    holder.confirm((1, true), at(0), at(0));
    holder
}

fn report(incarnation: u64, epoch: u64) -> Report {
    Report { incarnation, epoch, settled: true, adopted: epoch, remaining: Duration::ZERO }
}

fn take_all(holder: &mut Holder, now: Time) -> u64 {
    std::iter::from_fn(|| holder.take(&harbour(), now).ok()).count() as u64
}

#[test]
fn take_spends_own_slice() {
    assert_eq!(take_all(&mut holder(7), at(2_000)), 5);
}

#[test]
fn take_refuses_another_incarnation() {
    assert_eq!(take_all(&mut holder(8), at(2_000)), 0);
}

#[test]
fn adopt_pending_uses_smaller_slice() {
    let mut holder = holder(7);
    holder.adopt(table(2, false, 9), at(2_000));
    assert_eq!(take_all(&mut holder, at(4_000)), 5);
}

#[test]
fn adopt_pending_after_skipped_epoch_holds_nothing() {
    let mut holder = holder(7);
    holder.adopt(table(3, false, 9), at(2_000));
    assert_eq!(take_all(&mut holder, at(4_000)), 0, "the skipped epoch may have moved the slice");
}

#[test]
fn adopt_ignores_older() {
    let mut holder = holder(7);
    assert!(!holder.adopt(table(1, false, 9), at(0)));
}

#[test]
fn confirm_needs_same_step() {
    let mut holder = holder(7);
    holder.confirm((2, false), at(3_000), at(3_000));
    assert_eq!(holder.valid_until(), at(0).after(VALIDITY));
}

#[test]
fn observe_report_extends_by_majority() {
    let mut holder = holder(7);
    holder.observe_report(&"entry-2".into(), &report(7, 1), at(3_000), at(3_001));
    assert_eq!(
        holder.valid_until(),
        at(3_000).after(VALIDITY),
        "this VM and the peer are a majority of three"
    );
}

#[test]
fn observe_report_ignores_other_incarnations() {
    let mut holder = holder(7);
    holder.observe_report(&"entry-2".into(), &report(8, 1), at(3_000), at(3_001));
    assert_eq!(
        holder.valid_until(),
        at(0).after(VALIDITY),
        "another incarnation may have adopted a newer epoch"
    );
}

#[test]
fn observe_report_ignores_newer_epochs() {
    let mut holder = holder(7);
    holder.observe_report(&"entry-2".into(), &report(7, 2), at(3_000), at(3_001));
    assert_eq!(holder.valid_until(), at(0).after(VALIDITY));
}

#[test]
fn report_adopts_once_loans_fit() {
    let mut holder = holder(7);
    assert_eq!(holder.lend(&harbour(), 5 * TOKEN, at(2_000)).0, 5 * TOKEN);
    holder.adopt(table(2, false, 1), at(2_001));
    assert_eq!(holder.report(at(2_002)).adopted, 0, "five lent tokens exceed a burst of one");
    assert_eq!(holder.report(at(2_200)).adopted, 2);
}
