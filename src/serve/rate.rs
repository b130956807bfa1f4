//! Rate and burst of each organisation, over all VMs together.
//!
//! One VM, chosen by the members' list, holds an organisation's bucket and
//! grants its tokens to all others. It grants only while its view of the list
//! is younger than `AUTHORITY`, and a new holder begins only when that time has
//! passed since it first saw itself named: so two VMs never grant at once,
//! however long either was cut off or suspended. While the holder can't be
//! asked, each VM spends from a small reserve, sized so that all reserves
//! together stay within the tolerance of the bound.
//!
//! Answers the load of one organisation that sends many times its rate.

use std::collections::HashMap;
use std::time::Duration;

use super::configuration::Tenant;
use super::member::{Listed, owner};
use crate::clock::Time;
use crate::id::{Organisation, Vm};

/// Age of the members' list up to which a holder grants.
pub const AUTHORITY: Duration = Duration::from_millis(4_800);
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

/// Buckets that this VM holds, and its reserves.
pub struct Ledger {
    vm: Vm,
    tolerance: Tolerance,
    tenures: HashMap<Organisation, Tenure>,
    reserves: HashMap<Organisation, Bucket>,
    /// When the read that showed the present list was sent.
    confirmed: Time,
    /// Most members that were listed at once.
    most_members: usize,
    begun: bool,
}

impl Ledger {
    /// An empty ledger for `vm`.
    pub fn new(vm: Vm, tolerance: Tolerance) -> Self {
        Self {
            vm,
            tolerance,
            tenures: HashMap::new(),
            reserves: HashMap::new(),
            confirmed: Time(0),
            most_members: 1,
            begun: false,
        }
    }

    /// Takes a members' list that was read by a call sent at `asked` and
    /// answered at `now`. `inherited` says that this VM's own entry stood in
    /// the list before its process registered, so nobody else held its
    /// buckets since its last run.
    pub fn update(
        &mut self,
        members: &[Listed],
        tenants: &[Tenant],
        inherited: bool,
        asked: Time,
        now: Time,
    ) {
        let uninterrupted = self.begun && !self.confirmed.after(AUTHORITY).passed(now);
        self.confirmed = self.confirmed.max(asked);
        self.most_members = self.most_members.max(members.len());
        let begins_at_once = !self.begun && inherited;
        self.begun = true;
        for tenant in tenants {
            let ours = owner(members, tenant.organisation.as_str())
                .is_some_and(|member| member.vm == self.vm);
            let held = self.tenures.get_mut(&tenant.organisation);
            match (ours, held) {
                (true, Some(tenure)) if !uninterrupted => tenure.from = now.after(AUTHORITY),
                (true, Some(_)) => {}
                (true, None) => {
                    let free = begins_at_once || resigned(members, &tenant.organisation);
                    let from = if free { now } else { now.after(AUTHORITY) };
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
        self.confirmed = Time(0);
    }

    /// Grants a token of an organisation whose bucket this VM holds.
    pub fn grant(&mut self, tenant: &Tenant, now: Time) -> Grant {
        if self.confirmed.after(AUTHORITY).passed(now) {
            return Grant::NotHolder;
        }
        let Some(tenure) = self.tenures.get_mut(&tenant.organisation) else {
            return Grant::NotHolder;
        };
        if !tenure.from.passed(now) {
            return Grant::NotHolder;
        }
        match tenure.bucket.take(tenant.rate_per_s, tenant.burst, now) {
            Ok(()) => Grant::Granted,
            Err(wait) => Grant::Exceeded(wait),
        }
    }

    /// Takes a token from this VM's reserve.
    pub fn spend_reserve(&mut self, tenant: &Tenant, now: Time) -> Grant {
        let window = self.tolerance.window_s.max(0.1);
        let bound = tenant.rate_per_s * window + tenant.burst;
        let excess = (bound * self.tolerance.overrun + self.tolerance.slack) * RESERVE_SHARE;
        // Half may be spent at once, half comes back within the window.
        let half = excess / self.most_members as f64 / 2.0;
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
