//! What all traffic threads of a VM share about upstreams.

use std::sync::Arc;

use parking_lot::Mutex;

use super::{Balancer, Budget, Quarantine, poll};
use crate::clock::Time;
use crate::context::Context;
use crate::id::{Organisation, Upstream};

/// Choice of upstream, retry budgets and quarantine of one VM.
///
/// `Router::new(context, seed)` once a process; its `balancer` is the line's
/// `Pick`, its `quarantine` the peers' handler for `Dispatcher::online`, and
/// `Router::run` is spawned on the control thread.
pub struct Router {
    /// Chooses upstreams.
    pub balancer: Arc<Balancer>,
    /// Keeps requests that crash upstreams from walking the fleet.
    pub quarantine: Quarantine,
    budget: Mutex<Budget>,
    context: Context,
}

impl Router {
    /// Knows nothing yet; `seed` steers the draws.
    pub fn new(context: Context, seed: u64) -> Arc<Self> {
        let balancer = Balancer::new(context.vm.clone(), context.shared.clone(), seed);
        Arc::new(Self {
            balancer: Arc::new(balancer),
            quarantine: Quarantine::new(context.clone()),
            budget: Mutex::default(),
            context,
        })
    }

    /// The process's surroundings.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Polls engines and tells peers, for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        let tell = self.quarantine.clone().run();
        let poll = poll::run(self.context.clone(), self.balancer.clone());
        futures_util::future::join(tell, poll).await;
    }

    /// Notes a request's first send.
    pub fn deposit(&self, organisation: &Organisation, upstream: &Upstream, now: Time) {
        self.budget.lock().deposit(organisation, upstream, now);
    }

    /// Takes a retry; false when a budget is used up.
    pub fn withdraw(&self, organisation: &Organisation, upstream: &Upstream, now: Time) -> bool {
        self.budget.lock().withdraw(organisation, upstream, now)
    }
}
