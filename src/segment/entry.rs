//! Log entries of a segment and their on-disk encoding.

use bytes::Bytes;

use crate::error::{Error, Kind, Result};

/// Size of the header in bytes: checksum, sequence number and epoch.
const HEADER_BYTES: usize = 4 + 8 + 8;

key! {
    /// Sequence number and epoch, which together identify an entry uniquely.
    #[derive(Default)]
    pub struct Position {
        /// Index in the log, starting at 1.
        pub seq: u64,
        /// Epoch of the primary that assigned the sequence number.
        pub epoch: u64,
    }
}

/// One entry of a segment's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Sequence number and epoch of the entry.
    pub position: Position,
    /// Encoded record; empty once the entry was compacted.
    pub payload: Bytes,
}

impl Entry {
    /// Encodes the entry for the disk, with a checksum over all following bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.payload.len());
        bytes.extend_from_slice(&[0; 4]);
        bytes.extend_from_slice(&self.position.seq.to_le_bytes());
        bytes.extend_from_slice(&self.position.epoch.to_le_bytes());
        bytes.extend_from_slice(&self.payload);
        let checksum = crc32fast::hash(&bytes[4..]);
        bytes[..4].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes an entry; fails with `Internal` if it is corrupt or has another sequence number.
    pub fn decode(seq: u64, bytes: &[u8]) -> Result<Self> {
        let corrupt =
            || Error::new(Kind::Internal, format!("entry {seq} of the log fails its checksum"));
        if bytes.len() < HEADER_BYTES {
            return Err(corrupt());
        }
        let read_u64 = |offset: usize| {
            u64::from_le_bytes(bytes[offset..offset + 8].try_into().expect("slice of 8 bytes"))
        };
        let checksum = u32::from_le_bytes(bytes[..4].try_into().expect("slice of 4 bytes"));
        let position = Position { seq: read_u64(4), epoch: read_u64(12) };
        if checksum != crc32fast::hash(&bytes[4..]) || position.seq != seq {
            return Err(corrupt());
        }
        Ok(Self { position, payload: Bytes::copy_from_slice(&bytes[HEADER_BYTES..]) })
    }
}
