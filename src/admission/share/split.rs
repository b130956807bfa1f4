//! Fixed equal split: every entry VM has the same slice and nothing is lent.
//!
//! Baseline that shares are compared with.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::future::{LocalBoxFuture, ready};
use parking_lot::Mutex;

use super::{Buckets, Denial, Slice, TOKEN};
use crate::admission::Limiter;
use crate::admission::refusal;
use crate::clock::Time;
use crate::config::resource;
use crate::context::Context;
use crate::error::Result;
use crate::id::Organisation;
use crate::view::{Role, View};

/// An organisation's total rate and burst.
pub fn quota(organisation: &resource::Organisation) -> Slice {
    Slice {
        rate: (organisation.rate.max(0.0) * TOKEN as f64) as u64,
        burst: u64::from(organisation.burst) * TOKEN,
    }
}

/// Rate limiter with a fixed equal split.
pub struct Split {
    context: Context,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    view: Option<Arc<View>>,
    buckets: Buckets,
}

impl Split {
    /// Creates the limiter; slices follow the current view.
    pub fn new(context: Context) -> Self {
        Self { context, state: Mutex::default() }
    }

    fn take_now(&self, organisation: &Organisation) -> Result<()> {
        let now = self.context.clock.now();
        let mut state = self.state.lock();
        state.adopt(self.context.shared.load(), self.context.shared.contact.until(), now);
        state.buckets.take(organisation, now).map_err(|denial| match denial {
            Denial::Unconfirmed => refusal::out_of_contact(),
            Denial::Until(next) => refusal::rate_exceeded(organisation, now, next),
        })
    }
}

impl State {
    fn adopt(&mut self, view: Arc<View>, valid_until: Time, now: Time) {
        self.buckets.extend(valid_until, now);
        if self.view.as_ref().is_some_and(|held| Arc::ptr_eq(held, &view)) {
            return;
        }
        self.buckets.set(&split(&view), now);
        self.view = Some(view);
    }
}

fn split(view: &View) -> BTreeMap<Organisation, Slice> {
    let entries = view.members.values().filter(|member| member.role == Role::Entry).count();
    let parts = entries.max(1) as u64;
    let part = |organisation| {
        let total = quota(organisation);
        Slice { rate: total.rate / parts, burst: total.burst / parts }
    };
    view.organisations.iter().map(|(name, spec)| (name.clone(), part(spec))).collect()
}

impl Limiter for Split {
    fn take(&self, organisation: &Organisation) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(ready(self.take_now(organisation)))
    }

    fn refund(&self, organisation: &Organisation) {
        let now = self.context.clock.now();
        self.state.lock().buckets.refund(organisation, now);
    }
}
