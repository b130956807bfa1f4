//! Upstream selection under high load: which upstream is chosen, and the expected
//! time to its first event.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream, Version, Vm};
use parsleybeam::serve::jobs::interrupt_count;
use parsleybeam::serve::place::{self, BatchChoice, Contender, Criteria};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::{Load, PeerLoad, Table, number};

const NOW: Time = Time(10_000_000);

fn registration(name: &str, data_centre: &str) -> Registration {
    Registration {
        upstream: Upstream::from(name),
        service: Service::from("text"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: DataCentre::from(data_centre),
        version: Version::from("v1"),
        slots: 8,
        draining: false,
        started_unix_ms: 1,
        cold_left_ms: None,
        revision: 0,
    }
}

fn table(names: &[&str]) -> Table {
    let mut table = Table::default();
    let all: Vec<_> = names.iter().map(|name| registration(name, "porto")).collect();
    table.replace(&all, None, NOW);
    table
}

fn peer(name: &str, online: u32, batch: u32) -> PeerLoad {
    let upstream = number(&Upstream::from(name));
    PeerLoad { upstream, load: Load { online, batch }, yields_first: true }
}

struct Selector {
    service: Service,
    data_centre: DataCentre,
}

impl Selector {
    fn new() -> Self {
        Self { service: Service::from("text"), data_centre: DataCentre::from("porto") }
    }

    fn criteria<'a>(&'a self, tried: &'a [Upstream]) -> Criteria<'a> {
        Criteria {
            service: &self.service,
            version: None,
            data_centre: &self.data_centre,
            tried,
            items_wait: false,
            tie_breaker: 0,
        }
    }

    fn online(&self, table: &Table) -> Option<(String, f64)> {
        let choice = place::online(table, self.criteria(&[]), NOW)?;
        let entry = table.get(choice.key).expect("the upstream is in the table");
        Some((entry.registration.upstream.to_string(), choice.expected_ms))
    }
}

#[test]
fn online_counts_other_vms() {
    let mut table = table(&["a", "b", "c"]);
    table.set_peer_loads([peer("a", 8, 0), peer("b", 5, 0), peer("c", 7, 0)]);
    let (chosen, _) = Selector::new().online(&table).expect("an upstream is usable");
    assert_eq!(chosen, "b");
}

#[test]
fn online_prefers_preemptible_batch() {
    let mut table = table(&["a", "b"]);
    table.set_peer_loads([peer("a", 8, 0), peer("b", 2, 6)]);
    let (chosen, expected_ms) = Selector::new().online(&table).expect("an upstream is usable");
    assert_eq!(chosen, "b");
    assert!(expected_ms < 100.0, "a preemption is short: {expected_ms} ms");
}

#[test]
fn online_expects_wait_at_full_upstream() {
    let mut table = table(&["a"]);
    table.set_peer_loads([peer("a", 12, 0)]);
    let (_, expected_ms) = Selector::new().online(&table).expect("an upstream is usable");
    assert!(expected_ms > 300.0, "five requests must end first: {expected_ms} ms");
}

#[test]
fn online_skips_failed_and_draining() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("the table has an upstream").0;
    table.record_failure(key, NOW);
    assert_eq!(Selector::new().online(&table), None);
    let mut leaving = registration("b", "porto");
    leaving.draining = true;
    table.replace(&[registration("a", "porto"), leaving], None, NOW);
    assert_eq!(Selector::new().online(&table), None);
    let later = NOW.after(Duration::from_secs(10));
    assert!(place::online(&table, Selector::new().criteria(&[]), later).is_some());
}

#[test]
fn online_avoids_peer_failures() {
    let mut table = table(&["a", "b"]);
    table.set_peer_loads([peer("b", 6, 0)]);
    let a = number(&Upstream::from("a"));
    table.set_peer_failures([a]);
    assert_eq!(
        Selector::new().online(&table).expect("an upstream is usable").0,
        "a",
        "a single peer may be cut off"
    );
    table.set_peer_failures([a, a]);
    assert_eq!(Selector::new().online(&table).expect("an upstream is usable").0, "b");
    table.set_peer_loads([peer("b", 14, 0)]);
    assert_eq!(
        Selector::new().online(&table).expect("an upstream is usable").0,
        "a",
        "all others are full"
    );
}

