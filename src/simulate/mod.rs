//! Seeded random runs of the decisions, in virtual time.
//!
//! Each run drives the machines that the daemons run, under lost, late and
//! doubled messages, pauses and restarts, and checks what must always hold.
//! The same seed gives the same run.

pub mod capacity;
mod conformance;
pub mod latency;
pub mod orders;
pub mod rates;
pub mod refusals;
pub mod rollout;
mod timeline;

pub use conformance::Conformance;
pub use timeline::Timeline;

/// Something that must never happen did.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("seed {seed}, step {step}: {detail}")]
pub struct Violation {
    /// Seed of the run.
    pub seed: u64,
    /// Step at which it was seen.
    pub step: u64,
    /// What was seen.
    pub detail: String,
}
