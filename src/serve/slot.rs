//! Slots at upstreams, and what the answers to their requests say about the upstreams.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::cold::{self, Standing};
use super::context::Context;
use super::departure::Process;
use super::limit::{Admission, Word};
use super::origin::Origin;
use super::protocol::{Classification, Limit};
use super::upstream::{Key, Use};
use crate::clock::Time;
use crate::emit;
use crate::event::Event;
use crate::id::Upstream;

/// Age up to which a grant within a quota may be used: one that a suspended VM finds on its
/// return counts for another second.
const GRANT_LIFETIME: Duration = Duration::from_millis(250);
/// Minimum time for which an upstream gets no requests after its quota left no room.
const MIN_CLOSED: Duration = Duration::from_millis(10);
/// Time for which an upstream gets no requests after one was kept back since this VM has to
/// read the store first; a read takes less.
const STALE_PAUSE: Duration = Duration::from_millis(50);

/// A slot at an upstream, released when dropped.
pub struct Slot {
    /// Key of the upstream in the table.
    pub key: Key,
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Service and version of the upstream when the slot was taken.
    pub origin: Origin,
    /// Start time of the upstream's process, as a Unix time in milliseconds.
    pub started_unix_ms: u64,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Kind of request that holds it.
    pub(super) kind: Use,
    /// When it was taken, or its request was granted after that.
    pub(super) taken_at: Cell<Time>,
    /// Whether the upstream had a free slot when this one was taken.
    pub(super) free: bool,
    /// Whether the upstream has sent a first event.
    pub(super) answered: Cell<bool>,
    /// Whether other VMs are told of it: at once, or when its request is granted.
    pub(super) announced: Cell<bool>,
    pub(super) context: Rc<Context>,
}

impl Slot {
    /// Records that the upstream failed.
    pub fn record_failure(&self, reason: &str) {
        let now = self.context.now();
        // Who is cut off has found nothing out about the upstream.
        let until = match self.context.paths.is_to_blame() {
            true => None,
            false => self.context.table.borrow_mut().record_failure(self.key, now),
        };
        let pause_ms = until.map_or(0, |until| now.until(until).as_millis() as u64);
        let ejected = self.context.table.borrow().ejected(now).len();
        emit!(self.context.log, Event::UpstreamFailed, "upstream" => self.upstream.as_str(),
            "address" => self.address.to_string(), "reason" => reason, "pause_ms" => pause_ms,
            "ejected_here" => ejected, "ejected_by_others" => self.ejected_by_others());
    }

    /// Number of other VMs that have ejected the upstream.
    pub fn ejected_by_others(&self) -> u32 {
        self.context.table.borrow().ejected_by_others(&self.upstream)
    }

    /// Records that the upstream said in the answer to `request_id` that it leaves.
    fn record_leaving(&self, request_id: &str) {
        let (context, now) = (&self.context, self.context.now());
        let process = self.process();
        if !context.table.borrow_mut().record_leaving(process, now, true, now) {
            return;
        }
        let view_age = context.view.borrow().confirmed_at.until(now);
        emit!(context.log, Event::UpstreamLeaving, "upstream" => self.upstream.as_str(),
            "request" => request_id, "told_by" => "answer",
            "entry_age_ms" => view_age.as_millis() as u64);
        metrics::counter!("serve_upstreams_leaving_total", "told_by" => "answer").increment(1);
        context.pool.close_idle(self.address);
        context.load_changed.notify_one();
        context.work_changed.notify_one();
    }

    /// Records what the answer to `request_id` says about the upstream as a whole.
    pub fn record_answer(&self, classification: &Classification, request_id: &str) {
        if classification.leaving {
            self.record_leaving(request_id);
        }
        if let Some(left_ms) = classification.cold_left_ms {
            self.context.record_cold_answer(self.process(), Duration::from_millis(left_ms));
        }
        match classification.limit {
            Limit::PerSecond(per_s) => self.record_limit(Some(per_s), request_id),
            // An upstream that didn't run the request may not say all it would say.
            Limit::Absent if classification.matches_request && !classification.refused => {
                self.record_limit(None, request_id);
            }
            Limit::Absent | Limit::Unknown => {}
        }
    }

    fn record_limit(&self, per_s: Option<f64>, request_id: &str) {
        let (context, now) = (&self.context, self.context.now());
        let word = Word { per_s, at: now };
        if !context.table.borrow_mut().record_limit(self.process(), word, true, now) {
            return;
        }
        emit!(context.log, Event::UpstreamLimited, "upstream" => self.upstream.as_str(),
            "request" => request_id, "told_by" => "answer", "limit_per_s" => per_s.unwrap_or(-1.0));
        metrics::counter!("serve_limits_learnt_total", "told_by" => "answer").increment(1);
        context.load_changed.notify_one();
        context.work_changed.notify_one();
    }

    /// Until when the request that holds the slot may be sent; none if it may not be: its
    /// upstream's limit leaves no room among the requests of all VMs, or the upstream has left
    /// while it waited, or this VM may not know that.
    pub async fn admit(&self) -> Option<Time> {
        self.context.renew_view().await;
        // The quota comes last: a grant within it may be used for a short time only.
        let admitted =
            self.admit_limited().await && self.admit_cold().await && self.check_standing();
        admitted.then(|| self.context.send_by())
    }

