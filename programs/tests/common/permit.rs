//! Keeps the number of fleets that run at once within the machine.

use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets that may run at once.
const MAX_FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// Leave to run one fleet; dropping it lets the next one start.
pub struct Permit(());

impl Permit {
    /// Waits for leave.
    pub fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| *running >= MAX_FLEETS;
        let mut running =
            RELEASED.wait_while(running, full).unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RELEASED.notify_one();
    }
}
