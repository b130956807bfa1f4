//! Distributed rate limiter: rate and burst of each organisation over all VMs.
//!
//! An organisation's rate and burst are divided into two parts. `LOCAL_SHARE`
//! of them is spread evenly over the members, and each member takes tokens
//! from its local bucket without asking. The rest is kept in a shared bucket on
//! one VM, the holder, which is derived from the members' list and grants
//! tokens to any VM whose local bucket is empty. So the loss or change of a
//! holder costs little, and callers that are spread unevenly over the VMs can
//! use the shared bucket.
//!
//! The local shares never add up to more than the whole. A VM that joins uses
//! its share only after `LOCAL_SHARE_MAX_AGE`; one whose list is older than
//! that stops; and the number of shares is the largest number of members seen
//! within that time. Likewise a new holder grants after the time for which the
//! previous one may still grant (`holder_max_age`), or at
//! once if the previous one has resigned. When the holder can't be asked, each
//! VM uses a small reserve, sized so that all reserves together stay within the
//! tolerance of the limit.
//!
//! The limit is designed to hold for an organisation that sends many times its rate.

use std::collections::HashMap;
use std::time::Duration;

pub use super::bucket::Bucket;
use super::configuration::Tenant;
use super::member::{Listed, owner};
use crate::clock::Time;
use crate::id::{Organisation, Vm};

/// Maximum age of the members' list with which a VM uses its local share.
pub const LOCAL_SHARE_MAX_AGE: Duration = Duration::from_millis(4_800);
/// Maximum age of the members' list with which a holder grants tokens in a small
/// fleet. Shorter than `LOCAL_SHARE_MAX_AGE`, so that a lost holder is replaced soon,
/// while local shares last through a short outage.
pub const HOLDER_MAX_AGE: Duration = Duration::from_millis(2_400);
/// The same in a large fleet: there most organisations' bursts are too small for local
/// shares and a lost holder concerns few organisations, but an outage all of them.
pub const LARGE_FLEET_HOLDER_MAX_AGE: Duration = LOCAL_SHARE_MAX_AGE;
/// Minimum time from the last sign of a VM to the removal of its entry.
const MIN_REMOVAL: Duration = Duration::from_millis(2_200);
/// Number of members from which a fleet is large.
const LARGE_FLEET: usize = 24;
/// Number of members by which the lists of two VMs may differ: a new holder waits as in
/// a large fleet if the earlier one may have seen one.
const MEMBERS_MARGIN: usize = 8;
/// Fraction of each rate and burst that is spread over the members.
pub const LOCAL_SHARE: f64 = 0.6;
/// `Retry-After` of refused requests when the holder can't be asked.
const NO_HOLDER_RETRY: Duration = Duration::from_millis(500);
/// Fraction of the tolerated excess that all reserves together use.
const RESERVE_SHARE: f64 = 0.7;

/// How far a rate limit may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window over which requests are counted, in seconds.
    pub window_s: f64,
    /// Tolerated excess as a fraction of the limit.
    pub overrun: f64,
    /// Tolerated additional requests per window.
    pub slack: f64,
}

/// Result of a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// A token was taken: the request may run.
    Granted,
    /// The limit is exceeded; the next token is expected after this wait.
    Exceeded(Duration),
    /// This VM is not the holder of the bucket, or can't be sure that it is.
    NotHolder,
}

#[derive(Clone, Copy, Debug)]
struct HeldBucket {
    /// Time from which tokens are granted.
    from: Time,
    bucket: Bucket,
}

/// What an earlier process of this VM left in the members' list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// No entry: the others don't count this VM.
    #[default]
    None,
    /// The entry of a process that shut down gracefully: the others count this VM
    /// and have taken over the buckets that it held.
    Left,
    /// The entry of a process that crashed: the others count this VM, and nobody
    /// has taken over the buckets that it held.
    Crashed,
}

