//! Placement on the heaviest days: which upstream, and what expects to be late.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream, Vm};
use parsleybeam::serve::jobs::interrupt_count;
use parsleybeam::serve::place::{self, BatchChoice, Criteria};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::{Load, PeerLoad, Table, number};

const NOW: Time = Time(10_000_000);

fn registration(name: &str, data_centre: &str) -> Registration {
    Registration {
        upstream: Upstream::from(name),
        service: Service::from("text"),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: DataCentre::from(data_centre),
        slots: 8,
        draining: false,
        started_unix_ms: 1,
    }
}

fn table(names: &[&str]) -> Table {
    let mut table = Table::default();
    let all: Vec<_> = names.iter().map(|name| registration(name, "porto")).collect();
    table.replace(&all, false, NOW);
    table
}

fn peer(name: &str, online: u32, batch: u32) -> PeerLoad {
    let upstream = number(&Upstream::from(name));
    PeerLoad { upstream, load: Load { online, batch }, yields_first: true }
}

struct Place {
    service: Service,
    data_centre: DataCentre,
}

impl Place {
    fn new() -> Self {
        Self { service: Service::from("text"), data_centre: DataCentre::from("porto") }
    }

    fn criteria<'a>(&'a self, tried: &'a [Upstream]) -> Criteria<'a> {
        Criteria { service: &self.service, data_centre: &self.data_centre, tried, tie_breaker: 0 }
    }

    fn online(&self, table: &Table) -> Option<(String, f64)> {
        let choice = place::online(table, self.criteria(&[]), NOW)?;
        let entry = table.get(choice.key).expect("it is listed");
        Some((entry.registration.upstream.to_string(), choice.expected_ms))
    }
}

#[test]
fn online_counts_other_vms() {
    let mut table = table(&["a", "b", "c"]);
    table.set_peer_loads([peer("a", 8, 0), peer("b", 5, 0), peer("c", 7, 0)]);
    let (chosen, _) = Place::new().online(&table).expect("one is usable");
    assert_eq!(chosen, "b");
}

#[test]
fn online_goes_where_batch_makes_room() {
    let mut table = table(&["a", "b"]);
    table.set_peer_loads([peer("a", 8, 0), peer("b", 2, 6)]);
    let (chosen, expected_ms) = Place::new().online(&table).expect("one is usable");
    assert_eq!(chosen, "b");
    assert!(expected_ms < 100.0, "an interruption is short: {expected_ms} ms");
}

#[test]
fn online_expects_turns_of_full_upstreams() {
    let mut table = table(&["a"]);
    table.set_peer_loads([peer("a", 12, 0)]);
    let (_, expected_ms) = Place::new().online(&table).expect("one is usable");
    assert!(expected_ms > 300.0, "five must end first: {expected_ms} ms");
}

#[test]
fn online_passes_over_failed_and_leaving() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("one").0;
    table.record_failure(key, NOW);
    assert_eq!(Place::new().online(&table), None);
    let mut leaving = registration("b", "porto");
    leaving.draining = true;
    table.replace(&[registration("a", "porto"), leaving], false, NOW);
    assert_eq!(Place::new().online(&table), None);
    let later = NOW.after(Duration::from_secs(10));
    assert!(place::online(&table, Place::new().criteria(&[]), later).is_some());
}

#[test]
fn online_passes_over_what_failed_elsewhere() {
    let mut table = table(&["a", "b"]);
    table.set_peer_loads([peer("b", 6, 0)]);
    let a = number(&Upstream::from("a"));
    table.set_peer_failures([a]);
    assert_eq!(Place::new().online(&table).expect("usable").0, "a", "one VM may be cut off");
    table.set_peer_failures([a, a]);
    assert_eq!(Place::new().online(&table).expect("usable").0, "b");
    table.set_peer_loads([peer("b", 14, 0)]);
    assert_eq!(Place::new().online(&table).expect("usable").0, "a", "the rest is full");
}

#[test]
fn online_restarted_upstream_is_new() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("one").0;
    table.record_failure(key, NOW);
    let restarted = Registration { started_unix_ms: 2, ..registration("a", "porto") };
    table.replace(&[restarted], false, NOW);
    assert!(Place::new().online(&table).is_some());
}

#[test]
fn batch_keeps_reserve_in_large_fleets() {
    assert_eq!((place::reserved_slots(12), place::reserved_slots(59)), (0, 1));
    let mut table = table(&["a"]);
    let place = Place::new();
    table.set_peer_loads([peer("a", 7, 0)]);
    let chosen = place::batch(&table, place.criteria(&[]), 1, |_| true, NOW);
    assert_eq!(chosen, BatchChoice::Full);
    table.set_peer_loads([peer("a", 6, 0)]);
    let chosen = place::batch(&table, place.criteria(&[]), 1, |_| true, NOW);
    assert!(matches!(chosen, BatchChoice::Upstream(_)));
}

