//! Determines when the holder of a model's lease may send orders.
//!
//! Upstreams that support fencing tokens reject the orders of earlier holders themselves. For
//! other upstreams a new holder waits until the previous holder's last order can no longer
//! arrive: an order is sent only before the sender's own deadline, which is before its lease
//! expires, and arrives within `ORDER_TIMEOUT` or not at all.

use std::time::Duration;

use crate::clock::Time;

/// Time after which a lease expires without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// How long before its lease expires a holder stops sending orders.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time from sending an order to its arrival.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The period during which one VM controls a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    fencing_token: u64,
    deadline: Time,
    unfenced_from: Time,
}

impl Leadership {
    /// Creates the leadership for a lease requested at `requested_at` and found held at `now`.
    /// `fencing_token` must be higher than that of every earlier holder.
    pub fn new(fencing_token: u64, requested_at: Time, now: Time) -> Self {
        let unfenced_from = now.after(ORDER_TIMEOUT + SAFETY_MARGIN);
        Self {
            fencing_token,
            deadline: requested_at.after(LEASE_TTL - SAFETY_MARGIN),
            unfenced_from,
        }
    }

    /// Fencing token sent with this holder's orders.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Extends the leadership after a renewal requested at `requested_at`.
    pub fn renew(&mut self, requested_at: Time) {
        self.deadline = self.deadline.max(requested_at.after(LEASE_TTL - SAFETY_MARGIN));
    }

    /// Whether the holder may still rely on its lease.
    pub fn is_current(&self, now: Time) -> bool {
        !self.deadline.passed(now)
    }

    /// Whether an order may be sent at `now`; must be checked immediately before sending.
    pub fn may_send(&self, fenced: bool, now: Time) -> bool {
        self.is_current(now) && (fenced || self.unfenced_from.passed(now))
    }
}
