//! Results in memory, and the pages that callers read of them.
//!
//! A page doesn't copy its results: it pins them until they are encoded, slice by slice, as its
//! caller reads. Callers that read the same results pin them once. What pages pin is bounded;
//! each further one gets an eighth of what is left, and one result at least. So pages get
//! shorter while callers read slowly, before any caller is refused. Once nothing is left,
//! the oldest page is cut if it is older than `CUT_AFTER`: a caller that reads on for seconds
//! doesn't keep others from reading for as long as it likes.

use std::cell::{Cell, RefCell};
use std::ops::Deref;
use std::rc::{Rc, Weak};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::record::ItemResult;
use crate::clock::Time;
use crate::serve::held::{Charge, Held, Kind};

/// Maximum size of the results in one page, in bytes.
pub(in crate::serve) const MAX_PAGE_BYTES: usize = 1_000_000;
/// Part of what pages may still pin that one page pins at most.
const PAGE_PART: usize = 8;
/// Bytes of a result in memory beside its item and output.
const ENTRY_BYTES: usize = 200;
/// Age from which on a page that is still being read may be cut.
const CUT_AFTER: Duration = Duration::from_secs(5);

new_key_type! {
    /// Key of a page that is being read.
    struct Key;
}

/// A result in memory, charged until the last holder drops it.
#[derive(Debug)]
pub struct Loaded {
    result: Rc<ItemResult>,
    pins: Cell<usize>,
    charge: Charge,
}

impl Loaded {
    /// Charges a result.
    pub fn new(result: Rc<ItemResult>, held: &std::sync::Arc<Held>) -> Rc<Self> {
        let mut charge = held.charge(Kind::Result);
        charge.set(result.output.len() + result.item.len() + ENTRY_BYTES);
        Rc::new(Self { result, pins: Cell::new(0), charge })
    }

    /// The result.
    pub fn result(&self) -> &ItemResult {
        &self.result
    }

    /// Bytes that it takes in memory.
    pub fn bytes(&self) -> usize {
        self.charge.bytes()
    }

    /// Bytes that it takes in a page.
    pub fn page_bytes(&self) -> usize {
        self.result.output.len() + self.result.item.len()
    }

    /// Whether a page holds on to it.
    pub fn is_pinned(&self) -> bool {
        self.pins.get() > 0
    }
}

/// A result that a page holds on to.
pub struct Pin {
    loaded: Rc<Loaded>,
    pages: Rc<Pages>,
}

impl Pin {
    fn new(loaded: &Rc<Loaded>, pages: &Rc<Pages>) -> Self {
        if !loaded.is_pinned() {
            pages.pinned.set(pages.pinned.get() + loaded.bytes());
        }
        loaded.pins.set(loaded.pins.get() + 1);
        Self { loaded: loaded.clone(), pages: pages.clone() }
    }
}

impl Deref for Pin {
    type Target = ItemResult;

    fn deref(&self) -> &ItemResult {
        &self.loaded.result
    }
}

impl Drop for Pin {
    fn drop(&mut self) {
        self.loaded.pins.set(self.loaded.pins.get() - 1);
        if !self.loaded.is_pinned() {
            self.pages.pinned.set(self.pages.pinned.get() - self.loaded.bytes());
        }
    }
}

/// A page of results.
pub struct Page {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results, by position.
    pub results: Vec<Pin>,
}

/// Encoder of a page that yields it slice by slice.
pub trait Encoder {
    /// Bytes of the whole page.
    fn length(&self) -> u64;

    /// The next slice; none at the end. Drops the results that it no longer needs.
    fn next(&mut self) -> Option<bytes::Bytes>;
}

/// An encoder that can be dropped while its page is being read.
type Encoding = RefCell<Option<Box<dyn Encoder>>>;

/// A page that is being read.
struct Reading {
    began: Time,
    encoding: Weak<Encoding>,
}

