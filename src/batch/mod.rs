//! Batch jobs: upload, dispatch, results, cancellation, and claims.
//!
//! `State` is what follows from a segment's committed records: uploads, jobs,
//! items and claims. It is the same at every replica. `Leases` is what only
//! the primary knows, and forgets. `Dispatch` decides how much batch work an
//! upstream may run beside online requests. `Client` finds the segment of a
//! job and its primary; `Worker` runs items on an entry VM.

pub mod record;

mod claims;
mod job;
mod lease;
mod outcome;
mod state;

pub use job::{Job, JobId, Phase, Progress, Slot, Verdict};
pub use lease::{LEASE, Leases, START_WINDOW};
pub use outcome::{Grant, Outcome};
pub use state::{RETENTION_MS, State};
