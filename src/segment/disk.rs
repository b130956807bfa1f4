//! Storage of all segments of a store in one redb file.
//!
//! A transaction contains the changes of many segments and callers and is
//! committed with one fsync. redb rolls back a transaction that a crash left
//! incomplete. Every entry has its own checksum, which is verified on read.

use std::path::Path;

use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};

use super::machine::HardState;
use super::{Change, Entry, Position, SegmentId};
use crate::error::{Error, Kind, Result};

/// Encoded entries by segment and sequence number.
const ENTRIES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("entries");
/// Metadata (`Head`) of each segment, as JSON.
const SEGMENTS: TableDefinition<u32, &[u8]> = TableDefinition::new("segments");
/// Identity of the disk.
const IDENTITY: TableDefinition<(), u64> = TableDefinition::new("identity");
/// Name of the database file in the data directory.
const FILE: &str = "segments.redb";

/// Stored metadata of a segment, without its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    #[serde(rename = "kept")]
    hard_state: HardState,
    base_seq: u64,
    base_epoch: u64,
    commit: u64,
}

/// State of a segment read from disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Replica set and proposed replica set.
    pub hard_state: HardState,
    /// Position of the last entry removed by compaction; the log begins after it.
    pub base: Position,
    /// Sequence number up to which entries are known to be committed.
    pub commit: u64,
    /// Positions of all entries, in order.
    pub positions: Vec<Position>,
}

/// Changes of one segment to write.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Segment to change.
    pub segment: SegmentId,
    /// Changes to apply, in order.
    pub changes: Vec<Change>,
    /// Sequence numbers of obsolete entries, whose payloads are removed.
    pub obsolete: Vec<u64>,
    /// Highest committed sequence number.
    pub commit: u64,
}

/// Storage of all segments on one disk.
pub struct Disk {
    database: Database,
    identity: u64,
}

impl Disk {
    /// Opens or creates the database in `directory`, which must exist; a new
    /// database gets the identity `new_identity`.
    pub fn open(directory: &Path, new_identity: u64) -> Result<Self> {
        if !directory.is_dir() {
            let detail = format!("data: the directory {} does not exist", directory.display());
            return Err(Error::new(Kind::Settings, detail));
        }
        let database = Database::create(directory.join(FILE)).map_err(disk_error)?;
        let write = database.begin_write().map_err(disk_error)?;
        let identity = {
            write.open_table(ENTRIES).map_err(disk_error)?;
            write.open_table(SEGMENTS).map_err(disk_error)?;
            let mut table = write.open_table(IDENTITY).map_err(disk_error)?;
            let stored = table.get(()).map_err(disk_error)?.map(|value| value.value());
            if stored.is_none() {
                table.insert((), new_identity).map_err(disk_error)?;
            }
            stored.unwrap_or(new_identity)
        };
        write.commit().map_err(disk_error)?;
        Ok(Self { database, identity })
    }

    /// Identity of this disk; a wiped disk gets a new one.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Reads the metadata and positions of a segment, verifying every entry.
    pub fn load(&self, segment: SegmentId) -> Result<Loaded> {
        let read = self.database.begin_read().map_err(disk_error)?;
        let heads = read.open_table(SEGMENTS).map_err(disk_error)?;
        let head = match heads.get(segment.0).map_err(disk_error)? {
            Some(bytes) => parse_head(bytes.value())?,
            None => Head::default(),
        };
        let base = Position { seq: head.base_seq, epoch: head.base_epoch };
        let entries = read.open_table(ENTRIES).map_err(disk_error)?;
        let mut positions = Vec::new();
        for item in entries.range((segment.0, 0)..=(segment.0, u64::MAX)).map_err(disk_error)? {
            let (key, value) = item.map_err(disk_error)?;
            let position = Entry::decode(key.value().1, value.value())?.position;
            if position.seq != base.seq + 1 + positions.len() as u64 {
                let detail = format!("entry {} of the log is missing", base.seq + 1);
                return Err(Error::new(Kind::Internal, detail));
            }
            positions.push(position);
        }
        Ok(Loaded { hard_state: head.hard_state, base, commit: head.commit, positions })
    }

