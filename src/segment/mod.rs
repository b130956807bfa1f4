//! Replicated segments of the batch log.
//!
//! A segment is a log replicated to two or three stores in different data
//! centres. Its replica set and epoch are stored in the platform's service and
//! change only by compare-and-swap. The first replica of the set is the
//! primary: it assigns sequence numbers, writes the entries to its disk and
//! sends them to the other replicas. An entry is committed once every replica
//! of the set has it on disk, so any of them can become the next primary
//! without losing a committed entry.
//!
//! `Machine` is a state machine without I/O: it returns `Actions`, whose
//! changes must be on disk before its messages are sent. `Disk` stores the
//! entries of all segments in one redb file, and `simulate` drives several
//! machines through random faults.

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

/// Number of segments in a fleet; jobs and claims are assigned to them by hash.
pub const SEGMENTS: u32 = 8;

key! {
    /// Number of a segment, below `SEGMENTS`.
    #[derive(Default)]
    pub struct SegmentId(pub u32);
}

impl SegmentId {
    /// Returns the segment that stores the job or claim `name` of `organisation`.
    pub fn of(organisation: &str, name: &str) -> Self {
        use std::hash::Hasher;
        let mut hasher = siphasher::sip::SipHasher13::new();
        hasher.write(organisation.as_bytes());
        hasher.write_u8(0);
        hasher.write(name.as_bytes());
        SegmentId((hasher.finish() % u64::from(SEGMENTS)) as u32)
    }

    /// Iterates over all segments.
    pub fn all() -> impl Iterator<Item = SegmentId> {
        (0..SEGMENTS).map(SegmentId)
    }
}
