//! Segments on a store's disk: one redb file for all of them.
//!
//! One transaction carries the changes of many segments and callers; its
//! commit is one fsync. redb drops a transaction that was torn by a crash.
//! Every entry has a checksum of its own, verified when it is read.

use std::path::Path;

use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};

use super::machine::HardState;
use super::{Change, Entry, Position, SegmentId};
use crate::error::{Error, Kind, Result};

/// Entries by segment and sequence number.
const ENTRIES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("entries");
/// What is known about each segment, as JSON.
const SEGMENTS: TableDefinition<u32, &[u8]> = TableDefinition::new("segments");
/// The disk's own identity.
const IDENTITY: TableDefinition<(), u64> = TableDefinition::new("identity");
/// Name of the file in the data folder.
const FILE: &str = "segments.redb";

/// What the disk keeps about a segment beside its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    #[serde(rename = "kept")]
    hard_state: HardState,
    base_seq: u64,
    base_epoch: u64,
    commit: u64,
}

/// What a restart finds of a segment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// The replica set and the pending proposal.
    pub hard_state: HardState,
    /// Where the log begins.
    pub base: Position,
    /// A sequence number up to which entries are known to be committed.
    pub commit: u64,
    /// Marks of all entries.
    pub positions: Vec<Position>,
}

/// Changes of one segment.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Which segment.
    pub segment: SegmentId,
    /// What changes, in order.
    pub changes: Vec<Change>,
    /// Entries that mean nothing any more; their payload is dropped.
    pub dead: Vec<u64>,
    /// Highest committed sequence number.
    pub commit: u64,
}

/// The segments on one disk.
pub struct Disk {
    database: Database,
    identity: u64,
}

impl Disk {
    /// Opens the file in `folder`, which must exist; `fresh` becomes the
    /// disk's identity if it has none yet.
    pub fn open(folder: &Path, fresh: u64) -> Result<Self> {
        if !folder.is_dir() {
            let text = format!("data: the folder {} does not exist", folder.display());
            return Err(Error::new(Kind::Settings, text));
        }
        let database = Database::create(folder.join(FILE)).map_err(failed)?;
        let write = database.begin_write().map_err(failed)?;
        let identity = {
            write.open_table(ENTRIES).map_err(failed)?;
            write.open_table(SEGMENTS).map_err(failed)?;
            let mut table = write.open_table(IDENTITY).map_err(failed)?;
            let known = table.get(()).map_err(failed)?.map(|value| value.value());
            if known.is_none() {
                table.insert((), fresh).map_err(failed)?;
            }
            known.unwrap_or(fresh)
        };
        write.commit().map_err(failed)?;
        Ok(Self { database, identity })
    }

    /// Identity of this disk; an emptied one gets another.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Reads a segment's positions, verifying every entry.
    pub fn load(&self, segment: SegmentId) -> Result<Loaded> {
        let read = self.database.begin_read().map_err(failed)?;
        let heads = read.open_table(SEGMENTS).map_err(failed)?;
        let head = match heads.get(segment.0).map_err(failed)? {
            Some(bytes) => parse(bytes.value())?,
            None => Head::default(),
        };
        let base = Position { seq: head.base_seq, epoch: head.base_epoch };
        let entries = read.open_table(ENTRIES).map_err(failed)?;
        let mut positions = Vec::new();
        for item in entries.range((segment.0, 0)..=(segment.0, u64::MAX)).map_err(failed)? {
            let (key, value) = item.map_err(failed)?;
            let position = Entry::decode(key.value().1, value.value())?.position;
            if position.seq != base.seq + 1 + positions.len() as u64 {
                let text = format!("entry {} of the log is missing", base.seq + 1);
                return Err(Error::new(Kind::Internal, text));
            }
            positions.push(position);
        }
        Ok(Loaded { hard_state: head.hard_state, base, commit: head.commit, positions })
    }

