//! Splits a body into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Incremental decoder of server-sent events; buffers an incomplete event.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Adds bytes; returns false if the buffered event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes the next complete event, including the blank line that ends it.
    pub fn take(&mut self) -> Option<Bytes> {
        let ends = [&b"\n\n"[..], b"\r\n\r\n"].into_iter().filter_map(|blank| {
            let at = self.buffer.windows(blank.len()).position(|bytes| bytes == blank)?;
            Some(at + blank.len())
        });
        let end = ends.min()?;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
