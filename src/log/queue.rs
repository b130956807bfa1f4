//! Lines that wait to be written, bounded in bytes.
//!
//! A thread of its own writes them, many at once, so that a line costs neither
//! a system call nor a switch of threads. Lines that find the queue full are
//! dropped and counted; nothing waits for the reader.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::event::Event;

/// Most bytes that wait.
pub const MAX_BYTES: usize = 512 << 10;
/// Time for which lines are collected before they are written.
const COLLECT: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    dropped: u64,
    ended: bool,
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

    /// Waits for lines and takes them; none once the queue has ended.
    fn take(&self) -> Option<Vec<u8>> {
        let mut state = self.lock();
        while state.lines.is_empty() && !state.ended {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        if !state.ended {
            drop(state);
            thread::sleep(COLLECT);
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

/// The end at which lines are put in. Dropping it writes what is left.
pub struct Queue {
    shared: Arc<Shared>,
    line: Vec<u8>,
    thread: Option<JoinHandle<()>>,
}

impl Queue {
    /// Starts the thread that writes.
    pub fn start<W>(mut writer: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let shared = Arc::<Shared>::default();
        let taking = shared.clone();
        let thread = thread::spawn(move || {
            while let Some(lines) = taking.take() {
                // Nobody is left to be told that the log can't be written.
                let _ = writer.write_all(&lines).and_then(|()| writer.flush());
            }
        });
        Self { shared, line: Vec::new(), thread: Some(thread) }
    }

    fn push(&mut self) {
        let mut state = self.shared.lock();
        if state.lines.len() + self.line.len() > MAX_BYTES {
            state.dropped += 1;
            drop(state);
            self.line.clear();
            metrics::counter!("log_lines_dropped_total").increment(1);
            return;
        }
        let wakes = state.lines.is_empty();
        state.lines.append(&mut self.line);
        drop(state);
        if wakes {
            self.shared.changed.notify_one();
        }
    }
}

impl Write for Queue {
    /// Takes a piece of a line; its line feed ends it.
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(piece);
        if piece.last() == Some(&b'\n') {
            self.push();
        }
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        self.shared.lock().ended = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            // It only ends early if the writer panics, which its own output shows.
            let _ = thread.join();
        }
    }
}
