//! Upstreams whose processes said that they leave: what outweighs their entries, what
//! other VMs are told, and what ends it.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream, Version};
use parsleybeam::serve::departure::{Departures, Process};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::Table;

const NOW: Time = Time(100_000_000);

fn registration(name: &str, started_unix_ms: u64) -> Registration {
    Registration {
        upstream: Upstream::from(name),
        service: Service::from("text"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: DataCentre::from("porto"),
        version: Version::from("v1"),
        slots: 8,
        draining: false,
        started_unix_ms,
        cold_left_ms: None,
        revision: 0,
    }
}

fn seconds(count: u64) -> Time {
    NOW.after(Duration::from_secs(count))
}

fn usable(table: &Table, name: &str) -> bool {
    let find = |upstream: &Upstream| upstream == &Upstream::from(name);
    table.iter().any(|(_, entry)| find(&entry.registration.upstream) && entry.usable(NOW))
}

#[test]
fn record_leaving_outweighs_the_entry() {
    let mut table = Table::default();
    let (old, new) = (registration("a", 1), registration("a", 2));
    table.replace(std::slice::from_ref(&old), None, NOW);
    assert!(table.record_leaving(old.process(), NOW, true, NOW));
    assert!(!table.record_leaving(old.process(), NOW, true, NOW), "known already");
    assert!(!usable(&table, "a"));
    table.replace(std::slice::from_ref(&old), None, NOW);
    assert!(!usable(&table, "a"), "an entry of the same process changes nothing");
    table.replace(&[], None, NOW);
    table.replace(std::slice::from_ref(&old), None, NOW);
    assert!(!usable(&table, "a"), "nor does one that was away");
    table.replace(std::slice::from_ref(&new), None, NOW);
    assert!(usable(&table, "a"), "a new process has not said so");
}

#[test]
fn record_leaving_of_one_replica_at_an_address() {
    let mut table = Table::default();
    let (former, next) = (registration("a", 1), registration("b", 2));
    table.replace(std::slice::from_ref(&former), None, NOW);
    table.record_leaving(former.process(), NOW, true, NOW);
    table.replace(&[next], None, NOW);
    assert!(usable(&table, "b"), "it has the same address, but is another upstream");
}

#[test]
fn record_leaving_before_the_entry_is_known() {
    let mut table = Table::default();
    let entry = registration("a", 1);
    table.record_leaving(entry.process(), NOW, false, NOW);
    table.replace(&[entry], None, NOW);
    assert!(!usable(&table, "a"));
}

#[test]
fn all_leave_of_a_service() {
    let (mut table, service) = (Table::default(), Service::from("text"));
    assert!(!table.all_leave(&service), "it has no upstream at all");
    let (a, b) = (registration("a", 1), registration("b", 1));
    table.replace(&[a.clone(), b.clone()], None, NOW);
    table.record_leaving(a.process(), NOW, true, NOW);
    assert!(!table.all_leave(&service));
    table.replace(&[a, Registration { draining: true, ..b }], None, NOW);
    assert!(table.all_leave(&service));
}

#[test]
fn told_for_a_while_and_only_by_the_vm_that_was_told() {
    let mut departures = Departures::default();
    let (own, heard) =
        (Process { number: 1, started_unix_ms: 1 }, Process { number: 2, started_unix_ms: 1 });
    departures.record(own, NOW, true, NOW);
    departures.record(heard, NOW, false, NOW);
    let told = |departures: &Departures, now| {
        departures.told(now).map(|(process, _)| process).collect::<Vec<_>>()
    };
    assert_eq!(told(&departures, seconds(9)), [own]);
    assert!(told(&departures, seconds(11)).is_empty());
    assert!(departures.contains(own) && departures.contains(heard), "it stands all the same");
}

#[test]
fn record_ignores_an_old_word_of_another_vm() {
    let mut departures = Departures::default();
    let process = Process { number: 1, started_unix_ms: 1 };
    assert!(!departures.record(process, NOW, false, seconds(11)));
    assert!(!departures.contains(process));
    assert!(departures.record(process, NOW, true, seconds(11)), "its own memory is as good");
}

#[test]
fn record_is_forgotten_in_the_end() {
    let mut departures = Departures::default();
    let process = Process { number: 1, started_unix_ms: 1 };
    departures.record(process, NOW, true, NOW);
    departures.record(Process { number: 2, ..process }, seconds(601), true, seconds(601));
    assert!(!departures.contains(process));
}
