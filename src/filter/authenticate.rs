//! Authentication by API key.
//!
//! A VM that is out of contact can't know whether a key was revoked, so it rejects requests with
//! keys. The check is repeated before each attempt and while an answer streams, since the key may
//! be revoked while a request waits.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use sha2::{Digest as _, Sha256};

use super::{Exchange, Filter, Services};
use crate::context::Context;
use crate::error::{Error, Kind, Result};
use crate::id::Organisation;
use crate::view::Digest;

/// Filter that authenticates the caller.
pub struct Authenticate {
    services: Rc<Services>,
}

impl Authenticate {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }
}

impl Filter for Authenticate {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let Some(key) = exchange.key.take() else { return Ok(()) };
            let digest: Digest = Sha256::digest(key.as_bytes()).into();
            exchange.digest = Some(digest);
            // Open routes accept any key, so the key is checked on other routes only.
            let open =
                exchange.view.routes.get(&exchange.request.path).is_some_and(|route| route.open);
            if !open {
                exchange.organisation = Some(authenticate(&self.services.context, &digest)?);
            }
            Ok(())
        })
    }
}

/// Returns the organisation that a key belongs to in the current view.
pub fn authenticate(context: &Context, digest: &Digest) -> Result<Organisation> {
    if !context.shared.contact.holds(context.clock.now()) {
        return Err(Error::new(
            Kind::OutOfContact,
            "this VM can't confirm its key list; try another entry",
        ));
    }
    let view = context.shared.view.load();
    let organisation = view.keys.get(digest).cloned();
    organisation.ok_or_else(|| Error::new(Kind::KeyRefused, "the key is wrong or withdrawn"))
}
