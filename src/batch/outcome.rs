//! Outcome of applying a record.

use super::record::Attempt;

/// Outcome of a record, for the caller that proposed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record was applied.
    Done,
    /// The job exists, created by this record or by an earlier one.
    Accepted {
        /// Whether this record created the job.
        created: bool,
        /// Number of items in the job.
        total: u32,
    },
    /// The name or key is already used for a different body.
    Conflict,
    /// Items of the upload are missing.
    Incomplete,
    /// The job or claim does not exist.
    NotFound,
    /// Items that the worker may run.
    Leased(Vec<Grant>),
    /// The claim is granted: no other claimant holds it.
    Granted,
    /// Another claimant holds the claim; whether the request ran is unknown.
    Claimed,
    /// The request has run; the record of this sequence number holds its answer.
    Finished(u64),
}

/// Permission for a worker to run an item once, with the item's location.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Attempt that the item is leased for.
    pub attempt: Attempt,
    /// Sequence number of the record that holds the item.
    pub record: u64,
    /// Index of the item within that record.
    pub index: u32,
}
