//! Filter chain for callers' requests.
//!
//! The order is parse → authenticate → route → quarantine → rate → claim → queue → send → relay.
//! Each filter extends the `Exchange` or rejects it. After a rejection, the filters that were
//! already applied undo their effects in reverse order.

mod authenticate;
mod chain;
mod claim;
mod exchange;
mod parse;
mod prompt;
mod quarantine;
mod queue;
mod rate;
mod relay;
mod request;
mod route;
mod send;

pub use authenticate::authenticate;
pub use chain::{Chain, Services};
pub use exchange::{Exchange, Reply};
pub use parse::{IDEMPOTENCY_KEY, REQUEST_ID};
pub use prompt::Prompt;
pub use request::Request;

use futures_util::future::{LocalBoxFuture, ready};

use crate::error::{Error, Result};

/// A filter of the chain.
pub trait Filter {
    /// Processes the request, or rejects it with an error.
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>>;

    /// Reverts the effects of `apply` after a later filter failed with `error`.
    fn undo<'a>(&'a self, exchange: &'a Exchange, error: &'a Error) -> LocalBoxFuture<'a, ()> {
        let _ = (exchange, error);
        Box::pin(ready(()))
    }
}
