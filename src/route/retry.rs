//! Retry rules of a request, and which error the caller may receive afterwards.
//!
//! A request on a route that isn't idempotent is sent once; another attempt is
//! allowed only if the first one provably never left this process. The
//! caller is told that the request was not run only while no attempt may have been sent.

use crate::clock::Time;
use crate::error::{Error, Kind, Result, Run};
use crate::upstream::Failure;

/// Maximum number of attempts per request, independent of the retry budgets.
const MAX_ATTEMPTS: u32 = 5;

/// Attempts of one request so far.
#[derive(Clone, Debug)]
pub struct Retry {
    idempotent: bool,
    deadline: Time,
    attempts: u32,
    /// Attempts that may have reached an upstream.
    possibly_sent: u32,
}

impl Retry {
    /// Creates the state of a request that has not been sent.
    pub fn new(idempotent: bool, deadline: Time) -> Self {
        Self { idempotent, deadline, attempts: 0, possibly_sent: 0 }
    }

    /// Whether any byte of the request may have reached an upstream.
    pub fn sent(&self) -> bool {
        self.possibly_sent > 0
    }

    /// Whether the request may be executed more than once.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// Returns an error once the deadline has passed.
    pub fn check_deadline(&self, now: Time) -> Result<()> {
        if !self.deadline.passed(now) {
            return Ok(());
        }
        let kind = if self.sent() { Kind::DeadlineExceeded } else { Kind::Overloaded };
        Err(Error::new(kind, "the deadline passed"))
    }

    /// Records that an attempt is about to be sent.
    pub fn start(&mut self, now: Time) -> Result<()> {
        self.check_deadline(now)?;
        assert!(
            self.idempotent || self.possibly_sent == 0,
            "a non-idempotent request must not be sent twice"
        );
        self.attempts += 1;
        self.possibly_sent += 1;
        Ok(())
    }

    /// Records how the last attempt failed. Returns the error for the caller if
    /// no further attempt is permitted; `allowed` withdraws from the retry
    /// budgets and is called only if all other conditions permit a retry.
    pub fn failed<F>(&mut self, failure: Failure, now: Time, allowed: F) -> Result<()>
    where
        F: FnOnce() -> bool,
    {
        let (error, retryable) = match failure {
            Failure::NotSent(error) => {
                self.possibly_sent -= 1;
                (error, true)
            }
            Failure::Sent(error) => (error, self.idempotent),
        };
        let expired = self.deadline.passed(now) || error.kind == Kind::DeadlineExceeded;
        if expired || !retryable || self.attempts >= MAX_ATTEMPTS || !allowed() {
            return Err(self.caller_error(error));
        }
        Ok(())
    }

    /// Maps `error` to the error that the caller receives. It never says "not run" once an
    /// attempt may have been sent, and never states an outcome that isn't known.
    pub fn caller_error(&self, error: Error) -> Error {
        let run = error.answer().run;
        let misleading = run == Run::NotRun && self.sent() || run == Run::Ran;
        let error = match misleading {
            true => Error::new(Kind::OutcomeUnknown, format!("it was sent: {}", error.detail)),
            false => error,
        };
        assert!(
            error.answer().run != Run::NotRun || self.possibly_sent == 0,
            "a request that may have run must not be reported as not run"
        );
        error
    }
}
