//! The closed list of error kinds and the answer each one gives.
//!
//! Every refusal a caller or operator can see is one `Kind`. The `table`
//! decides status, title and what is known about the request's run.

mod kind;
mod problem;
mod table;

pub use kind::Kind;
pub use problem::Problem;
pub use table::{Answer, Run};

use std::time::Duration;

/// An error of one kind, with a sentence for the person who meets it.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
#[display("{detail}")]
pub struct Error {
    /// Which entry of the closed list.
    pub kind: Kind,
    /// What happened, in the user's words.
    pub detail: String,
    /// How long the caller should wait before it tries again.
    pub retry_after: Option<Duration>,
}

/// Shorthand for results of this library.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Makes an error of `kind`.
    pub fn new<S>(kind: Kind, detail: S) -> Self
    where
        S: Into<String>,
    {
        Self { kind, detail: detail.into(), retry_after: None }
    }

    /// Says when to come back.
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The answer for this error's kind.
    pub fn answer(&self) -> &'static Answer {
        self.kind.answer()
    }
}
