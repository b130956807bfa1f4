//! Who may run a request now: rates, fair queues and upstream capacity.

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

/// Holds organisations to their rate and burst over the whole fleet.
pub trait Limiter: Send + Sync {
    /// Takes one request's cost, or refuses with `RateExceeded` and when to
    /// come back.
    fn take(&self, organisation: &Organisation) -> LocalBoxFuture<'_, Result<()>>;

    /// Gives one request's cost back: it was refused later on and did not run.
    fn refund(&self, organisation: &Organisation);
}

/// A request that wants a slot at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Who asks; open routes share one name.
    pub organisation: Organisation,
    /// What must be served.
    pub target: Serves,
    /// Estimated cost, in tokens; plain calls count as one.
    pub cost: u32,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Upstreams that this request must not meet (again).
    pub excluded: Vec<id::Upstream>,
    /// Upstream that this request must run on alone, for a suspect.
    pub exclusive: bool,
    /// Hash of the prompt's prefix, for cache affinity.
    pub prefix: Option<u64>,
}

/// A slot at an upstream; dropping it frees the slot.
pub struct Permit {
    /// Where to send the request.
    pub upstream: id::Upstream,
    release: Option<Box<dyn FnOnce()>>,
}

impl Permit {
    /// Makes a permit that runs `release` when dropped.
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

/// Queues requests fairly over organisations until an upstream has room.
pub trait Scheduler: Send + Sync {
    /// Waits for a slot; refuses at once with `Overloaded` and when to come
    /// back if none can come before the deadline, or with `NoUpstream`.
    fn acquire(&self, ticket: Ticket) -> LocalBoxFuture<'_, Result<Permit>>;

    /// What runs and waits at each upstream, for batch dispatch.
    fn occupancy(&self) -> Vec<Occupancy>;
}

/// Chooses among upstreams that have room.
pub trait Pick: Send + Sync {
    /// The best of `free` for this ticket, or none if it should wait.
    fn pick(&self, ticket: &Ticket, free: &[id::Upstream], now: Time) -> Option<id::Upstream>;
}
