//! Segment storage: restarts, compaction, corruption and missing folders.

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
    let error =
        Disk::open(Path::new("no/such/folder"), 1).err().expect("a missing folder is an error");
    assert_eq!(error.kind, Kind::Settings);
    assert!(error.detail.contains("does not exist"), "{error}");
}

#[test]
fn load_after_restart() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = Disk::open(folder.path(), 7).expect("the disk opens");
    let set = ReplicaSet { epoch: 1, replicas: Vec::new() };
    let changes = vec![Change::Adopt(set.clone()), entry(1, "a"), entry(2, "b"), entry(3, "c")];
    disk.write(&[write(changes)]).expect("the write succeeds");
    disk.write(&[write(vec![Change::Truncate(3), entry(3, "d")])]).expect("the write succeeds");
    drop(disk);
    let disk = Disk::open(folder.path(), 8).expect("the disk opens");
    assert_eq!(disk.identity(), 7, "the identity must survive a restart");
    let loaded = disk.load(SEGMENT).expect("the segment loads");
    assert_eq!((loaded.hard_state.set, loaded.positions.len()), (set, 3));
    let entries = disk.read(SEGMENT, 2, 3, usize::MAX).expect("the entries can be read");
    let payloads: Vec<_> = entries.iter().map(|entry| entry.payload.clone()).collect();
    assert_eq!(payloads, ["b", "d"]);
}

#[test]
fn load_after_compaction() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = Disk::open(folder.path(), 7).expect("the disk opens");
    disk.write(&[write(vec![entry(1, "a"), entry(2, "b"), entry(3, "c")])])
        .expect("the write succeeds");
    let obsolete = Write { segment: SEGMENT, obsolete: vec![1, 3], commit: 3, ..Write::default() };
    let bases = disk.write(&[obsolete]).expect("the write succeeds");
    assert_eq!(bases, [Position { seq: 1, epoch: 1 }]);
    let loaded = disk.load(SEGMENT).expect("the segment loads");
    assert_eq!((loaded.base.seq, loaded.positions.len(), loaded.commit), (1, 2, 3));
    let entries = disk.read(SEGMENT, 1, 3, usize::MAX).expect("the entries can be read");
    assert_eq!(entries[0].payload, "b");
    assert!(entries[1].payload.is_empty());
}

#[test]
fn decode_corrupt() {
    let entry =
        Entry { position: Position { seq: 4, epoch: 2 }, payload: Bytes::from_static(b"abc") };
    let bytes = entry.encode();
    assert_eq!(Entry::decode(4, &bytes), Ok(entry));
    for offset in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[offset] ^= 1;
        assert!(Entry::decode(4, &corrupt).is_err(), "bit flipped in byte {offset}");
    }
    assert!(Entry::decode(5, &bytes).is_err(), "an entry under another sequence number");
    assert!(Entry::decode(4, &bytes[..10]).is_err(), "a truncated entry");
}

#[test]
fn load_corrupt_file() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = Disk::open(folder.path(), 7).expect("the disk opens");
    disk.write(&[write(vec![entry(1, "findable text")])]).expect("the write succeeds");
    drop(disk);
    let file = folder.path().join("segments.redb");
    let mut bytes = std::fs::read(&file).expect("file access");
    let offsets: Vec<_> =
        bytes.windows(13).enumerate().filter(|(_, window)| window == b"findable text").collect();
    let offsets: Vec<usize> = offsets.into_iter().map(|(offset, _)| offset).collect();
    assert!(!offsets.is_empty());
    for offset in offsets {
        bytes[offset] ^= 1;
    }
    std::fs::write(&file, bytes).expect("file access");
    let result = Disk::open(folder.path(), 8).and_then(|disk| disk.load(SEGMENT));
    result.expect_err("a corrupt entry must be detected");
}

#[test]
fn measure_both_rates() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let rates = measure(folder.path(), 64).expect("the measurement succeeds");
    assert!(rates.grouped > 0.0 && rates.single > 0.0);
}
