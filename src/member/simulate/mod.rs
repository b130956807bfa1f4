//! Seeded random runs of many machines on a virtual clock.
//!
//! Operators race, replies are lost after a write took effect, the platform is
//! down or slow for long, leases lapse while their holder is frozen, VMs are
//! cut off alone or by data centre, restarted and replaced. After every step
//! the promises about accepted changes are checked.

mod check;
mod faults;
mod node;
mod service;
mod slopes;
mod world;

pub use slopes::{Slope, slope};
pub use world::Options;

use world::World;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
#[display("seed {seed}, step {step}: {detail}\n{}", history.join("\n"))]
pub struct Violation {
    /// Seed of the run.
    pub seed: u64,
    /// Step at which it was seen.
    pub step: u32,
    /// Which promise, and where.
    pub detail: String,
    /// The last things that happened.
    pub history: Vec<String>,
}

/// What a run did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Steps of 50 ms.
    pub steps: u32,
    /// Writes answered as accepted.
    pub accepted: u32,
    /// Writes answered as stored, not yet in force.
    pub stored: u32,
    /// Writes refused because the platform couldn't be reached, certainly not
    /// applied.
    pub refused: u32,
    /// Writes refused because another came first or nothing was there.
    pub conflicts: u32,
    /// Writes whose outcome was answered as unknown.
    pub unknown: u32,
    /// Faults injected.
    pub faults: u32,
    /// VM-steps in contact.
    pub in_contact: u64,
    /// VM-steps out of contact.
    pub out_of_contact: u64,
    /// Longest time from acceptance until every VM in contact held a change,
    /// in milliseconds.
    pub longest_spread_ms: u64,
    /// VM-steps in contact while the platform was down.
    pub in_contact_in_outage: u64,
}

/// Runs the `config` random run.
pub fn simulate(seed: u64, steps: u32) -> Result<Report, Violation> {
    World::new(seed, Options::default()).run(steps)
}

/// Runs with a choice of fleet and faults.
pub fn simulate_with(seed: u64, steps: u32, options: Options) -> Result<Report, Violation> {
    World::new(seed, options).run(steps)
}
