//! Whether this VM's links to the upstreams work, by the outcomes of connects.
//!
//! A connect that fails says that the upstream is down, or that this VM is cut
//! off; which, only another VM can tell. After some failures without a success
//! the links are suspected, and once a peer connects where this VM can't, it is
//! cut off. The next direct connect that succeeds ends that. Connections that are
//! open already say nothing: in some cuts they live on.

use std::time::Duration;

use crate::clock::Time;

/// Direct connects that fail in a row before the links are suspected.
const SUSPECT_FAILURES: u32 = 2;
/// Time for which a failure counts.
const FAILURE_AGE: Duration = Duration::from_secs(5);
/// Time after a cut was noticed in which runs that break off are laid to it.
const BLAME: Duration = Duration::from_millis(2_500);

/// State of the links.
#[derive(Clone, Copy, Debug, Default)]
pub struct Links {
    failures: u32,
    counted_until: Time,
    cut_since: Option<Time>,
}

impl Links {
    /// Records the outcome of a direct connect; whether it ends a cut.
    pub fn record_direct(&mut self, connected: bool, now: Time) -> bool {
        if connected {
            self.failures = 0;
            return self.cut_since.take().is_some();
        }
        if self.counted_until.passed(now) {
            self.failures = 0;
        }
        self.failures += 1;
        self.counted_until = now.after(FAILURE_AGE);
        false
    }

    /// Records that a peer connected where this VM couldn't; whether a cut is new.
    pub fn record_through_peer(&mut self, now: Time) -> bool {
        let is_new = self.cut_since.is_none();
        self.cut_since.get_or_insert(now);
        is_new
    }

    /// Whether the next failure is to be checked by a peer.
    pub fn is_suspect(&self, now: Time) -> bool {
        self.failures >= SUSPECT_FAILURES && !self.counted_until.passed(now)
    }

    /// Whether this VM is cut off from the upstreams.
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Whether a run that breaks off now is to be laid to the links, not to its upstream.
    pub fn is_to_blame(&self, now: Time) -> bool {
        self.cut_since.is_some_and(|since| !since.after(BLAME).passed(now))
    }
}
