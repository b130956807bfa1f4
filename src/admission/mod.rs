//! Admission control: rate limits, fair queueing and upstream capacity.

mod peers;
mod start;

pub mod capacity;
pub mod home;
pub mod queue;
pub mod refusal;
pub mod rendezvous;
pub mod share;

pub use peers::Limits;
pub use start::{Admission, start};

use futures_util::future::LocalBoxFuture;

use crate::clock::Time;
use crate::config::resource::Serves;
use crate::error::Result;
use crate::id::{self, Organisation};
use crate::upstream::Occupancy;

/// Enforces each organisation's rate and burst across the fleet.
pub trait Limiter: Send + Sync {
    /// Takes one token for a request, or fails with `RateExceeded` and a retry delay.
    fn take(&self, organisation: &Organisation) -> LocalBoxFuture<'_, Result<()>>;

    /// Returns the token of a request that was rejected later and did not run.
    fn refund(&self, organisation: &Organisation);
}

/// A request for a slot at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Organisation that sent the request; all open routes share one placeholder name.
    pub organisation: Organisation,
    /// Model or service that must serve the request.
    pub target: Serves,
    /// Estimated cost, in tokens; a service call counts as one.
    pub cost: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Upstreams that this request must not be sent to, such as those where it has failed.
    pub excluded: Vec<id::Upstream>,
    /// Whether the request must be the only one at its upstream, because it is suspected of
    /// crashing upstreams.
    pub exclusive: bool,
    /// Hash of the prompt's prefix, for cache affinity.
    pub prefix: Option<u64>,
}

/// A slot held at an upstream; dropping it releases the slot.
pub struct Permit {
    /// Upstream that the slot belongs to.
    pub upstream: id::Upstream,
    release: Option<Box<dyn FnOnce()>>,
}

impl Permit {
    /// Creates a permit that runs `release` when dropped.
    pub fn new<F>(upstream: id::Upstream, release: F) -> Self
    where
        F: FnOnce() + 'static,
    {
        Self { upstream, release: Some(Box::new(release)) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

/// Queues requests until an upstream has a free slot, fairly between organisations.
pub trait Scheduler: Send + Sync {
    /// Waits for a slot. Fails at once with `Overloaded` and a retry delay if none can be free
    /// before the deadline, or with `NoUpstream` if nothing serves the target.
    fn acquire(&self, ticket: Ticket) -> LocalBoxFuture<'_, Result<Permit>>;

    /// Online requests that run and wait at each upstream, for batch dispatch.
    fn occupancy(&self) -> Vec<Occupancy>;
}

/// Load balancing among upstreams with free slots.
pub trait Pick: Send + Sync {
    /// Chooses one of `free` for this ticket, or `None` if the request should keep waiting.
    fn pick(&self, ticket: &Ticket, free: &[id::Upstream], now: Time) -> Option<id::Upstream>;
}
