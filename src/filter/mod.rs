//! The chain that every caller's request passes.
//!
//! parse → identify → route → quarantine → rate → claim → queue → send →
//! relay. Each filter reads and extends the `Exchange` or refuses it. When one
//! refuses, those before it undo what they took, in reverse order.

mod arrival;
mod chain;
mod claim;
mod exchange;
mod identify;
mod parse;
mod prompt;
mod quarantine;
mod queue;
mod rate;
mod relay;
mod route;
mod send;

pub use arrival::Arrival;
pub use chain::{Chain, Services};
pub use exchange::{Exchange, Reply};
pub use identify::check;
pub use parse::{IDEMPOTENCY_KEY, REQUEST_ID};
pub use prompt::Prompt;

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
