//! Decides which requests a VM still accepts while it stops.
//!
//! Callers keep a VM's address for seconds after it was taken out of the answers that name it, so
//! requests still come after the signal. What is accepted then has to fit into what is left: a
//! request whose deadline is later than the end of the process may be cut, and is refused as not
//! run while another VM can serve it in time. A caller that allows more than the whole stop would
//! be refused from the first moment, by each VM that stops; such requests are accepted in the
//! first quarter, as almost all end in the rest.
//!
//! Answers the load of a planned restart: callers with an address that is up to three times as old
//! as its lifetime.

use std::time::Duration;

use crate::clock::Time;

/// Maximum time for which a VM that stops accepts requests.
const ACCEPT: Duration = Duration::from_millis(5_000);
/// Maximum time for which it accepts requests of any deadline.
const ACCEPT_ANY: Duration = Duration::from_millis(2_000);
/// Maximum time between the end of the process and the expected SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    any_until: Time,
    /// When the VM ceases to accept requests.
    pub accepts_until: Time,
    /// When the process ends at the latest.
    pub end: Time,
}

impl Stop {
    /// A stop that began at `started`, with a SIGKILL `grace` later.
    pub fn new(started: Time, grace: Duration) -> Self {
        Self {
            any_until: started.after(ACCEPT_ANY.min(grace / 4)),
            accepts_until: started.after(ACCEPT.min(grace / 2)),
            end: started.after(grace.saturating_sub(EXIT_MARGIN.min(grace / 12))),
        }
    }

    /// Whether a request that may last until `deadline` is accepted.
    pub fn accepts(&self, deadline: Time, now: Time) -> bool {
        let limit = if deadline <= self.end { self.accepts_until } else { self.any_until };
        !limit.passed(now)
    }
}
