//! What applying a record led to.

use super::record::Attempt;

/// The answer to whoever asked for a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It holds.
    Done,
    /// The job exists; it was made by this record or by an earlier one.
    Accepted {
        /// Whether this record made it.
        created: bool,
        /// Items in the job.
        total: u32,
    },
    /// The same name stands for another body.
    Conflict,
    /// The upload isn't whole.
    Incomplete,
    /// No such job or claim.
    NotFound,
    /// The worker may run these.
    Leased(Vec<Grant>),
    /// Nobody claimed it before.
    Granted,
    /// Claimed by another; whether it ran isn't known.
    Claimed,
    /// Its answer stands in this record.
    Finished(u64),
}

/// An item that a worker may run once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The attempt.
    pub attempt: Attempt,
    /// Record that holds the item.
    pub record: u64,
    /// Place in that record.
    pub index: u32,
}
