//! Deterministic simulations in virtual time.
//!
//! Each run drives the state machines of the daemons from a seed, with lost,
//! delayed and duplicated messages, pauses and restarts, and checks their
//! invariants. The same seed reproduces the same run.

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

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("seed {seed}, step {step}: {detail}")]
pub struct Violation {
    /// Seed of the run.
    pub seed: u64,
    /// Step at which the violation was detected.
    pub step: u64,
    /// Description of the violation.
    pub detail: String,
}
