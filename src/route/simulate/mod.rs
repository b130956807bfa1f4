//! A seeded random run of the online path's decisions.
//!
//! Several VMs serve callers who send their requests again, also through
//! another VM and at the same time. Upstreams crash by themselves and by
//! poison requests, answer late, twice, with gaps or with another request's
//! answer; VMs are lost and come back knowing nothing; messages take their
//! time. What the program decides is the same code as in the daemons; the
//! world around it knows what truly ran and compares.
//!
//! Bounds of the world: one VM is down at a time, and a crashed upstream
//! stays down for longer than `PROBE_DELAY`.

mod caller;
mod engine;
mod entry;
mod world;

use crate::error::Run;

/// What a run counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Events handled.
    pub steps: u32,
    /// Requests that callers sent, resent ones included.
    pub requests: u32,
    /// Whole answers.
    pub whole: u32,
    /// Refusals that say "not run".
    pub not_run: u32,
    /// Errors that say "unknown".
    pub unknown: u32,
    /// Final answers to quarantined requests.
    pub quarantined: u32,
    /// Answers that a kept claim gave.
    pub kept: u32,
    /// Sends after the first.
    pub retries: u32,
    /// Streams that went on elsewhere.
    pub resumes: u32,
    /// Answers and events that were dropped as wrong.
    pub dropped: u32,
    /// Upstreams that crashed.
    pub crashes: u32,
    /// VMs that were lost.
    pub vms_lost: u32,
    /// Most upstreams lost to one request.
    pub most_lost: u32,
}

key! {
    /// What must never happen.
    pub enum Rule {
        /// A caller got another request's answer.
        Crossed,
        /// A request that isn't idempotent ran twice.
        RanTwice,
        /// "Not run" was said of a request that ran.
        FalseNotRun,
        /// A token was lost, doubled or out of order.
        Tokens,
        /// A request cost more upstreams than allowed.
        Poison,
        /// A request was never answered.
        Unanswered,
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{rule:?} at step {step}: {detail}")]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// Events handled before.
    pub step: u32,
    /// What was seen.
    pub detail: String,
}

/// Runs `steps` events from `seed`, then lets all requests end.
///
/// # Errors
/// The first broken rule.
///
/// # Panics
/// When a decision breaks an invariant that it asserts itself.
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
