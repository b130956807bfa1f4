//! The chain that every caller's request passes.
//!
//! parse → identify → route → quarantine → rate → claim → queue → send →
//! relay. Each filter reads and extends the `Exchange` or refuses it. When one
//! refuses, those before it undo what they took, in reverse order.

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

/// One step of the chain.
pub trait Filter {
    /// Lets the request pass, extended, or refuses it.
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>>;

    /// Takes back what `apply` took, because a later filter refused.
    fn undo<'a>(&'a self, exchange: &'a Exchange, error: &'a Error) -> LocalBoxFuture<'a, ()> {
        let _ = (exchange, error);
        Box::pin(ready(()))
    }
}
