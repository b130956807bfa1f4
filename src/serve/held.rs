//! Memory that this process holds for others, by kind.
//!
//! Whatever lives longer than a step of the loop, and grows with what callers, upstreams or
//! other VMs send or fail to read, is charged to a sum of its kind when it comes into being,
//! until it is dropped. Each sum has a share of `memory_mb`, so that no kind uses up another's;
//! docs/design/memory.md adds the shares up. Nothing waits long at a bound: what doesn't fit is
//! refused at once, made smaller, evicted, or waits for its turn by a deadline of its own.
//!
//! | kind | at its bound |
//! |---|---|
//! | `Answer` | large answers go on no further, new online requests are refused |
//! | `Request` | the request is refused |
//! | `Result` | cached results are evicted, pages get shorter, then reads are refused |
//! | `Output` | no further item starts, and items that grow start over |
//! | `Item` | jobs are refused, or not taken over yet |
//!
//! Copies that exist only while a job is read, written or submitted aren't charged by kind:
//! they take turns (`Held::copies`).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Share of `memory_mb` that answers may hold.
const ANSWER_SHARE: f64 = 0.25;
/// Share of `memory_mb` that requests and answers may hold together.
const ONLINE_SHARE: f64 = 0.40;
/// Share of `memory_mb` that results of jobs may hold.
const RESULT_SHARE: f64 = 0.15;
/// Share of `memory_mb` that outputs of items may hold until they are stored.
const OUTPUT_SHARE: f64 = 0.12;
/// Share of `memory_mb` that the items of open jobs may hold.
const ITEM_SHARE: f64 = 0.05;
/// Share of `memory_mb` for copies that exist while a job is read, written or submitted.
const COPY_SHARE: f64 = 0.10;
/// Share of the results that answers may hold on to; the rest is for the cache.
const PINNED_SHARE: f64 = 2.0 / 3.0;
/// Results held without `memory_mb`, in bytes.
const DEFAULT_RESULT_BYTES: usize = 24 << 20;
/// Copies held without `memory_mb`, in bytes.
const DEFAULT_COPY_BYTES: usize = 256 << 20;

/// Maximum size of an answer that is read whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Bytes that an answer may hold whatever the sum.
pub const SMALL_BYTES: usize = 64 << 10;

/// Unit of the memory that large answers take turns for, in bytes.
const TURN_BYTES: usize = 1 << 20;
/// Unit of the memory that copies take turns for, in bytes.
const COPY_BYTES: usize = 64 << 10;
/// Pause between two checks whether the sum is still used up.
const FULL_PAUSE: Duration = Duration::from_millis(20);

key! {
    /// What memory is held for.
    pub enum Kind {
        /// Answers of upstreams until their callers have read them.
        Answer,
        /// Bodies of requests until nothing sends them any more.
        Request,
        /// Results of jobs, cached or in answers that are being read.
        Result,
        /// Outputs of items that aren't stored yet.
        Output,
        /// Items of the open jobs that this VM owns.
        Item,
    }
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Answer, Self::Request, Self::Result, Self::Output, Self::Item];

    /// Value for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Answer => "answers",
            Kind::Request => "requests",
            Kind::Result => "results",
            Kind::Output => "outputs",
            Kind::Item => "items",
        }
    }

    fn share(self) -> f64 {
        match self {
            Kind::Answer => ANSWER_SHARE,
            Kind::Request => ONLINE_SHARE,
            Kind::Result => RESULT_SHARE,
            Kind::Output => OUTPUT_SHARE,
            Kind::Item => ITEM_SHARE,
        }
    }
}

/// Turn to hold something large; ends when it is dropped.
pub type Turn = OwnedSemaphorePermit;

/// What this VM holds, by kind.
#[derive(Debug)]
pub struct Held {
    sums: [AtomicUsize; Kind::ALL.len()],
    limits: [usize; Kind::ALL.len()],
    /// Turns of answers and events that grow beyond `SMALL_BYTES`, in units of `TURN_BYTES`: so
    /// that many of them don't use the sum up in part, each waiting for the others.
    large: Arc<Semaphore>,
    /// Turns of copies, in units of `COPY_BYTES`.
    copies: Arc<Semaphore>,
    copy_units: usize,
}

