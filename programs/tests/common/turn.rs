//! Keeps the number of fleets that run at once within the machine.

use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets that may run at once.
const MOST: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Leave to run one fleet; dropping it lets the next one start.
pub struct Turn(());

impl Turn {
    /// Waits for leave.
    pub fn wait() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| *running >= MOST;
        let mut running = ENDED.wait_while(running, full).unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self(())
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
