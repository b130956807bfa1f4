//! Simulates the routing of online requests in virtual time, from a seed.
//!
//! Several VMs serve callers who resend their requests, also through another
//! VM and concurrently. Upstreams crash spontaneously or because of poison
//! requests, and answer late, twice, with gaps or with another request's
//! answer. VMs crash and restart without state, and messages are delayed. The
//! decisions are made by the state machines of the daemons; the simulation
//! tracks what actually ran and checks the results against it.
//!
//! Limits of the model: only one VM is down at a time, and a crashed upstream
//! stays down for longer than `PROBE_DELAY`.

mod caller;
mod engine;
mod entry;
mod world;

use crate::error::Run;

/// Counters of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Events handled.
    pub steps: u32,
    /// Requests sent by callers, including resent ones.
    pub requests: u32,
    /// Requests answered completely.
    pub whole: u32,
    /// Errors that reported the request as not run.
    pub not_run: u32,
    /// Errors that reported the outcome as unknown.
    pub unknown: u32,
    /// Requests refused because of quarantine.
    pub quarantined: u32,
    /// Requests answered from the stored result of a claim.
    pub kept: u32,
    /// Retried attempts.
    pub retries: u32,
    /// Streams resumed on another upstream.
    pub resumes: u32,
    /// Answers and events dropped as invalid.
    pub dropped: u32,
    /// Upstream crashes.
    pub crashes: u32,
    /// VM crashes.
    pub vms_lost: u32,
    /// Maximum number of upstreams crashed by one request.
    pub most_lost: u32,
}

key! {
    /// The invariants, named by their violation.
    pub enum Rule {
        /// A caller received another request's answer.
        Crossed,
        /// A non-idempotent request ran twice.
        RanTwice,
        /// A request that ran was reported as not run.
        FalseNotRun,
        /// A token was lost, duplicated or out of order.
        Tokens,
        /// A request crashed more upstreams than allowed.
        Poison,
        /// A request was never answered.
        Unanswered,
    }
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{rule:?} at step {step}: {detail}")]
pub struct Violation {
    /// The violated invariant.
    pub rule: Rule,
    /// Number of events handled so far.
    pub step: u32,
    /// Description of the violation.
    pub detail: String,
}

/// Runs `steps` events from `seed`, then runs until all requests have ended.
///
/// # Errors
/// The first violated invariant.
///
/// # Panics
/// If a state machine's own assertion fails.
pub fn simulate(seed: u64, steps: u32) -> Result<Report, Violation> {
    world::World::new(seed).run(steps)
}

impl Report {
    fn count(&mut self, run: Run) {
        match run {
            Run::NotRun => self.not_run += 1,
            Run::Unknown => self.unknown += 1,
            Run::Ran => self.whole += 1,
        }
    }
}
