//! Benchmark of a disk's commit rate, with and without group commit.

use std::path::Path;
use std::time::Instant;

use bytes::Bytes;

use super::{Change, Disk, Entry, Position, SegmentId, Write};
use crate::error::Result;

/// Size of a record, in bytes.
const RECORD_BYTES: usize = 512;
/// Number of records per transaction with group commit.
const GROUP_RECORDS: u64 = 256;

/// Measured rates, in durable records per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Rate with group commit, many records per transaction.
    pub grouped: f64,
    /// Rate with one fsync per record.
    pub single: f64,
}

/// Writes `records` records in each mode into the data directory `directory`.
pub fn measure(directory: &Path, records: u64) -> Result<Rates> {
    let disk = Disk::open(directory, 1)?;
    let single = rate(&disk, SegmentId(0), records, 1)?;
    let grouped = rate(&disk, SegmentId(1), records, GROUP_RECORDS)?;
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
