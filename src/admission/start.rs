//! Admission of one entry VM, from its traffic threads to its peers.

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

/// The gate and the line of one VM; cheap to clone.
#[derive(Clone)]
pub struct Admission {
    /// Rates.
    pub shares: Shares,
    /// Fair queues.
    pub scheduler: Dispatcher,
}

impl Admission {
    /// Makes both; they admit nothing until `start` runs.
    pub fn new(context: Context, pick: Arc<dyn Pick>) -> Self {
        Self { shares: Shares::new(context.clone()), scheduler: Dispatcher::new(context, pick) }
    }
}

/// Starts what keeps shares and leases, on the control arbiter; gives the
/// handler of the limits area.
pub fn start(admission: Admission, platform: &Platform, prefix: &str) -> Rc<dyn Handler> {
    let Admission { shares, scheduler: line } = admission;
    let capacity = Owners::new(shares.context().clone());
    actix_rt::spawn(capacity::renew(capacity.clone(), line));
    actix_rt::spawn(share::follow(
        shares.clone(),
        platform.key_value.clone(),
        platform.vm_list.clone(),
        prefix.to_owned(),
    ));
    Rc::new(Limits { shares, capacity })
}
