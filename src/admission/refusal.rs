//! Errors for rejected requests, each with a realistic retry delay.

use std::time::Duration;

use crate::clock::Time;
use crate::error::{Error, Kind};
use crate::id::Organisation;

/// Retry delay when no better estimate is known.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// The organisation has no token before `next`.
pub fn rate_exceeded(organisation: &Organisation, now: Time, next: Time) -> Error {
    let span = if next == Time::NEVER { DEFAULT_RETRY } else { now.until(next) };
    Error::new(Kind::RateExceeded, format!("{organisation} has used up its rate and burst"))
        .retry_after(span)
}

/// This VM can't confirm its share table, so it may not spend its slices.
pub fn out_of_contact() -> Error {
    Error::new(Kind::OutOfContact, "this VM can't confirm its configuration; try another one")
        .retry_after(DEFAULT_RETRY)
}

/// No slot becomes free before the deadline; one is expected after `wait`.
pub fn overloaded(wait: Duration) -> Error {
    Error::new(Kind::Overloaded, "no upstream is free before the request's deadline")
        .retry_after(wait.max(Duration::from_millis(1)))
}

/// No live upstream serves the target.
pub fn no_upstream() -> Error {
    Error::new(Kind::NoUpstream, "no upstream serves this at present").retry_after(DEFAULT_RETRY)
}
