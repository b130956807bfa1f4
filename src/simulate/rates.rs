//! Random runs of conserved shares: no organisation ever exceeds its rate and
//! burst over all VMs together, whatever is lost, paused or restarted.

mod world;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Violation;
use world::World;

/// What a run did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that were granted a token.
    pub granted: u64,
    /// Requests refused for want of a token.
    pub refused: u64,
    /// Requests refused by a VM whose share wasn't confirmed.
    pub unconfirmed: u64,
    /// Grants that were given back.
    pub given_back: u64,
    /// Loans.
    pub lent: u64,
    /// Tables that settled.
    pub settled: u64,
    /// Restarts of VMs.
    pub restarts: u64,
    /// Virtual time that passed, in milliseconds.
    pub virtual_ms: u64,
}

/// Runs `steps` events from `seed`.
pub fn simulate(seed: u64, steps: u64) -> Result<Report, Violation> {
    let mut world = World::new(ChaCha8Rng::seed_from_u64(seed));
    for step in 0..steps {
        world.step().map_err(|detail| Violation { seed, step, detail })?;
    }
    Ok(world.finish())
}
