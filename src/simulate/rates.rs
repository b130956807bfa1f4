//! Simulates distributed rate limiting: no organisation exceeds its rate and
//! burst across all VMs, whichever messages are lost and whichever VMs pause
//! or restart.

mod world;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Violation;
use world::World;

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that were granted a token.
    pub granted: u64,
    /// Requests refused because no token was available.
    pub refused: u64,
    /// Requests refused by a VM whose share was not confirmed.
    pub unconfirmed: u64,
    /// Grants that were refunded.
    pub given_back: u64,
    /// Loans granted by lenders.
    pub lent: u64,
    /// Epoch of the last published table.
    pub settled: u64,
    /// VM restarts.
    pub restarts: u64,
    /// Virtual time at the end of the run, in milliseconds.
    pub virtual_ms: u64,
}

/// Runs `steps` events with a generator seeded by `seed`.
pub fn simulate(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut world = World::new(ChaCha8Rng::seed_from_u64(seed));
    for step in 0..steps {
        world.step().map_err(|detail| Violation { seed, step, detail })?;
    }
    Ok(world.finish())
}
