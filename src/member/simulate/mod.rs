//! Simulates a fleet of membership state machines in virtual time, from a seed.
//!
//! Operators write concurrently, replies are lost after a write took effect,
//! the platform has long outages and slowdowns, leases expire while their
//! holder is paused, and VMs are partitioned alone or by data centre, restarted
//! and replaced. The guarantees about accepted changes are checked after every
//! step.

mod check;
mod faults;
mod node;
mod service;
mod slopes;
mod world;

pub use slopes::{Slope, slope};
pub use world::Options;

use world::World;

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
#[display("seed {seed}, step {step}: {detail}\n{}", history.join("\n"))]
pub struct Violation {
    /// Seed of the run.
    pub seed: u64,
    /// Step at which the violation was detected.
    pub step: u32,
    /// Which guarantee was violated, and where.
    pub detail: String,
    /// The most recent events before the violation.
    pub history: Vec<String>,
}

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Steps of 50 ms each.
    pub steps: u32,
    /// Writes reported as accepted.
    pub accepted: u32,
    /// Writes reported as stored but not yet in force.
    pub stored: u32,
    /// Writes refused because the platform was unreachable; they were not
    /// applied.
    pub refused: u32,
    /// Writes refused because of a version conflict or a missing resource.
    pub conflicts: u32,
    /// Writes reported with an unknown outcome.
    pub unknown: u32,
    /// Faults injected.
    pub faults: u32,
    /// Sum over steps of the VMs in contact.
    pub in_contact: u64,
    /// Sum over steps of the VMs out of contact.
    pub out_of_contact: u64,
    /// Longest time from acceptance of a change until every VM in contact had
    /// it, in milliseconds.
    pub longest_spread_ms: u64,
    /// Sum over steps of the VMs in contact while the platform was down.
    pub in_contact_in_outage: u64,
}

/// Runs `steps` steps from `seed` with the default options.
pub fn simulate(seed: u64, steps: u32) -> Result<Report, Violation> {
    World::new(seed, Options::default()).run(steps)
}

/// Runs `steps` steps from `seed` with the given fleet and faults.
pub fn simulate_with(seed: u64, steps: u32, options: Options) -> Result<Report, Violation> {
    World::new(seed, options).run(steps)
}
