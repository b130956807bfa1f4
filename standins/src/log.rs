//! A log sink in memory whose writes can be made to block.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    blocked: bool,
}

/// In-memory writer; clones share the same content.
#[derive(Clone, Debug, Default)]
pub struct Buffer(Arc<(Mutex<State>, Condvar)>);

impl Buffer {
    /// Creates a buffer whose writes block until `release` is called.
    pub fn blocked() -> Self {
        let state = State { blocked: true, ..State::default() };
        Self(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Unblocks current and later writes.
    pub fn release(&self) {
        self.lock().blocked = false;
        self.0.1.notify_all();
    }

    /// Returns everything written so far.
    pub fn text(&self) -> String {
        String::from_utf8(self.lock().bytes.clone()).expect("log output is valid UTF-8")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().expect("the lock isn't poisoned")
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        while state.blocked {
            state = self.0.1.wait(state).expect("the lock isn't poisoned");
        }
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