#[test]
fn batch_takes_free_slots_only() {
    let mut table = table(&["a", "b"]);
    table.set_peer_loads([peer("a", 5, 3), peer("b", 7, 0)]);
    let place = Place::new();
    let always = |_| true;
    let chosen = place::batch(&table, place.criteria(&[]), 0, always, NOW);
    let BatchChoice::Upstream(key) = chosen else { panic!("b has room: {chosen:?}") };
    assert_eq!(table.get(key).expect("listed").registration.upstream, Upstream::from("b"));
    table.set_peer_loads([peer("a", 5, 3), peer("b", 8, 0)]);
    let chosen = place::batch(&table, place.criteria(&[]), 0, always, NOW);
    assert_eq!(chosen, BatchChoice::Full);
}

#[test]
fn batch_waits_for_its_turn() {
    let mut table = table(&["a"]);
    table.set_peer_loads([peer("a", 0, 0)]);
    let chosen = place::batch(&table, Place::new().criteria(&[]), 0, |_| false, NOW);
    assert_eq!(chosen, BatchChoice::OtherTurn);
}

#[test]
fn is_turn_one_vm_at_a_time() {
    let vms: Vec<Vm> = (0..9).map(|index| Vm::from(format!("vm-{index}"))).collect();
    let mut turns = [0; 9];
    for slice in 0..900 {
        let ours = |vm: &&Vm| place::is_turn(vm, &vms, 7, slice);
        let taken: Vec<usize> =
            vms.iter().enumerate().filter(|(_, vm)| ours(vm)).map(|(index, _)| index).collect();
        assert_eq!(taken.len(), 1, "slice {slice}");
        turns[taken[0]] += 1;
    }
    assert!(turns.iter().all(|count| (50..200).contains(count)), "{turns:?}");
    assert!(place::is_turn(&vms[0], &[], 7, 0), "alone it is always its turn");
}

/// Items wait at all VMs and one slot becomes free: with turns one VM takes it,
/// without them all do and all but one are interrupted.
#[test]
fn batch_one_free_slot_many_vms() {
    let vms: Vec<Vm> = (0..9).map(|index| Vm::from(format!("vm-{index}"))).collect();
    let mut table = table(&["a"]);
    table.set_peer_loads([peer("a", 3, 3)]);
    let takes = |vm: &Vm| {
        let turn = |upstream| place::is_turn(vm, &vms, upstream, 1);
        place::batch(&table, Place::new().criteria(&[]), 0, turn, NOW) != BatchChoice::OtherTurn
    };
    assert_eq!(vms.iter().filter(|vm| takes(vm)).count(), 1);
}

#[test]
fn replace_outage_keeps_missing_for_a_while() {
    let mut table = table(&["a", "b"]);
    let one = [registration("a", "porto")];
    table.replace(&one, true, NOW);
    assert_eq!(table.iter().count(), 2, "b may only have lapsed");
    table.replace(&one, false, NOW.after(Duration::from_millis(2_500)));
    assert_eq!(table.iter().count(), 1, "b is gone");
    table.replace(&[], false, NOW.after(Duration::from_secs(4)));
    assert_eq!(table.iter().count(), 0, "no outage, no grace");
}

#[test]
fn to_interrupt_in_order_of_names() {
    // Ten requests on eight slots: the first VM's one item goes, then one of ours.
    assert_eq!(interrupt_count(10, 8, 0, 1), 1);
    assert_eq!(interrupt_count(10, 8, 1, 3), 1);
    assert_eq!(interrupt_count(10, 8, 2, 3), 0);
    assert_eq!(interrupt_count(8, 8, 0, 5), 0);
}

#[test]
fn online_expects_measured_pace() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("one upstream").0;
    for _ in 0..200 {
        table.record_idle_first_event(key, 400.0);
        table.record_slot_time(key, 4_000.0);
    }
    let (_, idle_ms) = Place::new().online(&table).expect("one is usable");
    assert!((390.0..450.0).contains(&idle_ms), "an idle upstream: {idle_ms} ms");
    table.set_peer_loads([peer("a", 11, 0)]);
    let (_, full_ms) = Place::new().online(&table).expect("one is usable");
    assert!((2_300.0..2_500.0).contains(&full_ms), "four turns of 500 ms: {full_ms} ms");
}

#[test]
fn online_free_however_slow() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("one upstream").0;
    for _ in 0..200 {
        table.record_idle_first_event(key, 5_000.0);
    }
    let free = |table: &Table| {
        let place = Place::new();
        place::online(table, place.criteria(&[]), NOW).expect("one is usable").free
    };
    assert!(free(&table), "nobody waits there");
    table.set_peer_loads([peer("a", 5, 3)]);
    assert!(free(&table), "items make room");
    table.set_peer_loads([peer("a", 8, 0)]);
    assert!(!free(&table));
}
