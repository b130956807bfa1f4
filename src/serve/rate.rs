//! Rate and burst of each organisation, over all VMs together.
//!
//! An organisation's rate and burst are divided into two parts. `LOCAL_SHARE`
//! of them is spread evenly over the members, and each spends its own piece
//! without asking. The rest lies with one VM, chosen by the members' list,
//! which grants it to whoever has used up its piece. So a lost or changing
//! holder costs little, and callers that come unevenly find the pooled rest.
//!
//! The pieces never add up to more than the whole. A VM that joins begins to
//! spend only after `PIECE_TRUST`; one whose list is older than that stops;
//! and the number of pieces is the largest number of members seen within that
//! time. Likewise a new holder begins after `HOLDER_TRUST`, or at once if the
//! one before has resigned. Beyond that each VM spends from a small
//! reserve, sized so that all reserves stay within the bound's tolerance.
//!
//! Answers the load of one organisation that sends many times its rate.

use std::collections::HashMap;
use std::time::Duration;

use super::configuration::Tenant;
use super::member::{Listed, owner};
use crate::clock::Time;
use crate::id::{Organisation, Vm};

/// Age of the members' list up to which a VM spends its piece.
pub const LOCAL_SHARE_MAX_AGE: Duration = Duration::from_millis(4_800);
/// Age of the members' list up to which a holder grants. Shorter, so that a
/// lost holder is replaced soon; pieces last through a short outage.
pub const HOLDER_MAX_AGE: Duration = Duration::from_millis(2_400);
/// Part of each rate and burst that is spread over the members.
pub const LOCAL_SHARE: f64 = 0.6;
/// Wait named to callers when the holder can't be asked.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);
/// Share of the tolerated excess that the reserves use.
const RESERVE_SHARE: f64 = 0.7;

/// How far the bound may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window over which requests are counted, in seconds.
    pub window_s: f64,
    /// Tolerated share above the bound.
    pub overrun: f64,
    /// Tolerated requests above that.
    pub slack: f64,
}

/// The answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The request may run.
    Granted,
    /// The rate is used up; a token is expected after this wait.
    Exceeded(Duration),
    /// This VM doesn't hold the bucket, or can't be sure that it does.
    NotHolder,
}

/// Tokens that come back at a steady rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    updated: Time,
}

impl Bucket {
    /// A bucket with `tokens` at `now`.
    pub fn new(tokens: f64, now: Time) -> Self {
        Self { tokens, updated: now }
    }

    /// Takes one token, or says how long it takes until one is there.
    pub fn take(&mut self, rate_per_s: f64, burst: f64, now: Time) -> Result<(), Duration> {
        let since = self.updated.until(now).as_secs_f64();
        self.tokens = (self.tokens + since * rate_per_s).min(burst.max(1.0));
        self.updated = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / rate_per_s.max(0.01);
        Err(Duration::from_secs_f64(wait.min(60.0)))
    }
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    /// Grants begin here.
    from: Time,
    bucket: Bucket,
}

/// What an earlier run of this VM's process left in the members' list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// No entry: others don't count this VM.
    #[default]
    None,
    /// The entry of a run that left as planned: others count this VM, and have
    /// taken over what it held.
    Left,
    /// The entry of a run that crashed: others count this VM, and nobody has
    /// taken over what it held.
    Crashed,
}

/// Buckets that this VM holds, its pieces and its reserves.
pub struct Limiter {
    vm: Vm,
    tolerance: Tolerance,
    tenures: HashMap<Organisation, Tenure>,
    pieces: HashMap<Organisation, Bucket>,
    reserves: HashMap<Organisation, Bucket>,
    /// When the read that showed the present list was sent.
    confirmed_at: Time,
    /// Numbers of members, with the time until which each counts.
    sizes: Vec<(Time, usize)>,
    /// Pieces are spent from here on.
    spends_from: Time,
    /// Members with the versions of their entries, as last read.
    list: Vec<(Vm, u64)>,
}

impl Limiter {
    /// An empty ledger for `vm`.
    pub fn new(vm: Vm, tolerance: Tolerance) -> Self {
        Self {
            vm,
            tolerance,
            tenures: HashMap::new(),
            pieces: HashMap::new(),
            reserves: HashMap::new(),
            confirmed_at: Time(0),
            sizes: Vec::new(),
            spends_from: Time::NEVER,
            list: Vec::new(),
        }
    }

