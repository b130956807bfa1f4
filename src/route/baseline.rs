//! Baseline strategies that benchmarks compare `Balancer` with.

use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::admission::{Pick, Ticket};
use crate::clock::Time;
use crate::id::Upstream;

/// Chooses uniformly at random among the upstreams with free slots.
#[derive(Debug)]
pub struct Random {
    rng: Mutex<ChaCha8Rng>,
}

impl Random {
    /// Creates a strategy whose random generator is seeded with `seed`.
    pub fn new(seed: u64) -> Self {
        Self { rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)) }
    }
}

impl Pick for Random {
    fn pick(&self, _: &Ticket, free: &[Upstream], _: Time) -> Option<Upstream> {
        if free.is_empty() {
            return None;
        }
        let index = self.rng.lock().random_range(0..free.len());
        Some(free[index].clone())
    }
}

/// Chooses the upstreams with free slots in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Pick for RoundRobin {
    fn pick(&self, _: &Ticket, free: &[Upstream], _: Time) -> Option<Upstream> {
        if free.is_empty() {
            return None;
        }
        let index = self.next.fetch_add(1, Ordering::Relaxed) % free.len();
        Some(free[index].clone())
    }
}
