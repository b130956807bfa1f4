//! Setup of admission control on one entry VM.

use std::rc::Rc;
use std::sync::Arc;

use super::Pick;
use super::capacity::{self, Owners};
use super::peers::Limits;
use super::queue::Dispatcher;
use super::share::{self, Shares};
use crate::context::Context;
use crate::control::Platform;
use crate::wire::Handler;

/// The rate limiter and the scheduler of one VM; cheap to clone.
#[derive(Clone)]
pub struct Admission {
    /// Rate limiter.
    pub shares: Shares,
    /// Scheduler over fair queues.
    pub scheduler: Dispatcher,
}

impl Admission {
    /// Creates both; they admit nothing until `start` runs.
    pub fn new(context: Context, pick: Arc<dyn Pick>) -> Self {
        Self { shares: Shares::new(context.clone()), scheduler: Dispatcher::new(context, pick) }
    }
}

/// Starts the tasks that keep shares and leases up to date, on the control arbiter. Returns the
/// handler for peer messages about limits.
pub fn start(admission: Admission, platform: &Platform, prefix: &str) -> Rc<dyn Handler> {
    let Admission { shares, scheduler } = admission;
    let owners = Owners::new(shares.context().clone());
    actix_rt::spawn(capacity::renew(owners.clone(), scheduler));
    actix_rt::spawn(share::follow(
        shares.clone(),
        platform.key_value.clone(),
        platform.vm_list.clone(),
        prefix.to_owned(),
    ));
    Rc::new(Limits { shares, owners })
}