    /// Whether the quota of a cold upstream leaves room.
    async fn admit_cold(&self) -> bool {
        let (context, key) = (&self.context, cold::key(self.process().number));
        if !matches!(context.standing(key.number), Standing::Cold(_)) {
            return true;
        }
        let Some(gate) = context.gate() else { return true };
        let asked_at = context.now();
        let admission = gate.admit(key, self.kind).await;
        let now = context.now();
        let closed_until = match admission {
            Admission::Granted if !asked_at.after(GRANT_LIFETIME).passed(now) => None,
            Admission::Granted => Some(now),
            Admission::Denied(until) => Some(until),
        };
        let outcome = if closed_until.is_some() { "denied" } else { "granted" };
        metrics::counter!("serve_cold_sends_total", "use" => self.kind.as_str(),
            "outcome" => outcome)
        .increment(1);
        let Some(until) = closed_until else {
            self.taken_at.set(now);
            return true;
        };
        metrics::counter!("serve_sends_kept_back_total", "reason" => "cold").increment(1);
        if let Some(entry) = context.table.borrow_mut().get_mut(self.key) {
            let until = until.max(now.after(MIN_CLOSED));
            match self.kind {
                Use::Online => entry.closed_until = until,
                Use::Batch => entry.closed_to_items_until = until,
            }
        }
        false
    }

    /// Records that the upstream was gone when a request was to be sent.
    pub fn record_gone(&self) {
        self.context.suspect_cold(self.process(), "gone");
        self.context.table.borrow_mut().doubt(self.key, self.context.now());
    }

    /// Whether the upstream still takes requests, as far as this VM may know.
    fn check_standing(&self) -> bool {
        let Some(reason) = self.reason_to_keep_back() else { return true };
        metrics::counter!("serve_sends_kept_back_total", "reason" => reason).increment(1);
        false
    }

    fn reason_to_keep_back(&self) -> Option<&'static str> {
        let (context, now) = (&self.context, self.context.now());
        let mut table = context.table.borrow_mut();
        let Some(entry) = table.get_mut(self.key) else { return Some("gone") };
        if context.may_lag() {
            entry.closed_until = now.after(STALE_PAUSE);
            return Some("stale");
        }
        match entry {
            entry if entry.evacuated => Some("evacuated"),
            entry if !entry.stays() => Some("leaving"),
            // The identifier stands for another process by now, maybe of another version.
            entry if entry.registration.process() != self.process() => Some("restarted"),
            _ => None,
        }
    }

    /// Records that the request was not sent, as another process has its upstream's identifier.
    pub fn record_other(&self) {
        metrics::counter!("serve_sends_kept_back_total", "reason" => "restarted").increment(1);
    }

    /// Whether a run or connect has failed at the upstream since the view of it was read: another
    /// process may have taken its place.
    pub fn may_be_another(&self) -> bool {
        let confirmed_at = self.context.view.borrow().confirmed_at;
        let table = self.context.table.borrow();
        table.get(self.key).is_none_or(|entry| entry.failed_at > confirmed_at)
    }

    /// Records that the request was not sent, as connecting took too long.
    pub fn record_late(&self) {
        metrics::counter!("serve_sends_kept_back_total", "reason" => "late").increment(1);
    }

    /// Records that the request is sent; the age of the view of the store by which it is.
    pub fn record_sent(&self) -> Duration {
        let age = self.context.view.borrow().confirmed_at.until(self.context.now());
        metrics::histogram!("serve_send_view_age_seconds", "use" => self.kind.as_str())
            .record(age.as_secs_f64());
        age
    }

    async fn admit_limited(&self) -> bool {
        let limit = self.context.table.borrow().limits().per_s(self.process());
        let gate = if limit.is_some() { self.context.gate() } else { None };
        let Some(gate) = gate else {
            if !self.announced.get() {
                self.announce();
            }
            return true;
        };
        let admission = gate.admit(self.process(), self.kind).await;
        let outcome = match admission {
            Admission::Granted => {
                // The upstream isn't slower for the time that this took.
                self.taken_at.set(self.context.now());
                self.announce();
                "granted"
            }
            Admission::Denied(until) => {
                if self.kind == Use::Online {
                    self.context.priority.borrow_mut().record_denied(self.context.now());
                    self.context.load_changed.notify_one();
                }
                self.context.table.borrow_mut().close(self.key, self.kind, until);
                "denied"
            }
        };
        metrics::counter!("serve_limited_sends_total", "use" => self.kind.as_str(),
            "outcome" => outcome)
        .increment(1);
        admission == Admission::Granted
    }

    /// Has other VMs told of the slot.
    pub(super) fn announce(&self) {
        self.announced.set(true);
        self.context.load_changed.notify_one();
    }

    pub(super) fn process(&self) -> Process {
        Process::new(&self.upstream, self.started_unix_ms)
    }

    /// Records that the first event arrived.
    pub fn record_first_event(&self) {
        let took_ms = self.held_ms();
        let mut table = self.context.table.borrow_mut();
        table.record_first_event(self.key, took_ms);
        if self.free {
            table.record_idle_first_event(self.key, took_ms);
        }
        self.answered.set(true);
    }

    pub(super) fn held_ms(&self) -> f64 {
        self.taken_at.get().until(self.context.now()).as_secs_f64() * 1e3
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held_ms = self.held_ms();
        let mut table = self.context.table.borrow_mut();
        if self.kind == Use::Online && self.answered.get() {
            table.record_slot_time(self.key, held_ms);
        }
        if let Some(entry) = table.get_mut(self.key) {
            match self.kind {
                Use::Online => entry.own.online -= 1,
                Use::Batch => entry.own.batch -= 1,
            }
        }
        drop(table);
        if self.announced.get() {
            self.context.load_changed.notify_one();
        }
        self.context.work_changed.notify_one();
    }
}
