//! Batch jobs: upload, dispatch, results, cancellation, and claims.
//!
//! `State` is the replicated state machine of a segment: uploads, jobs, items
//! and claims, derived from its committed records alone. `Leases` holds the
//! lease timers, which exist only in the primary's memory. `Limiter` bounds
//! the batch work of an upstream beside its online requests. `Client` finds
//! the primary of a segment and sends requests to it; `Worker` runs items on
//! an entry VM.

pub mod record;

mod claimant;
mod claims;
mod client;
mod job;
mod lease;
mod limiter;
mod outcome;
mod preemption;
mod rendezvous;
mod run;
mod simulate;
mod state;
mod upload;
mod worker;

pub use claimant::Claimant;
pub use client::Client;
pub use job::{ItemResult, ItemStatus, Job, JobId, Phase, Progress};
pub use lease::{LEASE_DURATION, Leases, Reconciliation, Renewal, START_WINDOW};
pub use limiter::{Limiter, Limits, OnlineLoad};
pub use outcome::{Grant, Outcome};
pub use preemption::{Comparison, Stats, compare};
pub use rendezvous::dispatcher;
pub use simulate::{Report as JobsReport, Violation as JobsViolation, simulate};
pub use state::{RETENTION_MS, State};
pub use upload::{MAX_ITEMS, Upload};
pub use worker::{Worker, start, start_with};
