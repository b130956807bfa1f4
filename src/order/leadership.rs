//! When the holder of a model's lease may send orders.
//!
//! Upstreams that know fencing numbers refuse the orders of an earlier holder
//! by themselves. For the others a new holder waits until the earlier one's
//! last order can no longer arrive: an order is sent only before the sender's
//! own deadline, which is earlier than the end of its lease, and arrives
//! within `ORDER_TIMEOUT` or not at all.

use std::time::Duration;

use crate::clock::Time;

/// How long the platform's service keeps a lease without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time before the lease's end at which its holder stops.
const MARGIN: Duration = Duration::from_millis(500);
/// Bound on an order, from its sending to its arrival.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// One holder's time with a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    fence: u64,
    until: Time,
    unfenced_from: Time,
}

impl Leadership {
    /// A lease that was asked for at `asked` and found held at `now`; `fence`
    /// is higher than that of every holder before.
    pub fn new(fence: u64, asked: Time, now: Time) -> Self {
        let unfenced_from = now.after(ORDER_TIMEOUT + MARGIN);
        Self { fence, until: asked.after(LEASE_TTL - MARGIN), unfenced_from }
    }

    /// The fencing number of this holder's orders.
    pub fn fencing_token(&self) -> u64 {
        self.fence
    }

    /// The lease was renewed by a call made at `asked`.
    pub fn renew(&mut self, asked: Time) {
        self.until = self.until.max(asked.after(LEASE_TTL - MARGIN));
    }

    /// Whether the lease is still held.
    pub fn is_current(&self, now: Time) -> bool {
        !self.until.passed(now)
    }

    /// Whether an order may be sent; asked again right before it is.
    pub fn may_send(&self, fenced: bool, now: Time) -> bool {
        self.is_current(now) && (fenced || self.unfenced_from.passed(now))
    }
}