    /// Reads entries from `from` to `through`, until `max_bytes` are exceeded.
    pub fn read(
        &self,
        segment: SegmentId,
        from: u64,
        through: u64,
        max_bytes: usize,
    ) -> Result<Vec<Entry>> {
        let read = self.database.begin_read().map_err(failed)?;
        let table = read.open_table(ENTRIES).map_err(failed)?;
        let mut entries = Vec::new();
        let mut bytes = 0;
        for item in table.range((segment.0, from)..=(segment.0, through)).map_err(failed)? {
            let (key, value) = item.map_err(failed)?;
            let entry = Entry::decode(key.value().1, value.value())?;
            bytes += entry.payload.len();
            entries.push(entry);
            if bytes > max_bytes {
                break;
            }
        }
        Ok(entries)
    }

    /// Makes all changes durable with one fsync, or none of them. Returns
    /// where the log of each written segment begins now.
    pub fn write(&self, writes: &[Write]) -> Result<Vec<Position>> {
        let mut write = self.database.begin_write().map_err(failed)?;
        write.set_durability(Durability::Immediate).map_err(failed)?;
        let mut bases = Vec::with_capacity(writes.len());
        {
            let mut heads = write.open_table(SEGMENTS).map_err(failed)?;
            let mut entries = write.open_table(ENTRIES).map_err(failed)?;
            for each in writes {
                let mut head = match heads.get(each.segment.0).map_err(failed)? {
                    Some(bytes) => parse(bytes.value())?,
                    None => Head::default(),
                };
                for change in &each.changes {
                    apply(&mut entries, each.segment, &mut head, change)?;
                }
                drop_dead(&mut entries, each, &mut head)?;
                head.commit = head.commit.max(each.commit);
                bases.push(Position { seq: head.base_seq, epoch: head.base_epoch });
                let bytes = serde_json::to_vec(&head).expect("a head is plain data");
                heads.insert(each.segment.0, bytes.as_slice()).map_err(failed)?;
            }
        }
        write.commit().map_err(failed)?;
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
        Change::Truncate(from) => remove(entries, segment, *from)?,
        Change::Reset(base) => {
            remove(entries, segment, 0)?;
            (head.base_seq, head.base_epoch, head.commit) = (base.seq, base.epoch, base.seq);
        }
        Change::Append(entry) => {
            let bytes = entry.encode();
            entries.insert((segment.0, entry.position.seq), bytes.as_slice()).map_err(failed)?;
        }
    }
    Ok(())
}

fn remove(entries: &mut Entries<'_>, segment: SegmentId, from: u64) -> Result<()> {
    entries.retain_in((segment.0, from)..=(segment.0, u64::MAX), |_, _| false).map_err(failed)
}

/// Empties dead entries and moves the base over those at the log's start.
fn drop_dead(entries: &mut Entries<'_>, write: &Write, head: &mut Head) -> Result<()> {
    if write.dead.is_empty() {
        return Ok(());
    }
    for seq in &write.dead {
        let Some(entry) = get(entries, write.segment, *seq)? else { continue };
        let empty = Entry { position: entry.position, payload: bytes::Bytes::new() };
        entries.insert((write.segment.0, *seq), empty.encode().as_slice()).map_err(failed)?;
    }
    while head.base_seq < write.commit {
        let Some(entry) = get(entries, write.segment, head.base_seq + 1)? else { break };
        if !entry.payload.is_empty() {
            break;
        }
        entries.remove((write.segment.0, entry.position.seq)).map_err(failed)?;
        (head.base_seq, head.base_epoch) = (entry.position.seq, entry.position.epoch);
    }
    Ok(())
}

fn get(entries: &Entries<'_>, segment: SegmentId, seq: u64) -> Result<Option<Entry>> {
    let Some(bytes) = entries.get((segment.0, seq)).map_err(failed)? else { return Ok(None) };
    Entry::decode(seq, bytes.value()).map(Some)
}

fn parse(bytes: &[u8]) -> Result<Head> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::new(Kind::Internal, format!("a segment's head is broken: {error}")))
}

fn failed<E>(error: E) -> Error
where
    E: Into<redb::Error>,
{
    let error: redb::Error = error.into();
    Error::new(Kind::StoreUnavailable, format!("the data folder can't be used: {error}"))
}