/// All pages of this VM that callers read.
pub struct Pages {
    held: std::sync::Arc<Held>,
    /// Bytes of all results that pages hold on to.
    pinned: Cell<usize>,
    reading: RefCell<SlotMap<Key, Reading>>,
}

impl Pages {
    /// No page is being read yet.
    pub fn new(held: std::sync::Arc<Held>) -> Rc<Self> {
        Rc::new(Self { held, pinned: Cell::new(0), reading: RefCell::default() })
    }

    /// Bytes of all results that pages hold on to.
    pub fn pinned(&self) -> usize {
        self.pinned.get()
    }

    /// Bytes that further pages may pin.
    fn left(&self) -> usize {
        self.held.pinned_limit().saturating_sub(self.pinned.get())
    }

    /// Pins as many of these results as one page may; none if there is no room for the first.
    pub fn pin(self: &Rc<Self>, results: &[Rc<Loaded>], now: Time) -> Option<Vec<Pin>> {
        let needed = |loaded: &Rc<Loaded>| if loaded.is_pinned() { 0 } else { loaded.bytes() };
        while results.first().is_some_and(|first| needed(first) > self.left()) {
            if !self.cut_oldest(now) {
                return None;
            }
        }
        let most = self.left() / PAGE_PART;
        let (mut page_bytes, mut pinned_bytes) = (0, 0);
        let mut pins = Vec::new();
        for loaded in results {
            page_bytes += loaded.page_bytes();
            pinned_bytes += needed(loaded);
            let fits = page_bytes <= MAX_PAGE_BYTES && pinned_bytes <= most;
            if !pins.is_empty() && !fits {
                break;
            }
            pins.push(Pin::new(loaded, self));
        }
        Some(pins)
    }

    /// Cuts the oldest page, if it is old enough; whether it was.
    fn cut_oldest(&self, now: Time) -> bool {
        let reading = self.reading.borrow();
        let Some(oldest) = reading.values().min_by_key(|reading| reading.began) else {
            return false;
        };
        if !oldest.began.after(CUT_AFTER).passed(now) {
            return false;
        }
        let encoding = oldest.encoding.upgrade();
        let key = reading.iter().find(|(_, reading)| reading.began == oldest.began);
        let key = key.map(|(key, _)| key);
        drop(reading);
        key.map(|key| self.reading.borrow_mut().remove(key));
        // Its connection is aborted when the caller asks for more.
        encoding.map(|encoding| encoding.take());
        metrics::counter!("serve_answers_cut_total", "cause" => "page").increment(1);
        true
    }

    /// Begins to hand a page to its caller.
    pub fn begin(self: &Rc<Self>, encoder: Box<dyn Encoder>, now: Time) -> Slices {
        let length = encoder.length();
        let encoding = Rc::new(RefCell::new(Some(encoder)));
        let reading = Reading { began: now, encoding: Rc::downgrade(&encoding) };
        let key = self.reading.borrow_mut().insert(reading);
        Slices { length, left: length, encoding, key, pages: self.clone() }
    }
}

/// Error of a page that was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut;

/// A page on its way to its caller.
pub struct Slices {
    length: u64,
    left: u64,
    encoding: Rc<Encoding>,
    key: Key,
    pages: Rc<Pages>,
}

impl Slices {
    /// Bytes of the whole page.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The next slice; none at the end.
    pub fn next_slice(&mut self) -> Option<Result<bytes::Bytes, Cut>> {
        if self.left == 0 {
            return None;
        }
        let slice = self.encoding.borrow_mut().as_mut().and_then(|encoder| encoder.next());
        let Some(slice) = slice else { return Some(Err(Cut)) };
        self.left = self.left.saturating_sub(slice.len() as u64);
        Some(Ok(slice))
    }
}

impl Drop for Slices {
    fn drop(&mut self) {
        self.pages.reading.borrow_mut().remove(self.key);
    }
}
