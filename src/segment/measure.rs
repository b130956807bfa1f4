//! Commit rates of a disk, with and without group commit.

use std::path::Path;
use std::time::Instant;

use bytes::Bytes;

use super::{Change, Disk, Entry, Position, SegmentId, Write};
use crate::error::Result;

/// Size of a measured record, in bytes.
const RECORD_BYTES: usize = 512;
/// Records that share a transaction.
const GROUP: u64 = 256;

/// Records made durable in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Many records to a transaction.
    pub grouped: f64,
    /// One fsync for each record.
    pub single: f64,
}

/// Writes `records` records each way into `folder`.
pub fn measure(folder: &Path, records: u64) -> Result<Rates> {
    let disk = Disk::open(folder, 1)?;
    let single = rate(&disk, SegmentId(0), records, 1)?;
    let grouped = rate(&disk, SegmentId(1), records, GROUP)?;
    Ok(Rates { grouped, single })
}

fn rate(disk: &Disk, segment: SegmentId, records: u64, group: u64) -> Result<f64> {
    let start = Instant::now();
    let mut seq = 0;
    while seq < records {
        let through = records.min(seq + group);
        let changes = (seq + 1..=through).map(record).collect();
        disk.write(&[Write { segment, changes, ..Write::default() }])?;
        seq = through;
    }
    Ok(records as f64 / start.elapsed().as_secs_f64())
}

fn record(seq: u64) -> Change {
    let payload = Bytes::from(vec![seq as u8; RECORD_BYTES]);
    Change::Append(Entry { position: Position { seq, epoch: 1 }, payload })
}