impl Held {
    /// Nothing is held yet. Without `memory_mb`, only results and copies are bounded.
    pub fn new(memory_mb: Option<f64>) -> Arc<Self> {
        let bytes = |share: f64, without: usize| {
            memory_mb.map_or(without, |mb| (mb * 1e6 * share) as usize)
        };
        let mut limits = Kind::ALL.map(|kind| bytes(kind.share(), usize::MAX));
        limits[Kind::Result as usize] = bytes(RESULT_SHARE, DEFAULT_RESULT_BYTES);
        let large = limits[Kind::Answer as usize] / 2 / TURN_BYTES;
        let large = large.clamp(MAX_ANSWER_BYTES / TURN_BYTES, Semaphore::MAX_PERMITS);
        let copy_units = (bytes(COPY_SHARE, DEFAULT_COPY_BYTES) / COPY_BYTES).max(1);
        Arc::new(Self {
            sums: Default::default(),
            limits,
            large: Arc::new(Semaphore::new(large)),
            copies: Arc::new(Semaphore::new(copy_units)),
            copy_units,
        })
    }

    /// Sum of the charges of a kind, in bytes.
    pub fn sum(&self, kind: Kind) -> usize {
        self.sums[kind as usize].load(Ordering::Relaxed)
    }

    /// Maximum sum of a kind, in bytes.
    pub fn limit(&self, kind: Kind) -> usize {
        self.limits[kind as usize]
    }

    /// Bytes by which a sum may still grow. Requests also make room for answers.
    pub fn room(&self, kind: Kind) -> usize {
        let taken = match kind {
            Kind::Request => self.sum(Kind::Request) + self.sum(Kind::Answer),
            kind => self.sum(kind),
        };
        self.limit(kind).saturating_sub(taken)
    }

    /// Maximum bytes of results that answers may hold on to.
    pub fn pinned_limit(&self) -> usize {
        (self.limit(Kind::Result) as f64 * PINNED_SHARE) as usize
    }

    /// Maximum bytes of copies, but for one that is larger by itself.
    pub fn copy_limit(&self) -> usize {
        self.copy_units * COPY_BYTES
    }

    /// Bytes that copies hold at most.
    pub fn copied(&self) -> usize {
        (self.copy_units - self.copies.available_permits()) * COPY_BYTES
    }

    /// Bytes that answers hold.
    pub fn bytes(&self) -> usize {
        self.sum(Kind::Answer)
    }

    /// Whether nothing is left for further answers.
    pub fn is_full(&self) -> bool {
        self.room(Kind::Answer) == 0 || self.room(Kind::Request) == 0
    }

    /// Waits for the turn to read what may grow to `bytes`, in the order of the calls, and
    /// until the sum of answers isn't used up.
    pub async fn turn(&self, bytes: usize) -> Option<Turn> {
        let units = bytes.div_ceil(TURN_BYTES) as u32;
        // It is never closed, and has as many units as the largest answer takes.
        let turn = self.large.clone().acquire_many_owned(units).await.ok();
        while self.room(Kind::Answer) == 0 {
            tokio::time::sleep(FULL_PAUSE).await;
        }
        turn
    }

    /// Waits for the turn to make copies of `bytes` in all, in the order of the calls.
    pub async fn copies(&self, bytes: usize) -> Option<Turn> {
        self.copies.clone().acquire_many_owned(self.copy_units_of(bytes)).await.ok()
    }

    /// Turn to make copies of `bytes` in all; none if it would have to be waited for.
    pub fn try_copies(&self, bytes: usize) -> Option<Turn> {
        self.copies.clone().try_acquire_many_owned(self.copy_units_of(bytes)).ok()
    }

    /// Copies that are larger than all turns together are made alone.
    fn copy_units_of(&self, bytes: usize) -> u32 {
        bytes.div_ceil(COPY_BYTES).min(self.copy_units) as u32
    }

    /// A charge of no bytes yet.
    pub fn charge(self: &Arc<Self>, kind: Kind) -> Charge {
        Charge { held: self.clone(), kind, bytes: 0 }
    }

    /// A charge of `bytes`; none if there is no room for it.
    pub fn try_charge(self: &Arc<Self>, kind: Kind, bytes: usize) -> Option<Charge> {
        let mut charge = self.charge(kind);
        charge.try_set(bytes).then_some(charge)
    }
}

/// What one answer, request or job holds, until it is dropped.
#[derive(Debug)]
pub struct Charge {
    held: Arc<Held>,
    kind: Kind,
    bytes: usize,
}

impl Charge {
    /// Bytes of the charge.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Replaces the charge.
    pub fn set(&mut self, bytes: usize) {
        let sum = &self.held.sums[self.kind as usize];
        sum.fetch_add(bytes, Ordering::Relaxed);
        sum.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Replaces the charge, if there is room; false if there isn't.
    pub fn try_set(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes || bytes - self.bytes <= self.held.room(self.kind);
        if fits {
            self.set(bytes);
        }
        fits
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Bytes that are charged until the last part of them is dropped.
pub struct Charged<C> {
    /// The bytes.
    pub bytes: bytes::Bytes,
    /// Their charge, or their turn.
    pub charge: C,
}

impl<C> AsRef<[u8]> for Charged<C> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
