//! Upstream state that all traffic threads of a VM share.

use std::sync::Arc;

use parking_lot::Mutex;

use super::{Balancer, Budget, Quarantine, poll};
use crate::clock::Time;
use crate::context::Context;
use crate::id::{Organisation, Upstream};

/// Load balancer, retry budgets and quarantine of one VM.
///
/// Create it once per process. Its `balancer` implements `Pick` for admission,
/// its `quarantine` handles peer messages as `wire::Dispatcher::online`, and
/// `Router::run` must be spawned on the control thread.
pub struct Router {
    /// Chooses the upstream for a request.
    pub balancer: Arc<Balancer>,
    /// Stops requests that crash upstreams from being retried across the fleet.
    pub quarantine: Quarantine,
    budget: Mutex<Budget>,
    context: Context,
}

impl Router {
    /// Creates a router without any upstream state; `seed` seeds the load balancer.
    pub fn new(context: Context, seed: u64) -> Arc<Self> {
        let balancer = Balancer::new(context.vm.clone(), context.shared.clone(), seed);
        Arc::new(Self {
            balancer: Arc::new(balancer),
            quarantine: Quarantine::new(context.clone()),
            budget: Mutex::default(),
            context,
        })
    }

    /// Process context that the router was created with.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Polls engines and sends quarantine messages to peers; never returns.
    pub async fn run(self: Arc<Self>) {
        let messages = self.quarantine.clone().run();
        let poll = poll::run(self.context.clone(), self.balancer.clone());
        futures_util::future::join(messages, poll).await;
    }

    /// Deposits into the retry budgets when a request is first sent.
    pub fn deposit(&self, organisation: &Organisation, upstream: &Upstream, now: Time) {
        self.budget.lock().deposit(organisation, upstream, now);
    }

    /// Withdraws a retry from the budgets; returns false if one is exhausted.
    pub fn withdraw(&self, organisation: &Organisation, upstream: &Upstream, now: Time) -> bool {
        self.budget.lock().withdraw(organisation, upstream, now)
    }
}
