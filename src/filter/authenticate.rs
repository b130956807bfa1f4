//! Finds the organisation that a key belongs to.
//!
//! Out of contact, this VM can't know whether a key was withdrawn, so it
//! refuses keyed work. The same check runs again right before each send and
//! while an answer streams, since a request may have waited in between.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use sha2::{Digest as _, Sha256};

use super::{Exchange, Filter, Services};
use crate::context::Context;
use crate::error::{Error, Kind, Result};
use crate::id::Organisation;
use crate::view::Digest;

/// Identifies the caller.
pub struct Authenticate {
    services: Rc<Services>,
}

impl Authenticate {
    /// Makes the filter.
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
            // An open route takes any key, so a wrong one is refused later on.
            let open = exchange.view.routes.get(&exchange.request.path).is_some_and(|it| it.open);
            if !open {
                exchange.organisation = Some(authenticate(&self.services.context, &digest)?);
            }
            Ok(())
        })
    }
}

/// The organisation that a key belongs to at this moment.
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
