//! Origins of streams: what VMs record, tell each other and forget, and when the version
//! of a stream without a record is known all the same.

use std::time::Duration;

use parsleybeam::clock::Time;
use parsleybeam::id::{DataCentre, Service, Upstream, Version};
use parsleybeam::serve::origin::{History, Origin, Origins, Stream};
use parsleybeam::serve::place::{self, Criteria, Room};
use parsleybeam::serve::store::Registration;
use parsleybeam::serve::upstream::Table;

const NOW: Time = Time(100_000_000);
/// Timeout of an attempt.
const ATTEMPT: Duration = Duration::from_secs(5);

fn registration(name: &str, version: &str) -> Registration {
    Registration {
        upstream: Upstream::from(name),
        service: Service::from("text"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        data_centre: DataCentre::from("porto"),
        version: Version::from(version),
        slots: 1,
        draining: false,
        started_unix_ms: 1,
        cold_left_ms: None,
        revision: 0,
    }
}

fn origin(version: &str) -> Origin {
    Origin::of(&registration("any", version))
}

fn seconds(count: u64) -> Time {
    NOW.after(Duration::from_secs(count))
}

#[test]
fn record_merged_by_another_vm() {
    let (mut here, mut there) = (Origins::default(), Origins::default());
    let stream = Stream::of("r-1");
    here.record(stream, &origin("v2"), seconds(5), NOW);
    let records = here.take_unsent(NOW);
    assert_eq!(records.len(), 1);
    assert!(here.take_unsent(NOW).is_empty(), "each record is sent once");
    there.merge(&records, NOW);
    assert_eq!(there.origin(stream, seconds(20)), Some(&origin("v2")));
    assert!(there.take_unsent(NOW).is_empty(), "records of others aren't passed on");
    assert_eq!(there.origin(Stream::of("r-2"), NOW), None);
}

#[test]
fn record_kept_past_its_deadline_and_no_longer() {
    let mut origins = Origins::default();
    let stream = Stream::of("r-1");
    origins.record(stream, &origin("v1"), seconds(5), NOW);
    assert!(origins.origin(stream, seconds(34)).is_some());
    assert!(origins.origin(stream, seconds(36)).is_none());
    origins.record(stream, &origin("v1"), seconds(10), seconds(6));
    assert!(origins.origin(stream, seconds(38)).is_some(), "a later attempt extends it");
    origins.record(Stream::of("r-2"), &origin("v1"), seconds(105), seconds(100));
    assert_eq!(origins.len(), 1, "forgotten records take no memory");
}

#[test]
fn record_first_origin_stands() {
    let mut origins = Origins::default();
    let stream = Stream::of("r-1");
    origins.record(stream, &origin("v1"), seconds(5), NOW);
    origins.record(stream, &origin("v2"), seconds(5), NOW);
    assert_eq!(origins.origin(stream, NOW), Some(&origin("v1")));
}

#[test]
fn record_bounded() {
    let mut origins = Origins::default();
    for index in 0..70_000 {
        origins.record(Stream::of(&index.to_string()), &origin("v1"), seconds(5), NOW);
    }
    assert!(origins.len() <= 65_536, "{}", origins.len());
    assert!(origins.origin(Stream::of("69999"), NOW).is_some(), "the oldest go first");
}

/// Observes `registrations` each second from `from` to `to`.
fn observe(history: &mut History, registrations: &[Registration], from: u64, to: u64) {
    (from..=to).for_each(|second| history.observe(registrations, seconds(second)));
}

#[test]
fn only_version_after_a_while() {
    let (mut history, service) = (History::default(), Service::from("text"));
    let one = [registration("a", "v1")];
    observe(&mut history, &one, 0, 34);
    let too_soon = history.only_version(&service, ATTEMPT, seconds(34));
    assert_eq!(too_soon, None, "others may have left before");
    observe(&mut history, &one, 35, 36);
    assert_eq!(history.only_version(&service, ATTEMPT, seconds(36)), Some(&Version::from("v1")));
    assert_eq!(history.only_version(&Service::from("none"), ATTEMPT, seconds(36)), None);
    let too_old = history.only_version(&service, ATTEMPT, seconds(39));
    assert_eq!(too_old, None, "the last read is too old");
}

/// Guards against a stream that a version has begun which joined after the last read.
#[test]
fn only_version_none_by_a_read_before_the_stream_was_resumed() {
    let (mut history, service) = (History::default(), Service::from("text"));
    observe(&mut history, &[registration("a", "v1")], 0, 40);
    let after = seconds(40).after(Duration::from_millis(1));
    assert_eq!(history.only_version(&service, ATTEMPT, after), None);
    let v1 = Version::from("v1");
    assert_eq!(history.claim(&service, ATTEMPT, after), Some(&v1), "by the last read it is");
}

/// Guards against another VM's claim that a version which joined since has made untrue.
#[test]
fn claim_of_another_vm_confirmed_by_reads_from_before_it_until_now() {
    let claim = Origin::of(&registration("a", "v1"));
    let mut history = History::default();
    observe(&mut history, &[registration("a", "v1")], 10, 12);
    assert!(history.confirms(&claim, ATTEMPT, seconds(12)));
    assert!(!history.confirms(&claim, ATTEMPT, seconds(11)), "its last read may be of before 10");
    assert!(!history.confirms(&claim, ATTEMPT, seconds(13)), "a version may have joined after 12");
    observe(&mut history, &[registration("b", "v2")], 13, 13);
    assert!(!history.confirms(&claim, ATTEMPT, seconds(13)), "one has");
}

#[test]
fn only_version_none_while_two_are_remembered() {
    let (mut history, service) = (History::default(), Service::from("text"));
    observe(&mut history, &[registration("a", "v1")], 0, 40);
    observe(&mut history, &[registration("a", "v1"), registration("b", "v2")], 41, 45);
    observe(&mut history, &[registration("b", "v2")], 46, 79);
    assert_eq!(history.only_version(&service, ATTEMPT, seconds(79)), None);
    let v2 = Version::from("v2");
    let origin = |version: &str| Origin::of(&registration("any", version));
    assert!(history.has_other(&origin("v2"), ATTEMPT, seconds(79)), "a peer may know less");
    observe(&mut history, &[registration("b", "v2")], 80, 82);
    assert_eq!(history.only_version(&service, ATTEMPT, seconds(82)), Some(&v2));
    assert!(!history.has_other(&origin("v2"), ATTEMPT, seconds(82)));
}

/// A stream of a route with a long timeout may have begun long ago, at a version that is gone.
#[test]
fn only_version_none_while_a_long_stream_may_be_of_another() {
    let (mut history, service) = (History::default(), Service::from("text"));
    let minute = Duration::from_secs(60);
    observe(&mut history, &[registration("a", "v1"), registration("b", "v2")], 0, 3);
    observe(&mut history, &[registration("b", "v2")], 4, 94);
    assert_eq!(history.only_version(&service, minute, seconds(92)), None);
    assert_eq!(history.only_version(&service, minute, seconds(94)), Some(&Version::from("v2")));
    assert_eq!(history.only_version(&service, minute * 10, seconds(94)), None, "nor remembered");
}

/// An upstream that came and left between two reads may have begun streams.
#[test]
fn only_version_none_after_a_gap_in_which_one_may_have_come_and_gone() {
    let (mut history, service) = (History::default(), Service::from("text"));
    let one = [registration("a", "v1")];
    observe(&mut history, &one, 0, 40);
    observe(&mut history, &one, 44, 78);
    assert_eq!(history.only_version(&service, ATTEMPT, seconds(78)), None);
}

#[test]
fn only_version_none_after_a_gap() {
    let (mut history, service) = (History::default(), Service::from("text"));
    let one = [registration("a", "v1")];
    observe(&mut history, &one, 0, 40);
    observe(&mut history, &one, 60, 80);
    assert_eq!(history.only_version(&service, ATTEMPT, seconds(80)), None);
    observe(&mut history, &one, 81, 96);
    assert!(history.only_version(&service, ATTEMPT, seconds(96)).is_some());
}

fn select(table: &Table, version: Option<&Version>) -> Option<String> {
    let (service, data_centre) = (Service::from("text"), DataCentre::from("porto"));
    let criteria = Criteria {
        service: &service,
        version,
        data_centre: &data_centre,
        tried: &[],
        items_wait: false,
        tie_breaker: 0,
    };
    let choice = place::online(table, criteria, NOW)?;
    table.get(choice.key).map(|entry| entry.registration.upstream.to_string())
}

#[test]
fn online_bound_to_a_version() {
    let mut table = Table::default();
    let (old, new) = (Version::from("v1"), Version::from("v2"));
    table.replace(&[registration("a", "v1"), registration("b", "v2")], None, NOW);
    assert_eq!(select(&table, Some(&old)).as_deref(), Some("a"));
    assert_eq!(select(&table, Some(&new)).as_deref(), Some("b"));
    let (key, _) = table.iter().find(|(_, entry)| entry.number == place_number("a")).expect("a");
    table.record_failure(key, NOW);
    assert_eq!(select(&table, None).as_deref(), Some("b"), "an ejected upstream is avoided");
    assert_eq!(select(&table, Some(&old)).as_deref(), Some("a"), "unless no other can go on");
    let draining = Registration { draining: true, ..registration("a", "v1") };
    table.replace(&[draining, registration("b", "v2")], None, NOW);
    assert_eq!(select(&table, Some(&old)), None);
}

fn place_number(name: &str) -> u32 {
    parsleybeam::serve::upstream::number(&Upstream::from(name))
}

#[test]
fn room_of_a_version() {
    let mut table = Table::default();
    let (service, version) = (Service::from("text"), Version::from("v1"));
    let room = |table: &Table| place::room(table, &service, &version, NOW);
    table.replace(&[registration("b", "v2")], None, NOW);
    assert_eq!(room(&table), Room::Gone);
    table.replace(&[registration("a", "v1"), registration("b", "v2")], None, NOW);
    assert_eq!(room(&table), Room::Free);
    let (key, _) = table.iter().find(|(_, entry)| entry.number == place_number("a")).expect("a");
    table.get_mut(key).expect("a").own.online = 1;
    assert_eq!(room(&table), Room::Full);
}

/// Guards against an assumed origin that stands although its stream is known to have begun
/// elsewhere.
#[test]
fn record_after_forgotten_origin() {
    let mut origins = Origins::default();
    let stream = Stream::of("assumed");
    let origin = |version: &str| Origin { service: "text".into(), version: version.into() };
    origins.record(stream, &origin("v1"), Time(20_000_000), Time(10_000_000));
    origins.forget(stream);
    assert_eq!(origins.origin(stream, Time(10_000_000)), None);
    origins.record(stream, &origin("v2"), Time(20_000_000), Time(10_000_000));
    assert_eq!(origins.origin(stream, Time(10_000_000)), Some(&origin("v2")));
}