/// Rate limiter of one VM: the shared buckets that it holds, its local buckets
/// and its reserves.
pub struct Limiter {
    vm: Vm,
    tolerance: Tolerance,
    held_buckets: HashMap<Organisation, HeldBucket>,
    local_buckets: HashMap<Organisation, Bucket>,
    reserves: HashMap<Organisation, Bucket>,
    /// Time at which the latest read of the members' list was sent.
    confirmed_at: Time,
    /// Recently seen numbers of members, with the time until which each counts.
    member_counts: Vec<(Time, usize)>,
    /// Time from which local buckets are used.
    local_from: Time,
    /// Members with the versions of their entries, from the latest read.
    list: Vec<(Vm, u64)>,
}

impl Limiter {
    /// Creates a limiter for `vm` without any buckets.
    pub fn new(vm: Vm, tolerance: Tolerance) -> Self {
        Self {
            vm,
            tolerance,
            held_buckets: HashMap::new(),
            local_buckets: HashMap::new(),
            reserves: HashMap::new(),
            confirmed_at: Time(0),
            member_counts: Vec::new(),
            local_from: Time::NEVER,
            list: Vec::new(),
        }
    }

    /// Applies a members' list from a read that was sent at `sent_at` and answered
    /// at `now`.
    pub fn update(
        &mut self,
        members: &[Listed],
        tenants: &[Tenant],
        predecessor: Predecessor,
        sent_at: Time,
        now: Time,
    ) {
        let local_expired = self.confirmed_at.after(LOCAL_SHARE_MAX_AGE).passed(now);
        let holder_expired = self.holder_until().passed(now);
        let removal_possible = self.holder_until().after(MIN_REMOVAL).passed(now);
        let list: Vec<(Vm, u64)> =
            members.iter().map(|listed| (listed.member.vm.clone(), listed.version)).collect();
        let own = |list: &[(Vm, u64)]| list.iter().find(|(vm, _)| vm == &self.vm).cloned();
        let first = self.list.is_empty();
        let local_kept = !first && (!local_expired || own(&list) == own(&self.list));
        // A VM that joined meanwhile granted nothing before this VM had to stop, and its
        // entry can't have been removed since.
        let was_listed = own(&list) == own(&self.list) && !removal_possible;
        let holder_kept = !first && (!holder_expired || was_listed || list == self.list);
        let takes_over = first && predecessor == Predecessor::Crashed;
        if !local_kept {
            let others_count_us = first && predecessor != Predecessor::None;
            self.local_from = if others_count_us { now } else { now.after(LOCAL_SHARE_MAX_AGE) };
            self.local_buckets.clear();
        }
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.member_counts.retain(|(until, _)| !until.passed(now));
        self.member_counts.push((now.after(LOCAL_SHARE_MAX_AGE), members.len().max(1)));
        self.list = list;
        let holder_from = now.after(holder_max_age(self.max_members() + MEMBERS_MARGIN));
        for tenant in tenants {
            let is_holder = owner(members, tenant.organisation.as_str())
                .is_some_and(|member| member.vm == self.vm);
            let held = self.held_buckets.get_mut(&tenant.organisation);
            match (is_holder, held) {
                (true, Some(held_bucket)) if !holder_kept => held_bucket.from = holder_from,
                (true, Some(_)) => {}
                (true, None) => {
                    let no_other_holder = takes_over || resigned(members, &tenant.organisation);
                    let from = if no_other_holder { now } else { holder_from };
                    let held_bucket = HeldBucket { from, bucket: Bucket::new(0.0, from) };
                    self.held_buckets.insert(tenant.organisation.clone(), held_bucket);
                }
                (false, _) => {
                    self.held_buckets.remove(&tenant.organisation);
                }
            }
        }
    }

    /// Stops granting tokens permanently, because this VM is leaving.
    pub fn resign(&mut self) {
        self.held_buckets.clear();
        self.confirmed_at = Time(0);
    }

