//! Priority of online requests over items at upstreams that name a limit.
//!
//! While online requests of any VM were denied within the last second for lack of grants, the
//! VM that grants gives items a tenth of each limit, so that jobs still move, and online
//! requests the rest. Otherwise items take whatever the limit leaves. VMs report their denials
//! to each other, since another VM may grant at each upstream.
//!
//! Load: all upstreams limited to a third of their usual rate, online requests in bursts that
//! exceed it, items waiting on all VMs.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::bucket::Bucket;
use super::departure::Process;
use super::limit::{Admission, Limits};
use super::upstream::Use;
use crate::clock::Time;

/// Time after a denial for which online requests count as short of grants.
const SHORT_FOR: Duration = Duration::from_millis(1_000);
/// Part of a limit that items keep meanwhile.
const ITEM_SHARE: f64 = 0.1;
/// Items that may be granted at once of that part.
const ITEM_BURST: f64 = 1.0;
/// Time after an online request for which the next one is expected at an upstream.
const DEMAND_FOR: Duration = Duration::from_millis(5_000);
/// Requests that items then leave grantable at once, so that an online request isn't denied
/// between two items.
const ONLINE_RESERVE: f64 = 1.0;
/// Longest time for which a VM sends no item to an upstream after one was held back.
const MAX_HELD_BACK: Duration = Duration::from_millis(500);
/// Shortest such time.
const MIN_HELD_BACK: Duration = Duration::from_millis(50);
/// Most denials that a peer's report may state; more can't happen within a second.
const MAX_REPORTED: u32 = 100_000;

/// What this VM knows of denials, and what items were granted lately.
#[derive(Debug, Default)]
pub struct Priority {
    /// Ends of the times for which this VM reports its own denials.
    denied_until: VecDeque<Time>,
    /// Time until which online requests of any VM count as short of grants.
    short_until: Time,
    /// Times until which online requests are expected at an upstream.
    demanded_until: HashMap<Process, Time>,
    /// The part of each limit that items keep.
    shares: HashMap<Process, Bucket>,
}

impl Priority {
    /// Records that an online request of this VM was denied.
    pub fn record_denied(&mut self, now: Time) {
        while self.denied_until.front().is_some_and(|until| until.passed(now)) {
            self.denied_until.pop_front();
        }
        self.denied_until.push_back(now.after(SHORT_FOR));
        self.record_shortage(now);
    }

    /// Records that an online request of any VM was denied here.
    pub fn record_shortage(&mut self, now: Time) {
        self.short_until = self.short_until.max(now.after(SHORT_FOR));
    }

    /// Records the denials that a peer reports; whether the report can be true.
    pub fn record_reported(&mut self, count: u32, now: Time) -> bool {
        if count > MAX_REPORTED {
            return false;
        }
        if count > 0 {
            self.record_shortage(now);
        }
        true
    }

    /// Number of this VM's online requests that were denied within the last second.
    pub fn denied(&self, now: Time) -> u32 {
        self.denied_until.iter().filter(|until| !until.passed(now)).count() as u32
    }

    /// Whether online requests were denied lately for lack of grants, on any VM.
    pub fn is_online_short(&self, now: Time) -> bool {
        !self.short_until.passed(now)
    }

    /// Whether an item may be granted now at a limit of `per_s`; if not, when to ask again.
    pub fn may_grant_item(&self, process: Process, per_s: f64, now: Time) -> Result<(), Time> {
        if !self.is_online_short(now) {
            return Ok(());
        }
        let mut share = self.share(process, now);
        share.take(per_s * ITEM_SHARE, ITEM_BURST, now).map_err(|wait| {
            let wait = wait.clamp(MIN_HELD_BACK, MAX_HELD_BACK);
            now.after(wait)
        })
    }

    /// Records that an online request asks for a grant.
    fn record_online(&mut self, process: Process, now: Time) {
        self.demanded_until.retain(|_, until| !until.passed(now));
        self.demanded_until.insert(process, now.after(DEMAND_FOR));
    }

    /// Requests that an item leaves grantable at once.
    fn reserve(&self, process: Process, now: Time) -> f64 {
        let is_demanded = self.demanded_until.get(&process).is_some_and(|at| !at.passed(now));
        if is_demanded && !self.is_online_short(now) { ONLINE_RESERVE } else { 0.0 }
    }

    /// Records that an item was granted.
    pub fn record_item(&mut self, process: Process, per_s: f64, now: Time) {
        let mut share = self.share(process, now);
        // What items take while nothing lacks isn't owed, but none of the share is saved up.
        let _ = share.take(per_s * ITEM_SHARE, ITEM_BURST, now);
        self.shares.insert(process, share);
    }

    fn share(&self, process: Process, now: Time) -> Bucket {
        self.shares.get(&process).copied().unwrap_or(Bucket::new(ITEM_BURST, now))
    }
}

/// Grants or denies a request of a kind; `heard_share` is the part of all members that this VM
/// hears, itself included.
pub fn grant(
    limits: &mut Limits,
    priority: &mut Priority,
    process: Process,
    kind: Use,
    heard_share: f64,
    now: Time,
) -> Admission {
    let Some(per_s) = limits.per_s(process) else { return Admission::Granted };
    let per_s = per_s * heard_share;
    if kind == Use::Batch
        && let Err(until) = priority.may_grant_item(process, per_s, now)
    {
        return Admission::Denied(until);
    }
    let reserve = match kind {
        Use::Batch => priority.reserve(process, now),
        Use::Online => {
            priority.record_online(process, now);
            0.0
        }
    };
    let admission = limits.grant_for(process, kind, reserve, heard_share, now);
    match (kind, admission) {
        (Use::Batch, Admission::Granted) => priority.record_item(process, per_s, now),
        (Use::Online, Admission::Denied(_)) => priority.record_shortage(now),
        (Use::Batch, Admission::Denied(_)) | (Use::Online, Admission::Granted) => {}
    }
    admission
}
