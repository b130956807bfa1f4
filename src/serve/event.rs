//! Decoder of event streams that checks the order of events.
//!
//! Only complete events with the next identifier are returned. A truncated,
//! repeated or missing event is an error that ends the attempt; another
//! upstream may resume after the last event that was returned.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Sequence number, from the `id` line.
    pub id: u64,
    /// The encoded event, as received.
    pub raw: Bytes,
}

impl Event {
    /// Text of the data lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.raw);
        let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
        let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
        lines.join("\n")
    }
}

/// Why a stream can't be decoded further.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Error {
    /// An event has no identifier.
    #[display("an event has no identifier")]
    MissingId,
    /// An event is not the next in order.
    #[display("event {got} came after {last}")]
    OutOfOrder {
        /// Identifier of the last event that was returned.
        last: u64,
        /// Identifier of the event that came instead.
        got: u64,
    },
    /// An event is larger than `MAX_EVENT_BYTES`.
    #[display("an event is too large")]
    TooLarge,
    /// The stream ended within an event.
    #[display("the stream ended within an event")]
    Truncated,
}

/// Incremental decoder of an event stream.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
    error: Option<Error>,
}

impl Decoder {
    /// Creates a decoder that expects the event after `last`; any event if none.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Identifier of the last event that was returned.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Bytes of memory that the partial event and what came after it take.
    pub fn held(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether a partial event takes more than `bytes`.
    pub fn has_more_than(&self, bytes: usize) -> bool {
        self.buffer.len() > bytes
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Discards a partial event and the error, for an attempt that resumes after the last
    /// complete event.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
        self.error = None;
    }

    /// Decodes the next complete event. An error persists until `restart`.
    pub fn pop(&mut self) -> Result<Option<Event>, Error> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let event = self.take();
        self.error = event.as_ref().err().cloned();
        event
    }

    fn take(&mut self) -> Result<Option<Event>, Error> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Error::TooLarge);
            }
            return Ok(None);
        };
        let raw = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = identifier(&raw).ok_or(Error::MissingId)?;
        if let Some(last) = self.last
            && last.checked_add(1) != Some(id)
        {
            return Err(Error::OutOfOrder { last, got: id });
        }
        self.last = Some(id);
        Ok(Some(Event { id, raw }))
    }

    /// Checks at the end of the stream that no partial event is left.
    pub fn finish(&self) -> Result<(), Error> {
        if self.buffer.iter().all(u8::is_ascii_whitespace) { Ok(()) } else { Err(Error::Truncated) }
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buffer[from..];
        let mut ends = (0..bytes.len()).filter_map(|at| match &bytes[at..] {
            [b'\n', b'\n', ..] => Some(at + 2),
            [b'\n', b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        });
        let end = ends.next().map(|end| from + end);
        self.scanned = self.buffer.len();
        end
    }
}

fn identifier(raw: &[u8]) -> Option<u64> {
    let line = raw.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
