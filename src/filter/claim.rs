//! Claims requests that must run at most once.
//!
//! On a route that isn't idempotent, the claim on the caller's `Idempotency-Key` is committed
//! before the request is sent. A retry by the caller through any VM finds the claim and gets the
//! first answer, or "unknown", but never a second run.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use sha2::{Digest as _, Sha256};

use super::{Exchange, Filter, Reply, Services};
use crate::claim::{self, Claims, Key};
use crate::error::{Error, Kind, Result};

/// Filter that claims requests by their idempotency key.
pub struct Claim {
    services: Rc<Services>,
}

impl Claim {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }

    async fn claim(&self, exchange: &mut Exchange) -> Result<()> {
        if exchange.route()?.idempotent {
            return Ok(());
        }
        let Some(key) = key_of(exchange) else { return Ok(()) };
        let claims = self.claims()?;
        match claims.claim(key.clone()).await? {
            claim::Claim::Granted => exchange.claim = Some(key),
            claim::Claim::Finished(answer) => exchange.reply = Some(Reply::Whole(answer)),
            claim::Claim::Claimed => {
                return Err(Error::new(
                    Kind::InProgress,
                    "a request with this idempotency key was taken before; it may have run",
                ));
            }
        }
        Ok(())
    }

    fn claims(&self) -> Result<&Rc<dyn Claims>> {
        let claims = self.services.claims.as_ref();
        claims.ok_or_else(|| Error::new(Kind::StoreUnavailable, "this fleet keeps no claims"))
    }
}

impl Filter for Claim {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(self.claim(exchange))
    }

    fn undo<'a>(&'a self, exchange: &'a Exchange, _: &'a Error) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let (Some(key), Ok(claims)) = (&exchange.claim, self.claims()) else { return };
            if !exchange.sent() {
                // If the release fails, a retry by the caller only gets "unknown".
                let _ = claims.release(key.clone()).await;
            }
        })
    }
}

fn key_of(exchange: &Exchange) -> Option<Key> {
    let mut hasher = Sha256::new();
    hasher.update((exchange.request.path.len() as u64).to_be_bytes());
    hasher.update(&exchange.request.path);
    hasher.update(&exchange.request.body);
    Some(Key {
        organisation: exchange.organisation.clone()?,
        idempotency_key: exchange.idempotency_key.clone()?,
        fingerprint: hasher.finalize().into(),
    })
}
