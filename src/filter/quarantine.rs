//! Refuses requests that have crashed upstreams before.

use futures_util::future::LocalBoxFuture;

use super::{Exchange, Filter};
use crate::error::Result;

/// Meets quarantined requests.
pub struct Quarantine;

impl Filter for Quarantine {
    fn apply<'a>(&'a self, _: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async { Ok(()) })
    }
}