#[test]
fn online_restarted_upstream() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("the table has an upstream").0;
    table.record_failure(key, NOW);
    let restarted = Registration { started_unix_ms: 2, ..registration("a", "porto") };
    table.replace(&[restarted], None, NOW);
    assert!(Selector::new().online(&table).is_some());
}

#[test]
fn batch_leaves_headroom() {
    let selector = Selector::new();
    let mut table = table(&["a", "b"]);
    table.set_peer_loads([peer("a", 8, 0), peer("b", 4, 0)]);
    let headroom = place::headroom(&table, &selector.service);
    assert!((1..=4).contains(&headroom), "{headroom} for 12 online requests");
    let choice = |table: &Table, headroom| {
        place::batch(table, selector.criteria(&[]), headroom, |_| true, NOW)
    };
    assert!(matches!(choice(&table, 3), BatchChoice::Upstream(_)), "four slots are free");
    table.set_peer_loads([peer("a", 8, 0), peer("b", 4, 1)]);
    assert_eq!(choice(&table, 3), BatchChoice::Full);
    table.set_peer_loads([]);
    assert_eq!(place::headroom(&table, &selector.service), 0, "nothing online to wait for");
}

#[test]
fn online_spares_items_if_slots_are_free() {
    let mut table = table(&["a", "b"]);
    // Without the item's cost, b would lose to a by more than a preemption takes.
    table.set_peer_loads([peer("a", 0, 8), peer("b", 7, 0)]);
    let key = table.iter().find(|(_, entry)| entry.number == number(&Upstream::from("b")));
    let key = key.expect("b is in the table").0;
    table.record_first_event(key, 500.0);
    assert_eq!(Selector::new().online(&table).expect("an upstream is usable").0, "b");
}

#[test]
fn batch_takes_free_slots_only() {
    let mut table = table(&["a", "b"]);
    table.set_peer_loads([peer("a", 5, 3), peer("b", 7, 0)]);
    let selector = Selector::new();
    let always = |_| true;
    let chosen = place::batch(&table, selector.criteria(&[]), 0, always, NOW);
    let BatchChoice::Upstream(key) = chosen else { panic!("b has a free slot: {chosen:?}") };
    assert_eq!(
        table.get(key).expect("the upstream is in the table").registration.upstream,
        Upstream::from("b")
    );
    table.set_peer_loads([peer("a", 5, 3), peer("b", 8, 0)]);
    let chosen = place::batch(&table, selector.criteria(&[]), 0, always, NOW);
    assert_eq!(chosen, BatchChoice::Full);
}

#[test]
fn batch_other_vms_turn() {
    let mut table = table(&["a"]);
    table.set_peer_loads([peer("a", 0, 0)]);
    let chosen = place::batch(&table, Selector::new().criteria(&[]), 0, |_| false, NOW);
    assert_eq!(chosen, BatchChoice::OtherTurn);
}

fn contenders(items: &[u32]) -> Vec<Contender> {
    let named = |(index, items): (usize, &u32)| Contender {
        vm: Vm::from(format!("vm-{index}")),
        items: *items,
    };
    items.iter().enumerate().map(named).collect()
}

fn count_turns(vms: &[Contender]) -> Vec<u32> {
    let mut turns = vec![0; vms.len()];
    for slice in 0..900 {
        let has_turn = |vm: &&Contender| place::is_turn(vm, vms, 7, slice);
        let with_turn: Vec<usize> =
            vms.iter().enumerate().filter(|(_, vm)| has_turn(vm)).map(|(index, _)| index).collect();
        assert_eq!(with_turn.len(), 1, "slice {slice}");
        turns[with_turn[0]] += 1;
    }
    turns
}

#[test]
fn is_turn_one_vm_per_slice() {
    let vms = contenders(&[4; 9]);
    let turns = count_turns(&vms);
    assert!(turns.iter().all(|count| (50..200).contains(count)), "{turns:?}");
    assert!(place::is_turn(&vms[0], &[], 7, 0), "a VM without contenders always has the turn");
}

