//! How often a request may be sent, and what may be said of it afterwards.
//!
//! A request on a route that isn't idempotent is sent once: a second send is
//! allowed only after the first was proved not to have left. "Not run" is said
//! only while nothing has left.

use crate::clock::Time;
use crate::error::{Error, Kind, Result, Run};
use crate::upstream::Failure;

/// Most sends of one request, whatever the budgets say.
const MAX_SENDS: u32 = 5;

/// One request's sends so far.
#[derive(Clone, Debug)]
pub struct Retry {
    idempotent: bool,
    deadline: Time,
    sends: u32,
    /// Sends that may have reached an upstream.
    left: u32,
}

impl Retry {
    /// Begins with nothing sent.
    pub fn new(idempotent: bool, deadline: Time) -> Self {
        Self { idempotent, deadline, sends: 0, left: 0 }
    }

    /// Whether any byte may have reached an upstream.
    pub fn sent(&self) -> bool {
        self.left > 0
    }

    /// Whether the request may safely run more than once.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// Fails once the deadline has passed.
    pub fn check_deadline(&self, now: Time) -> Result<()> {
        if !self.deadline.passed(now) {
            return Ok(());
        }
        let kind = if self.sent() { Kind::DeadlineExceeded } else { Kind::Overloaded };
        Err(Error::new(kind, "the deadline passed"))
    }

    /// Notes that the request is about to leave.
    pub fn start(&mut self, now: Time) -> Result<()> {
        self.check_deadline(now)?;
        assert!(self.idempotent || self.left == 0, "a second send of a non-idempotent request");
        self.sends += 1;
        self.left += 1;
        Ok(())
    }

    /// Notes how the last send failed. Fails when there may be no other;
    /// `allowed` asks the budgets, only if everything else allows one.
    pub fn failed<F>(&mut self, failure: Failure, now: Time, allowed: F) -> Result<()>
    where
        F: FnOnce() -> bool,
    {
        let (error, repeatable) = match failure {
            Failure::NotSent(error) => {
                self.left -= 1;
                (error, true)
            }
            Failure::Sent(error) => (error, self.idempotent),
        };
        let late = self.deadline.passed(now) || error.kind == Kind::DeadlineExceeded;
        if late || !repeatable || self.sends >= MAX_SENDS || !allowed() {
            return Err(self.caller_error(error));
        }
        Ok(())
    }

    /// What the caller is told instead of `error`: never "not run" once
    /// anything has left, and never an outcome that isn't known.
    pub fn caller_error(&self, error: Error) -> Error {
        let told = error.answer().run;
        let told_wrong = told == Run::NotRun && self.sent() || told == Run::Ran;
        let error = match told_wrong {
            true => Error::new(Kind::OutcomeUnknown, format!("it was sent: {}", error.detail)),
            false => error,
        };
        assert!(
            error.answer().run != Run::NotRun || self.left == 0,
            "\"not run\" is said of a request that may have run"
        );
        error
    }
}
