//! Batch jobs: upload, dispatch, results, cancellation, and claims.
//!
//! `State` is what follows from a segment's committed records: uploads, jobs,
//! items and claims. It is the same at every replica. `Leases` is what only
//! the primary knows, and forgets. `Limiter` decides how much batch work an
//! upstream may run beside online requests. `Client` finds the segment of a
//! job and its primary; `Worker` runs items on an entry VM.

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
