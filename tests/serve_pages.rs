//! Pages of results: what they pin, and what is left for others.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parsleybeam::clock::Time;
use parsleybeam::serve::held::{Held, Kind};
use parsleybeam::serve::jobs::{Cut, Encoder, ItemResult, Loaded, Page, Pages, Pin};

const NOW: Time = Time(5_000_000);
/// Memory of the smallest VM, in megabytes.
const MEMORY_MB: f64 = 110.0;
/// The largest output of our users' items, in bytes.
const OUTPUT_BYTES: usize = 131_000;
/// Age of a page that may be cut.
const OLD: Duration = Duration::from_secs(6);

fn results(held: &Arc<Held>, count: usize) -> Vec<Rc<Loaded>> {
    let output = "x".repeat(OUTPUT_BYTES);
    let result =
        |index| ItemResult { item: format!("item-{index}"), outcome: 0, output: output.clone() };
    (0..count).map(|index| Loaded::new(Rc::new(result(index)), held)).collect()
}

/// Yields one slice for each result, and drops the result.
struct Whole(Vec<Pin>);

impl Encoder for Whole {
    fn length(&self) -> u64 {
        self.0.len() as u64
    }

    fn next(&mut self) -> Option<Bytes> {
        self.0.pop().map(|_| Bytes::from_static(b"x"))
    }
}

#[test]
fn pin_same_results_counted_once() {
    let held = Held::new(Some(MEMORY_MB));
    let pages = Pages::new(held.clone());
    let loaded = results(&held, 8);
    let readers: Vec<_> = (0..500).map(|_| pages.pin(&loaded, NOW).expect("room")).collect();
    assert!(readers.iter().all(|pins| pins.len() == 7), "a full page for each");
    assert!(pages.pinned() < 8 * (OUTPUT_BYTES + 1_000));
    drop(readers);
    assert_eq!(pages.pinned(), 0);
    drop(loaded);
    assert_eq!(held.sum(Kind::Result), 0);
}

/// Guards against pages of slow readers that take all memory, and against a refusal of the next
/// reader while a shorter page would do.
#[test]
fn pin_shorter_pages_before_none() {
    let held = Held::new(Some(MEMORY_MB));
    let pages = Pages::new(held.clone());
    let mut lengths = Vec::new();
    let mut readers = Vec::new();
    while let Some(pins) = pages.pin(&results(&held, 8), NOW) {
        lengths.push(pins.len());
        readers.push(pins);
        assert!(pages.pinned() <= held.pinned_limit());
    }
    assert_eq!(lengths[0], 7, "a full page while others pin little");
    assert!(lengths.is_sorted_by(|one, next| one >= next), "{lengths:?}");
    assert_eq!(lengths.last(), Some(&1), "one result before none");
    let full_pages = held.pinned_limit() / lengths[0] / OUTPUT_BYTES;
    assert!(lengths.len() >= 2 * full_pages, "{} readers of jobs of their own", lengths.len());
    drop(readers.pop());
    assert!(pages.pin(&results(&held, 8), NOW).is_some(), "one has left");
}

/// Guards against readers of a few bytes a second that keep all others from reading.
#[test]
fn pin_cuts_the_oldest_page_only_when_short() {
    let held = Held::new(Some(MEMORY_MB));
    let pages = Pages::new(held.clone());
    let mut slow = Vec::new();
    while let Some(pins) = pages.pin(&results(&held, 8), NOW) {
        slow.push(pages.begin(Box::new(Whole(pins)), NOW));
    }
    let later = NOW.after(OLD);
    assert!(pages.pin(&results(&held, 1), NOW).is_none(), "none is old enough");
    let pins = pages.pin(&results(&held, 1), later).expect("the oldest page makes room");
    let mut next = pages.begin(Box::new(Whole(pins)), later);
    assert_eq!(next.next_slice(), Some(Ok(Bytes::from_static(b"x"))));
    assert_eq!(next.next_slice(), None);
    let cut = slow.iter_mut().filter_map(|page| page.next_slice()).filter(|next| *next == Err(Cut));
    assert_eq!(cut.count(), 1, "no more than needed");
}

#[test]
fn pin_page_size() {
    let held = Held::new(None);
    let pages = Pages::new(held.clone());
    let page = |count, next| {
        let results = pages.pin(&results(&held, count), NOW).expect("room");
        Page { total: 20, next, results }.results.len()
    };
    assert_eq!(page(0, 0), 0);
    assert_eq!(page(3, 3), 3);
    assert_eq!(page(20, 7), 7, "at most 1 MB");
    let output = "x".repeat(2_000_000);
    let large = ItemResult { item: "large".into(), outcome: 0, output };
    let large = [Loaded::new(Rc::new(large), &held)];
    assert_eq!(pages.pin(&large, NOW).map(|pins| pins.len()), Some(1), "at least one");
}
