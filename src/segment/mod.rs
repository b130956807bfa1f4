//! Replicated segments of the batch log.
//!
//! A segment is a log kept by two or three stores in different data centres.
//! Its replica set and epoch live in the platform's service and change only
//! by compare-and-swap. The first replica of the set is the primary: it
//! numbers the entries, keeps them on its disk and sends them to the others.
//! An entry is committed once every replica of the set holds it on disk, so
//! any of them can become the next primary without losing one.
//!
//! `Machine` decides and performs nothing: its `Actions` lists what must be on
//! disk before the messages of that step may leave. `Disk` keeps entries in
//! one redb file, `simulate` drives several machines through faults.

mod actions;
mod disk;
mod entry;
mod machine;
mod measure;
mod progress;
mod set;
mod simulate;

pub use actions::{Actions, Append, Appended, Change, Transfer};
pub use disk::{Disk, Loaded, Write};
pub use entry::{Entry, Position};
pub use machine::{FAILURE_TIMEOUT, HardState, Machine};
pub use measure::{Rates, measure};
pub use set::{MIN_COPIES, Replica, ReplicaSet, TARGET_COPIES};
pub use simulate::{Report, Violation, simulate};

/// Segments of a fleet; jobs and claims are spread over them by hash.
pub const SEGMENTS: u32 = 8;

key! {
    /// Number of a segment.
    #[derive(Default)]
    pub struct SegmentId(pub u32);
}

impl SegmentId {
    /// The segment that keeps what `organisation` calls `name`.
    pub fn of(organisation: &str, name: &str) -> Self {
        use std::hash::Hasher;
        let mut hasher = siphasher::sip::SipHasher13::new();
        hasher.write(organisation.as_bytes());
        hasher.write_u8(0);
        hasher.write(name.as_bytes());
        SegmentId((hasher.finish() % u64::from(SEGMENTS)) as u32)
    }

    /// Every segment.
    pub fn all() -> impl Iterator<Item = SegmentId> {
        (0..SEGMENTS).map(SegmentId)
    }
}