    /// Reads the entries `from..=through`, stopping once their payloads exceed `max_bytes`.
    pub fn read(
        &self,
        segment: SegmentId,
        from: u64,
        through: u64,
        max_bytes: usize,
    ) -> Result<Vec<Entry>> {
        let read = self.database.begin_read().map_err(disk_error)?;
        let table = read.open_table(ENTRIES).map_err(disk_error)?;
        let mut entries = Vec::new();
        let mut bytes = 0;
        for item in table.range((segment.0, from)..=(segment.0, through)).map_err(disk_error)? {
            let (key, value) = item.map_err(disk_error)?;
            let entry = Entry::decode(key.value().1, value.value())?;
            bytes += entry.payload.len();
            entries.push(entry);
            if bytes > max_bytes {
                break;
            }
        }
        Ok(entries)
    }

    /// Writes all changes atomically with one fsync. Returns the new base of
    /// each written segment.
    pub fn write(&self, writes: &[Write]) -> Result<Vec<Position>> {
        let mut write = self.database.begin_write().map_err(disk_error)?;
        write.set_durability(Durability::Immediate).map_err(disk_error)?;
        let mut bases = Vec::with_capacity(writes.len());
        {
            let mut heads = write.open_table(SEGMENTS).map_err(disk_error)?;
            let mut entries = write.open_table(ENTRIES).map_err(disk_error)?;
            for change_set in writes {
                let mut head = match heads.get(change_set.segment.0).map_err(disk_error)? {
                    Some(bytes) => parse_head(bytes.value())?,
                    None => Head::default(),
                };
                for change in &change_set.changes {
                    apply(&mut entries, change_set.segment, &mut head, change)?;
                }
                compact(&mut entries, change_set, &mut head)?;
                head.commit = head.commit.max(change_set.commit);
                bases.push(Position { seq: head.base_seq, epoch: head.base_epoch });
                let bytes = serde_json::to_vec(&head).expect("segment metadata serializes to JSON");
                heads.insert(change_set.segment.0, bytes.as_slice()).map_err(disk_error)?;
            }
        }
        write.commit().map_err(disk_error)?;
        Ok(bases)
    }
}

type Entries<'a> = redb::Table<'a, (u32, u64), &'static [u8]>;

fn apply(
    entries: &mut Entries<'_>,
    segment: SegmentId,
    head: &mut Head,
    change: &Change,
) -> Result<()> {
    match change {
        Change::Adopt(set) => head.hard_state = HardState { set: set.clone(), proposed: None },
        Change::Propose(set) => head.hard_state.proposed = Some(set.clone()),
        Change::Truncate(from) => remove_from(entries, segment, *from)?,
        Change::Reset(base) => {
            remove_from(entries, segment, 0)?;
            (head.base_seq, head.base_epoch, head.commit) = (base.seq, base.epoch, base.seq);
        }
        Change::Append(entry) => {
            let bytes = entry.encode();
            entries
                .insert((segment.0, entry.position.seq), bytes.as_slice())
                .map_err(disk_error)?;
        }
    }
    Ok(())
}

fn remove_from(entries: &mut Entries<'_>, segment: SegmentId, from: u64) -> Result<()> {
    entries.retain_in((segment.0, from)..=(segment.0, u64::MAX), |_, _| false).map_err(disk_error)
}

/// Removes the payloads of obsolete entries, and the entries themselves at the start of the log.
fn compact(entries: &mut Entries<'_>, write: &Write, head: &mut Head) -> Result<()> {
    if write.obsolete.is_empty() {
        return Ok(());
    }
    for seq in &write.obsolete {
        let Some(entry) = get(entries, write.segment, *seq)? else { continue };
        let empty = Entry { position: entry.position, payload: bytes::Bytes::new() };
        entries.insert((write.segment.0, *seq), empty.encode().as_slice()).map_err(disk_error)?;
    }
    while head.base_seq < write.commit {
        let Some(entry) = get(entries, write.segment, head.base_seq + 1)? else { break };
        if !entry.payload.is_empty() {
            break;
        }
        entries.remove((write.segment.0, entry.position.seq)).map_err(disk_error)?;
        (head.base_seq, head.base_epoch) = (entry.position.seq, entry.position.epoch);
    }
    Ok(())
}

fn get(entries: &Entries<'_>, segment: SegmentId, seq: u64) -> Result<Option<Entry>> {
    let Some(bytes) = entries.get((segment.0, seq)).map_err(disk_error)? else { return Ok(None) };
    Entry::decode(seq, bytes.value()).map(Some)
}

fn parse_head(bytes: &[u8]) -> Result<Head> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::new(Kind::Internal, format!("a segment's head is broken: {error}")))
}

fn disk_error<E>(error: E) -> Error
where
    E: Into<redb::Error>,
{
    let error: redb::Error = error.into();
    Error::new(Kind::StoreUnavailable, format!("the data folder can't be used: {error}"))
}