#[test]
fn is_turn_by_number_of_items() {
    let turns = count_turns(&contenders(&[0, 10, 30]));
    assert!(turns[0] > 0, "late items get slots as well: {turns:?}");
    assert!((1.0..5.0).contains(&(f64::from(turns[2]) / f64::from(turns[1]))), "{turns:?}");
    assert!(turns[1] > 5 * turns[0], "{turns:?}");
}

/// Items wait on all VMs and one slot becomes free. Without turns all VMs take
/// it, and all items but one are interrupted.
#[test]
fn batch_one_free_slot_many_vms() {
    let vms = contenders(&[1; 9]);
    let mut table = table(&["a"]);
    table.set_peer_loads([peer("a", 3, 3)]);
    let takes = |vm: &Contender| {
        let turn = |upstream| place::is_turn(vm, &vms, upstream, 1);
        place::batch(&table, Selector::new().criteria(&[]), 0, turn, NOW) != BatchChoice::OtherTurn
    };
    assert_eq!(vms.iter().filter(|vm| takes(vm)).count(), 1);
}

#[test]
fn replace_after_outage_keeps_missing() {
    let mut table = table(&["a", "b"]);
    let one = [registration("a", "porto")];
    table.replace(&one, Some(NOW.after(Duration::from_millis(2_200))), NOW);
    assert_eq!(table.iter().count(), 2, "the registration of b may only have expired");
    table.replace(&one, None, NOW.after(Duration::from_millis(2_500)));
    assert_eq!(table.iter().count(), 1, "b is removed after the grace time");
    table.replace(&[], None, NOW.after(Duration::from_secs(4)));
    assert_eq!(table.iter().count(), 0, "no grace time without an outage");
}

#[test]
fn to_interrupt_in_vm_order() {
    // Ten requests on eight slots: the first VM interrupts its only item, then this VM
    // one of its own.
    assert_eq!(interrupt_count(10, 8, 0, 1), 1);
    assert_eq!(interrupt_count(10, 8, 1, 3), 1);
    assert_eq!(interrupt_count(10, 8, 2, 3), 0);
    assert_eq!(interrupt_count(8, 8, 0, 5), 0);
}

#[test]
fn online_expects_measured_timing() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("the table has an upstream").0;
    for _ in 0..200 {
        table.record_idle_first_event(key, 400.0);
        table.record_slot_time(key, 4_000.0);
    }
    let (_, idle_ms) = Selector::new().online(&table).expect("an upstream is usable");
    assert!((390.0..450.0).contains(&idle_ms), "expected at an idle upstream: {idle_ms} ms");
    table.set_peer_loads([peer("a", 11, 0)]);
    let (_, full_ms) = Selector::new().online(&table).expect("an upstream is usable");
    assert!((2_300.0..2_500.0).contains(&full_ms), "four completions of 500 ms each: {full_ms} ms");
}

#[test]
fn online_free_slot_slow_service() {
    let mut table = table(&["a"]);
    let key = table.iter().next().expect("the table has an upstream").0;
    for _ in 0..200 {
        table.record_idle_first_event(key, 5_000.0);
    }
    let free = |table: &Table| {
        let selector = Selector::new();
        place::online(table, selector.criteria(&[]), NOW).expect("an upstream is usable").free
    };
    assert!(free(&table), "no request waits for a slot");
    table.set_peer_loads([peer("a", 5, 3)]);
    assert!(free(&table), "items can be preempted");
    table.set_peer_loads([peer("a", 8, 0)]);
    assert!(!free(&table));
}

#[test]
fn record_failure_ejection_is_bounded() {
    let mut table = table(&["a"]);
    let key = table.iter().map(|(key, _)| key).next().expect("the upstream is in the table");
    for _ in 0..100 {
        table.record_failure(key, NOW);
    }
    let later = NOW.after(Duration::from_secs(4));
    assert!(table.get(key).expect("it is in the table").usable(later), "whatever it did");
}