    /// Takes a token from this VM's local bucket.
    pub fn take_local(&mut self, tenant: &Tenant, now: Time) -> Grant {
        let members = self.max_members();
        let stale = self.confirmed_at.after(LOCAL_SHARE_MAX_AGE).passed(now);
        if stale || !self.local_from.passed(now) || !is_spread(tenant, members) {
            return Grant::NotHolder;
        }
        let share = LOCAL_SHARE / members as f64;
        let from = self.local_from;
        let empty = || Bucket::new(0.0, from);
        let local_bucket =
            self.local_buckets.entry(tenant.organisation.clone()).or_insert_with(empty);
        match local_bucket.take(tenant.rate_per_s * share, tenant.burst * share, now) {
            Ok(()) => Grant::Granted,
            Err(wait) => Grant::Exceeded(wait),
        }
    }

    /// Time until which this VM may grant tokens as a holder.
    fn holder_until(&self) -> Time {
        self.confirmed_at.after(holder_max_age(self.min_members()))
    }

    fn max_members(&self) -> usize {
        self.member_counts.iter().map(|(_, count)| *count).max().unwrap_or(1)
    }

    fn min_members(&self) -> usize {
        self.member_counts.iter().map(|(_, count)| *count).min().unwrap_or(1)
    }

    /// Grants a token from the shared bucket of an organisation, if this VM holds it.
    pub fn grant(&mut self, tenant: &Tenant, now: Time) -> Grant {
        if self.holder_until().passed(now) {
            return Grant::NotHolder;
        }
        let members = self.min_members();
        let Some(held_bucket) = self.held_buckets.get_mut(&tenant.organisation) else {
            return Grant::NotHolder;
        };
        if !held_bucket.from.passed(now) {
            return Grant::NotHolder;
        }
        let share = if is_spread(tenant, members) { 1.0 - LOCAL_SHARE } else { 1.0 };
        match held_bucket.bucket.take(tenant.rate_per_s * share, tenant.burst * share, now) {
            Ok(()) => Grant::Granted,
            Err(wait) => Grant::Exceeded(wait),
        }
    }

    /// Takes a token from this VM's reserve.
    pub fn take_reserve(&mut self, tenant: &Tenant, now: Time) -> Grant {
        let window = self.tolerance.window_s.max(0.1);
        let limit = tenant.rate_per_s * window + tenant.burst;
        let excess = (limit * self.tolerance.overrun + self.tolerance.slack) * RESERVE_SHARE;
        // Half may be used at once, the other half is refilled within the window.
        let half = excess / self.max_members() as f64 / 2.0;
        if half < 0.5 {
            return Grant::Exceeded(NO_HOLDER_RETRY);
        }
        let full = Bucket::new(half, now);
        let reserve = self.reserves.entry(tenant.organisation.clone()).or_insert(full);
        match reserve.take(half / window, half, now) {
            Ok(()) => Grant::Granted,
            Err(_) => Grant::Exceeded(NO_HOLDER_RETRY),
        }
    }
}

/// Maximum age of the list with which a holder grants tokens, in a fleet of `members`.
fn holder_max_age(members: usize) -> Duration {
    if members >= LARGE_FLEET { LARGE_FLEET_HOLDER_MAX_AGE } else { HOLDER_MAX_AGE }
}

/// Whether an organisation's burst is large enough to be spread: a local bucket
/// must hold at least one token.
fn is_spread(tenant: &Tenant, members: usize) -> bool {
    tenant.burst * LOCAL_SHARE >= members as f64
}

/// Whether the VM that would otherwise hold an organisation's bucket is leaving:
/// it stopped granting before it was marked as leaving.
fn resigned(members: &[Listed], organisation: &Organisation) -> bool {
    let staying = owner(members, organisation.as_str());
    let all: Vec<Listed> = members
        .iter()
        .map(|listed| {
            let mut listed = listed.clone();
            listed.member.leaving = false;
            listed
        })
        .collect();
    let first = owner(&all, organisation.as_str());
    first.map(|member| &member.vm) != staying.map(|member| &member.vm)
}
