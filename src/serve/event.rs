//! Events of a stream, checked for order.
//!
//! Only whole events with the next identifier pass. A piece that was cut, an
//! event that comes twice or one that is missing ends the attempt; another
//! upstream may go on from the last event that passed.

use bytes::{Bytes, BytesMut};

/// Largest event that is read, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its identifier.
    pub id: u64,
    /// Its bytes, as they came.
    pub raw: Bytes,
}

impl Event {
    /// The text of its data lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.raw);
        let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
        let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
        lines.join("\n")
    }
}

/// Why a stream can't go on.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Error {
    /// An event without an identifier.
    #[display("an event has no identifier")]
    MissingId,
    /// Not the next event.
    #[display("event {got} came after {last}")]
    OutOfOrder {
        /// The last event that passed.
        last: u64,
        /// The event that came.
        got: u64,
    },
    /// An event larger than `MAX_EVENT_BYTES`.
    #[display("an event is too large")]
    TooLarge,
    /// The stream ended within an event.
    #[display("the stream ended within an event")]
    Truncated,
}

/// Splits a stream into events and checks their order.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
    fault: Option<Error>,
}

impl Decoder {
    /// Begins after the event `last`, if one is already there.
    pub fn new(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// The last event that passed.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Forgets a half event: another attempt begins after the last whole one.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
        self.fault = None;
    }

    /// Takes the next whole event. A fault stands until `restart`.
    pub fn pop(&mut self) -> Result<Option<Event>, Error> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        let event = self.take();
        self.fault = event.as_ref().err().cloned();
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
            && id != last + 1
        {
            return Err(Error::OutOfOrder { last, got: id });
        }
        self.last = Some(id);
        Ok(Some(Event { id, raw }))
    }

    /// Checks that nothing is left when the stream has ended.
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
