//! Cuts a body into whole server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event that is kept, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes that don't make a whole event yet.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Adds bytes; false when an event grows too large.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the next whole event, with the empty line that ends it.
    pub fn take(&mut self) -> Option<Bytes> {
        let ends = [&b"\n\n"[..], b"\r\n\r\n"].into_iter().filter_map(|blank| {
            let at = self.buffer.windows(blank.len()).position(|bytes| bytes == blank)?;
            Some(at + blank.len())
        });
        let end = ends.min()?;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Whether all bytes were taken.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
