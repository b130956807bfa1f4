//! A reader of log lines, which may be blocked.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    blocked: bool,
}

/// What was written so far; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Buffer(Arc<(Mutex<State>, Condvar)>);

impl Buffer {
    /// Takes nothing until it is released.
    pub fn blocked() -> Self {
        let state = State { blocked: true, ..State::default() };
        Self(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Takes everything from now on.
    pub fn release(&self) {
        self.lock().blocked = false;
        self.0.1.notify_all();
    }

    /// Everything that was taken.
    pub fn text(&self) -> String {
        String::from_utf8(self.lock().bytes.clone()).expect("lines are text")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().expect("not poisoned")
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        while state.blocked {
            state = self.0.1.wait(state).expect("not poisoned");
        }
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