    /// Takes a members' list that was read by a call sent at `asked` and
    /// answered at `now`.
    pub fn update(
        &mut self,
        members: &[Listed],
        tenants: &[Tenant],
        predecessor: Predecessor,
        asked: Time,
        now: Time,
    ) {
        let untrusted = self.confirmed_at.after(LOCAL_SHARE_MAX_AGE).passed(now);
        let lapsed = self.confirmed_at.after(HOLDER_MAX_AGE).passed(now);
        let list: Vec<(Vm, u64)> =
            members.iter().map(|listed| (listed.member.vm.clone(), listed.version)).collect();
        let own = |list: &[(Vm, u64)]| list.iter().find(|(vm, _)| vm == &self.vm).cloned();
        let first = self.list.is_empty();
        let counted = !first && (!untrusted || own(&list) == own(&self.list));
        let named = !first && (!lapsed || list == self.list);
        let begins_at_once = first && predecessor == Predecessor::Crashed;
        if !counted {
            let others_count_us = first && predecessor != Predecessor::None;
            self.spends_from = if others_count_us { now } else { now.after(LOCAL_SHARE_MAX_AGE) };
            self.pieces.clear();
        }
        self.confirmed_at = self.confirmed_at.max(asked);
        self.sizes.retain(|(until, _)| !until.passed(now));
        self.sizes.push((now.after(LOCAL_SHARE_MAX_AGE), members.len().max(1)));
        self.list = list;
        for tenant in tenants {
            let ours = owner(members, tenant.organisation.as_str())
                .is_some_and(|member| member.vm == self.vm);
            let held = self.tenures.get_mut(&tenant.organisation);
            match (ours, held) {
                (true, Some(tenure)) if !named => tenure.from = now.after(HOLDER_MAX_AGE),
                (true, Some(_)) => {}
                (true, None) => {
                    let free = begins_at_once || resigned(members, &tenant.organisation);
                    let from = if free { now } else { now.after(HOLDER_MAX_AGE) };
                    let tenure = Tenure { from, bucket: Bucket::new(0.0, from) };
                    self.tenures.insert(tenant.organisation.clone(), tenure);
                }
                (false, _) => {
                    self.tenures.remove(&tenant.organisation);
                }
            }
        }
    }

    /// Stops granting for good: this VM is leaving.
    pub fn resign(&mut self) {
        self.tenures.clear();
        self.confirmed_at = Time(0);
    }

    /// Takes a token from this VM's own piece.
    pub fn take_local(&mut self, tenant: &Tenant, now: Time) -> Grant {
        let members = self.most_members();
        let stale = self.confirmed_at.after(LOCAL_SHARE_MAX_AGE).passed(now);
        if stale || !self.spends_from.passed(now) || !is_spread(tenant, members) {
            return Grant::NotHolder;
        }
        let part = LOCAL_SHARE / members as f64;
        let from = self.spends_from;
        let empty = || Bucket::new(0.0, from);
        let piece = self.pieces.entry(tenant.organisation.clone()).or_insert_with(empty);
        match piece.take(tenant.rate_per_s * part, tenant.burst * part, now) {
            Ok(()) => Grant::Granted,
            Err(wait) => Grant::Exceeded(wait),
        }
    }

    fn most_members(&self) -> usize {
        self.sizes.iter().map(|(_, size)| *size).max().unwrap_or(1)
    }

    fn fewest_members(&self) -> usize {
        self.sizes.iter().map(|(_, size)| *size).min().unwrap_or(1)
    }

    /// Grants a token of an organisation whose bucket this VM holds.
    pub fn grant(&mut self, tenant: &Tenant, now: Time) -> Grant {
        if self.confirmed_at.after(HOLDER_MAX_AGE).passed(now) {
            return Grant::NotHolder;
        }
        let members = self.fewest_members();
        let Some(tenure) = self.tenures.get_mut(&tenant.organisation) else {
            return Grant::NotHolder;
        };
        if !tenure.from.passed(now) {
            return Grant::NotHolder;
        }
        let part = if is_spread(tenant, members) { 1.0 - LOCAL_SHARE } else { 1.0 };
        match tenure.bucket.take(tenant.rate_per_s * part, tenant.burst * part, now) {
            Ok(()) => Grant::Granted,
            Err(wait) => Grant::Exceeded(wait),
        }
    }

    /// Takes a token from this VM's reserve.
    pub fn take_reserve(&mut self, tenant: &Tenant, now: Time) -> Grant {
        let window = self.tolerance.window_s.max(0.1);
        let bound = tenant.rate_per_s * window + tenant.burst;
        let excess = (bound * self.tolerance.overrun + self.tolerance.slack) * RESERVE_SHARE;
        // Half may be spent at once, half comes back within the window.
        let half = excess / self.most_members() as f64 / 2.0;
        if half < 0.5 {
            return Grant::Exceeded(UNREACHABLE_RETRY);
        }
        let full = Bucket::new(half, now);
        let reserve = self.reserves.entry(tenant.organisation.clone()).or_insert(full);
        match reserve.take(half / window, half, now) {
            Ok(()) => Grant::Granted,
            Err(_) => Grant::Exceeded(UNREACHABLE_RETRY),
        }
    }
}

/// Whether an organisation's burst is large enough to be spread: a piece must
/// hold a whole token.
fn is_spread(tenant: &Tenant, members: usize) -> bool {
    tenant.burst * LOCAL_SHARE >= members as f64
}

/// Whether the VM that would hold an organisation's bucket is leaving: it
/// stopped granting before it said so.
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
