//! The refusals that admission gives, each with a true time to come back.

use std::time::Duration;

use crate::clock::Time;
use crate::error::{Error, Kind};
use crate::id::Organisation;

/// When to come back if nothing tells better.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// The organisation's tokens are used up until `next`.
pub fn rate_exceeded(organisation: &Organisation, now: Time, next: Time) -> Error {
    let span = if next == Time::NEVER { DEFAULT_RETRY } else { now.until(next) };
    Error::new(Kind::RateExceeded, format!("{organisation} has used up its rate and burst"))
        .retry_after(span)
}

/// This VM can't confirm its share.
pub fn out_of_contact() -> Error {
    Error::new(Kind::OutOfContact, "this VM can't confirm its configuration; try another one")
        .retry_after(DEFAULT_RETRY)
}

/// No slot comes before the deadline.
pub fn overloaded(wait: Duration) -> Error {
    Error::new(Kind::Overloaded, "no upstream is free before the request's deadline")
        .retry_after(wait.max(Duration::from_millis(1)))
}

/// Nothing serves the target.
pub fn no_upstream() -> Error {
    Error::new(Kind::NoUpstream, "no upstream serves this at present").retry_after(DEFAULT_RETRY)
}
