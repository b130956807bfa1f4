//! The store's disk: restarts, torn writes, corruption, missing folders.

use std::path::Path;

use bytes::Bytes;
use parsleybeam::error::Kind;
use parsleybeam::segment::{Change, Disk, Entry, Position, ReplicaSet, SegmentId, Write, measure};

const SEGMENT: SegmentId = SegmentId(3);

fn entry(seq: u64, text: &'static str) -> Change {
    let payload = Bytes::from_static(text.as_bytes());
    Change::Append(Entry { position: Position { seq, epoch: 1 }, payload })
}

fn write(changes: Vec<Change>) -> Write {
    Write { segment: SEGMENT, changes, ..Write::default() }
}

#[test]
fn open_folder_missing() {
    let error = Disk::open(Path::new("no/such/folder"), 1).err().expect("it must be refused");
    assert_eq!(error.kind, Kind::Settings);
    assert!(error.detail.contains("does not exist"), "{error}");
}

#[test]
fn load_after_restart() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = Disk::open(folder.path(), 7).expect("disk");
    let set = ReplicaSet { epoch: 1, replicas: Vec::new() };
    let changes = vec![Change::Adopt(set.clone()), entry(1, "a"), entry(2, "b"), entry(3, "c")];
    disk.write(&[write(changes)]).expect("written");
    disk.write(&[write(vec![Change::Truncate(3), entry(3, "d")])]).expect("written");
    drop(disk);
    let disk = Disk::open(folder.path(), 8).expect("disk");
    assert_eq!(disk.identity(), 7, "a disk keeps its identity");
    let loaded = disk.load(SEGMENT).expect("loaded");
    assert_eq!((loaded.hard_state.set, loaded.positions.len()), (set, 3));
    let entries = disk.read(SEGMENT, 2, 3, usize::MAX).expect("entries");
    let payloads: Vec<_> = entries.iter().map(|entry| entry.payload.clone()).collect();
    assert_eq!(payloads, ["b", "d"]);
}

#[test]
fn load_after_compaction() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = Disk::open(folder.path(), 7).expect("disk");
    disk.write(&[write(vec![entry(1, "a"), entry(2, "b"), entry(3, "c")])]).expect("written");
    let dead = Write { segment: SEGMENT, dead: vec![1, 3], commit: 3, ..Write::default() };
    let bases = disk.write(&[dead]).expect("written");
    assert_eq!(bases, [Position { seq: 1, epoch: 1 }]);
    let loaded = disk.load(SEGMENT).expect("loaded");
    assert_eq!((loaded.base.seq, loaded.positions.len(), loaded.commit), (1, 2, 3));
    let entries = disk.read(SEGMENT, 1, 3, usize::MAX).expect("entries");
    assert_eq!(entries[0].payload, "b");
    assert!(entries[1].payload.is_empty());
}

#[test]
fn decode_corrupt() {
    let entry =
        Entry { position: Position { seq: 4, epoch: 2 }, payload: Bytes::from_static(b"abc") };
    let bytes = entry.encode();
    assert_eq!(Entry::decode(4, &bytes), Ok(entry));
    for at in 0..bytes.len() {
        let mut broken = bytes.clone();
        broken[at] ^= 1;
        assert!(Entry::decode(4, &broken).is_err(), "bit flipped in byte {at}");
    }
    assert!(Entry::decode(5, &bytes).is_err(), "an entry in another's place");
    assert!(Entry::decode(4, &bytes[..10]).is_err(), "a torn entry");
}

#[test]
fn load_corrupt_file() {
    let folder = tempfile::tempdir().expect("folder");
    let disk = Disk::open(folder.path(), 7).expect("disk");
    disk.write(&[write(vec![entry(1, "findable text")])]).expect("written");
    drop(disk);
    let file = folder.path().join("segments.redb");
    let mut bytes = std::fs::read(&file).expect("file");
    let places: Vec<_> =
        bytes.windows(13).enumerate().filter(|(_, part)| part == b"findable text").collect();
    let places: Vec<usize> = places.into_iter().map(|(at, _)| at).collect();
    assert!(!places.is_empty());
    for at in places {
        bytes[at] ^= 1;
    }
    std::fs::write(&file, bytes).expect("file");
    let found = Disk::open(folder.path(), 8).and_then(|disk| disk.load(SEGMENT));
    found.expect_err("a corrupt entry must be noticed");
}

#[test]
fn measure_both() {
    let folder = tempfile::tempdir().expect("folder");
    let rates = measure(folder.path(), 64).expect("measured");
    assert!(rates.grouped > 0.0 && rates.single > 0.0);
}
