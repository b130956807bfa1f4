//! Conditions under which a pending share table settles.

use std::time::Duration;

use parsleybeam::admission::share::{LOAN_TTL, Publisher, Report, Table, VALIDITY};
use parsleybeam::clock::Time;
use parsleybeam::id::Vm;

const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn pending() -> Table {
    let previous = NAMES.into_iter().map(|name| (Vm::from(name), 7)).collect();
    Table { epoch: 2, settled: false, previous, ..Table::default() }
}

fn publisher_after(reports: &[(&str, u64, u64)]) -> Publisher {
    let (table, mut publisher) = (pending(), Publisher::default());
    publisher.observe_table(&table);
    for (name, incarnation, adopted) in reports {
        let report =
            Report { incarnation: *incarnation, epoch: 2, adopted: *adopted, ..Report::default() };
        publisher.observe_report(&table, &(*name).into(), &report, at(1_000));
    }
    publisher
}

#[test]
fn settle_waits_for_loans_of_terminated_holders() {
    let publisher = publisher_after(&[("entry-1", 7, 2), ("entry-2", 7, 2), ("entry-3", 8, 0)]);
    assert!(!publisher.may_settle(&pending(), at(1_000).after(LOAN_TTL)));
    assert!(publisher.may_settle(&pending(), at(1_000).after(3 * LOAN_TTL)));
}

#[test]
fn settle_waits_for_deadlines_of_silent_holders() {
    let publisher = publisher_after(&[("entry-1", 7, 2), ("entry-2", 7, 2)]);
    assert!(!publisher.may_settle(&pending(), at(1_000).after(VALIDITY)));
    let late = at(1_000).after(VALIDITY + Duration::from_millis(500));
    assert!(publisher.may_settle(&pending(), late));
}

#[test]
fn settle_needs_a_majority() {
    let publisher = publisher_after(&[("entry-1", 7, 2), ("entry-2", 7, 1)]);
    assert!(!publisher.may_settle(&pending(), at(3_600_000)));
}
