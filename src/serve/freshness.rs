//! Age of what this VM believes of the store, and how long it may act on that.
//!
//! Promises with a bound, such as that an upstream that leaves gets no requests so many
//! milliseconds later, hold only if no decision is carried out by an older view. A VM whose own
//! read of the store fails is out of contact for a while; no bound holds for it meanwhile, so that
//! it serves on through an outage of the store. A VM whose view is old for any other reason, such
//! as a lack of processor time or readers that don't answer, sends nothing until its view is
//! current again. So whatever makes a view old, the bound is kept without adding up what might.
//!
//! Load: any; a check is two comparisons.

use std::time::Duration;

use crate::clock::Time;

/// Terms on which a VM may act on its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time within which a change in the store must have taken effect.
    pub bound: Duration,
    /// Time without a failure after which a VM counts as in contact again.
    pub contact: Duration,
}

/// Time from the last check before a send to its arrival at the upstream: the network, and the
/// turn of the task that writes to the connection.
pub const TRANSIT: Duration = Duration::from_millis(100);
/// Time after which a read of the store without an answer counts as failed while it goes on: the
/// store answers within milliseconds, or a quarter of a second when it is slow.
pub const UNANSWERED_AFTER: Duration = Duration::from_millis(500);
/// Interval at which `Freshness::record_waiting` is called while a read is under way.
pub const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of such a call, or of a failure, by which this process was held up: the answer may have
/// arrived meanwhile.
const MAX_DELAY: Duration = Duration::from_millis(150);
/// Maximum time of one attempt of a read, which may make two: its timeout of 1.1 s, and delays of
/// this process that are too short to be noticed.
const ATTEMPT: Duration = Duration::from_millis(1_700);
/// Time without a view after which failed reads count as an outage of the store, in which
/// entries of upstreams may have lapsed.
const OUTAGE: Duration = Duration::from_millis(2_000);
/// Time from the return of the store to that of the entries that lapsed meanwhile.
const RETURN: Duration = Duration::from_millis(2_200);

/// A read of the store that is under way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sent_at: Time,
    /// When this process last looked for its answer.
    watched_at: Time,
    /// Whether this process was held up before it last looked.
    was_held_up: bool,
}

impl Pending {
    /// Whether this process has been held up since it last looked.
    fn is_held_up(&self, now: Time) -> bool {
        self.watched_at.after(WATCH_INTERVAL + MAX_DELAY).passed(now)
    }

    /// Whether an answer would have been read by now.
    fn is_unanswered(&self, now: Time) -> bool {
        !self.was_held_up && !self.is_held_up(now)
    }

    /// Earliest time at which the last attempt can have begun, if there is no answer at `now`.
    fn last_attempt(&self, now: Time) -> Time {
        self.sent_at.max(Time(now.0.saturating_sub(ATTEMPT.as_micros() as u64)))
    }
}

/// Age of this VM's view, and the outcome of its own reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Time at which the view was current.
    current_at: Time,
    /// The read that is under way.
    pending: Option<Pending>,
    /// Send time of the last attempt that failed.
    failed_at: Option<Time>,
}

impl Freshness {
    /// Records a view that was current at `current_at`.
    pub fn record_view(&mut self, current_at: Time) {
        self.current_at = self.current_at.max(current_at);
    }

    /// Records that this VM reads the store.
    pub fn record_sent(&mut self, now: Time) {
        self.pending = Some(Pending { sent_at: now, watched_at: now, was_held_up: false });
    }

    /// Records that the read has no answer yet.
    pub fn record_waiting(&mut self, now: Time) {
        let Some(pending) = &mut self.pending else { return };
        if pending.is_unanswered(now) && pending.sent_at.after(UNANSWERED_AFTER).passed(now) {
            self.failed_at = Some(pending.last_attempt(now));
        }
        pending.was_held_up = pending.is_held_up(now);
        pending.watched_at = now;
    }

    /// Records that the store answered the read.
    pub fn record_answered(&mut self) {
        self.pending = None;
    }

    /// Records that the read failed.
    pub fn record_failed(&mut self, now: Time) {
        let Some(pending) = self.pending.take() else { return };
        if pending.is_unanswered(now) {
            self.failed_at = Some(pending.last_attempt(now));
        }
    }

    /// Time until which upstreams that are missing from the view of `current_at` are kept, as
    /// their entries may have lapsed in an outage; none if there was no outage.
    pub fn kept_until(&self, current_at: Time, terms: Terms) -> Option<Time> {
        let failed_at = self.failed_at.filter(|failed_at| *failed_at >= self.current_at)?;
        if self.current_at == Time(0) || !self.current_at.after(OUTAGE).passed(current_at) {
            return None;
        }
        // From then on this VM may be in contact again, so that the bounds hold for it.
        let contact_at = failed_at.after(terms.contact.saturating_sub(TRANSIT));
        Some(current_at.after(RETURN).min(contact_at))
    }

    /// Deadline of sends that are decided by the current view.
    pub fn valid_until(&self, terms: Terms) -> Time {
        let by_view = self.current_at.after(terms.bound.saturating_sub(TRANSIT));
        let out_of_contact =
            |failed_at: Time| failed_at.after(terms.contact.saturating_sub(TRANSIT));
        self.failed_at.map(out_of_contact).map_or(by_view, |until| by_view.max(until))
    }

    /// Whether this VM may not act on its view, as it may have missed a change that has to be in
    /// effect.
    pub fn may_lag(&self, terms: Terms, now: Time) -> bool {
        self.valid_until(terms).passed(now)
    }
}
