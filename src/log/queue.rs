//! Queue of log lines to be written, bounded in bytes.
//!
//! A separate thread writes the lines in batches, so that logging a line takes
//! neither a system call nor a context switch. When the queue is full, lines
//! are dropped and counted; logging never blocks on the reader.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::event::Event;

/// Capacity of the queue and maximum size of a write, in bytes.
pub const MAX_BYTES: usize = 512 << 10;
/// Part of it that is kept for the report of dropped lines, in bytes.
const REPORT_BYTES: usize = 256;
/// Time for which lines are batched before a write.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    dropped: u64,
    closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for lines and takes them; returns none once the queue is closed and empty.
    fn take(&self) -> Option<Vec<u8>> {
        let mut state = self.lock();
        while state.lines.is_empty() && !state.closed {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        if !state.closed {
            drop(state);
            thread::sleep(BATCH_INTERVAL);
            state = self.lock();
        }
        let mut lines = std::mem::take(&mut state.lines);
        let dropped = std::mem::take(&mut state.dropped);
        drop(state);
        if dropped > 0 {
            let (event, text) = (Event::LogLinesDropped.number(), Event::LogLinesDropped.text());
            let report = serde_json::json!({ "event": event, "msg": text, "lines": dropped });
            lines.extend_from_slice(format!("{report}\n").as_bytes());
        }
        (!lines.is_empty()).then_some(lines)
    }
}

/// Sending end of the queue. Dropping it writes the remaining lines.
pub struct Queue {
    shared: Arc<Shared>,
    line: Vec<u8>,
    thread: Option<JoinHandle<()>>,
}

impl Queue {
    /// Starts the writer thread.
    pub fn start<W>(mut writer: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let shared = Arc::<Shared>::default();
        let consumer = shared.clone();
        let thread = thread::spawn(move || {
            while let Some(lines) = consumer.take() {
                // A failure to write the log can't be reported anywhere.
                let _ = writer.write_all(&lines).and_then(|()| writer.flush());
            }
        });
        Self { shared, line: Vec::new(), thread: Some(thread) }
    }

    fn push(&mut self) {
        let mut state = self.shared.lock();
        if state.lines.len() + self.line.len() > MAX_BYTES - REPORT_BYTES {
            state.dropped += 1;
            drop(state);
            self.line.clear();
            metrics::counter!("log_lines_dropped_total").increment(1);
            return;
        }
        let was_empty = state.lines.is_empty();
        state.lines.append(&mut self.line);
        drop(state);
        if was_empty {
            self.shared.changed.notify_one();
        }
    }
}

impl Write for Queue {
    /// Appends a part of a line, which ends with a line feed.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.last() == Some(&b'\n') {
            self.push();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            // The join fails only if the writer panicked, which has printed a message.
            let _ = thread.join();
        }
    }
}
