//! Entries of a segment and their form on disk.

use bytes::Bytes;

use crate::error::{Error, Kind, Result};

/// Bytes before the payload: checksum, sequence number and epoch.
const HEADER_BYTES: usize = 4 + 8 + 8;

key! {
    /// Sequence number and epoch: together they name one entry for ever.
    #[derive(Default)]
    pub struct Position {
        /// Place in the log, from one.
        pub seq: u64,
        /// Epoch of the primary that numbered it.
        pub epoch: u64,
    }
}

/// One entry of a segment's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Where it stands and who put it there.
    pub position: Position,
    /// The record; empty once it was compacted away.
    pub payload: Bytes,
}

impl Entry {
    /// The form on disk, with a checksum over everything else.
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

    /// Reads an entry back; `Internal` when it isn't what was written.
    pub fn decode(seq: u64, bytes: &[u8]) -> Result<Self> {
        let broken =
            || Error::new(Kind::Internal, format!("entry {seq} of the log fails its checksum"));
        if bytes.len() < HEADER_BYTES {
            return Err(broken());
        }
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().expect("8 bytes"));
        let checksum = u32::from_le_bytes(bytes[..4].try_into().expect("4 bytes"));
        let position = Position { seq: word(4), epoch: word(12) };
        if checksum != crc32fast::hash(&bytes[4..]) || position.seq != seq {
            return Err(broken());
        }
        Ok(Self { position, payload: Bytes::copy_from_slice(&bytes[HEADER_BYTES..]) })
    }
}
