//! Error kinds and their HTTP responses.
//!
//! Each error that a caller or operator can receive has a `Kind`. The `table`
//! maps it to a status, a title and whether the request may have run.

mod kind;
mod problem;
mod table;

pub use kind::Kind;
pub use problem::Problem;
pub use table::{Answer, Run};

use std::time::Duration;

/// An error of one kind, with a description for the user.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
#[display("{detail}")]
pub struct Error {
    /// Kind of the error.
    pub kind: Kind,
    /// Description in the user's terms.
    pub detail: String,
    /// Recommended delay before a retry.
    pub retry_after: Option<Duration>,
}

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error of `kind`.
    pub fn new<S>(kind: Kind, detail: S) -> Self
    where
        S: Into<String>,
    {
        Self { kind, detail: detail.into(), retry_after: None }
    }

    /// Sets the recommended delay before a retry.
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the answer for this error's kind.
    pub fn answer(&self) -> &'static Answer {
        self.kind.answer()
    }
}
