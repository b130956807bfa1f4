//! Limits how many fleets run at once, so that they don't overload the machine.

use std::sync::{Condvar, Mutex, PoisonError};

/// Number of fleets that may run at once.
const MAX_FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// Permit to run one fleet. Dropping it lets the next fleet start.
pub struct Permit(());

impl Permit {
    /// Waits until fewer than `MAX_FLEETS` fleets are running.
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
