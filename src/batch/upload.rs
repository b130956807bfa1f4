//! Parses a job's items from JSON lines, in bounded memory.

use std::collections::HashSet;
use std::hash::Hasher;

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;

use super::record::Item;
use crate::error::{Error, Kind, Result};

/// Maximum number of items in a job.
pub const MAX_ITEMS: u32 = 310_000;
/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Number of items after which a chunk is staged.
const CHUNK_ITEMS: usize = 256;
/// Size of items, in bytes, after which a chunk is staged.
const CHUNK_BYTES: usize = 256 << 10;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    custom_id: String,
    body: Value,
}

/// Incremental parser that splits a request body into items.
pub struct Upload {
    buffer: BytesMut,
    items: Vec<Item>,
    bytes: usize,
    total: u32,
    model: Option<String>,
    /// Hashes of the items' identifiers, which must be unique because results
    /// refer to them.
    id_hashes: HashSet<u64>,
    hasher: Sha256,
}

impl Upload {
    /// Creates a parser for a job whose items are sent to `path`.
    pub fn new(path: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((path.len() as u64).to_be_bytes());
        hasher.update(path.as_bytes());
        Self {
            buffer: BytesMut::new(),
            items: Vec::new(),
            bytes: 0,
            total: 0,
            model: None,
            id_hashes: HashSet::new(),
            hasher,
        }
    }

    /// Parses the next part of the body; returns the chunks that are ready to
    /// be staged.
    pub fn push(&mut self, part: &[u8]) -> Result<Vec<Vec<Item>>> {
        self.hasher.update(part);
        self.buffer.extend_from_slice(part);
        let mut chunks = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            self.parse_line(&line)?;
            if self.items.len() >= CHUNK_ITEMS || self.bytes >= CHUNK_BYTES {
                chunks.push(self.take_chunk());
            }
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            let text = format!("item {} is over {MAX_LINE_BYTES} bytes", self.total + 1);
            return Err(Error::new(Kind::TooLarge, text));
        }
        Ok(chunks)
    }

    /// Parses the end of the body; returns the last chunk.
    pub fn finish(&mut self) -> Result<Vec<Item>> {
        let line = self.buffer.split();
        self.parse_line(&line)?;
        if self.total == 0 {
            return Err(Error::new(Kind::Invalid, "the job has no items"));
        }
        Ok(self.take_chunk())
    }

    /// Number of items parsed so far.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Model that all items name, if any.
    pub fn model(&self) -> Option<&str> {
        self.model.as_deref()
    }

    /// SHA-256 digest of path and body.
    pub fn digest(self) -> Vec<u8> {
        self.hasher.finalize().to_vec()
    }

    fn take_chunk(&mut self) -> Vec<Item> {
        self.bytes = 0;
        std::mem::take(&mut self.items)
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<()> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let number = self.total + 1;
        let line: Line = serde_json::from_slice(line)
            .map_err(|error| Error::new(Kind::Malformed, format!("item {number}: {error}")))?;
        if number > MAX_ITEMS {
            return Err(Error::new(Kind::TooLarge, format!("a job has {MAX_ITEMS} items at most")));
        }
        let model = line.body.get("model").and_then(Value::as_str);
        if self.total == 0 {
            self.model = model.map(str::to_owned);
        }
        if self.model.as_deref() != model {
            let text = format!("item {number} names another model than the first one");
            return Err(Error::new(Kind::Invalid, text));
        }
        let mut hasher = SipHasher13::new();
        hasher.write(line.custom_id.as_bytes());
        if !self.id_hashes.insert(hasher.finish()) {
            let text = format!("item {number}: custom_id {} came before", line.custom_id);
            return Err(Error::new(Kind::Invalid, text));
        }
        let body =
            Bytes::from(serde_json::to_vec(&line.body).expect("a JSON value always serializes"));
        self.bytes += body.len() + line.custom_id.len();
        self.items.push(Item { custom_id: line.custom_id, body });
        self.total = number;
        Ok(())
    }
}
