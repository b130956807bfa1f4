//! Batch jobs: upload, dispatch, results, cancellation, and claims.
//!
//! `State` is what follows from a segment's committed records: uploads, jobs,
//! items and claims. It is the same at every replica. `Leases` is what only
//! the primary knows, and forgets. `Dispatch` decides how much batch work an
//! upstream may run beside online requests. `Client` finds the segment of a
//! job and its primary; `Worker` runs items on an entry VM.

pub mod record;

mod claimant;
mod claims;
mod client;
mod dispatch;
mod job;
mod lease;
mod outcome;
mod rendezvous;
mod run;
mod simulate;
mod state;
mod upload;
mod worker;
mod yielding;

pub use claimant::Claimant;
pub use client::Client;
pub use dispatch::{Dispatch, Limits, Online};
pub use job::{Job, JobId, Phase, Progress, Slot, Verdict};
pub use lease::{LEASE, Leases, Renewal, Renewed, START_WINDOW};
pub use outcome::{Grant, Outcome};
pub use rendezvous::dispatcher;
pub use simulate::{Report as JobsReport, Violation as JobsViolation, simulate};
pub use state::{RETENTION_MS, State};
pub use upload::{MAX_ITEMS, Upload};
pub use worker::{Worker, start, start_with};
pub use yielding::{Comparison, Figures, compare};
