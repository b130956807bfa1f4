//! Tokens, from the local, the shared and the reserve buckets of a VM.

use super::{Grant, LOCAL_SHARE, LOCAL_SHARE_MAX_AGE, LOCAL_SHARE_WITHOUT_DEPUTIES, Limiter};
use crate::clock::Time;
use crate::serve::bucket::Bucket;
use crate::serve::configuration::Tenant;
use crate::serve::reserve::{self, Claim, DEPUTY_MAX_AGE, MAX_DEPUTIES, Part};

impl Limiter {
    /// Tokens with which a shared bucket begins after a crash.
    pub(super) fn credit(&self, tenant: &Tenant) -> f64 {
        reserve::credit(tenant, self.tolerance).min(self.held_burst(tenant))
    }

    /// Share of a rate and burst that the holder grants: what is neither spread over the VMs nor
    /// kept by deputies.
    pub(super) fn held_share(&self, tenant: &Tenant) -> f64 {
        let local = if is_spread(tenant, self.min_members()) { self.local_share() } else { 0.0 };
        1.0 - local - self.kept_share(tenant)
    }

    /// Burst that the holder grants. A local bucket holds one token at least, so that all of them
    /// may hold more than their share.
    pub(super) fn held_burst(&self, tenant: &Tenant) -> f64 {
        let burst = tenant.burst * self.held_share(tenant);
        if !is_spread(tenant, self.min_members()) {
            return burst;
        }
        let local = tenant.burst * self.local_share();
        burst - (self.max_members() as f64 - local).max(0.0)
    }

    /// Share of a limit that its deputies keep, by any of the lists that may be in use.
    fn kept_share(&self, tenant: &Tenant) -> f64 {
        if !self.keeps_part() {
            return 0.0;
        }
        let most = self.window_members().min(MAX_DEPUTIES + 1);
        let least = self.min_members().min(most);
        let kept = (least..=most).map(|members| self.part(tenant, members).all_kept());
        kept.fold(0.0, f64::max) / reserve::limit(tenant, self.tolerance).max(1.0)
    }

    fn part(&self, tenant: &Tenant, members: usize) -> Part {
        Part::of(tenant, self.tolerance, members)
    }

    /// Number of deputies of an organisation.
    pub fn deputies(&self, tenant: &Tenant) -> usize {
        self.part(tenant, self.window_members()).deputies
    }

    /// Takes a token from this VM's local bucket.
    pub fn take_local(&mut self, tenant: &Tenant, now: Time) -> Grant {
        let members = self.max_members();
        let stale = self.confirmed_at.after(LOCAL_SHARE_MAX_AGE).passed(now);
        if stale || !self.local_from.passed(now) || !is_spread(tenant, members) {
            return Grant::NotHolder;
        }
        let share = self.local_share() / members as f64;
        let from = self.local_from;
        let empty = || Bucket::new(0.0, from);
        let local_bucket =
            self.local_buckets.entry(tenant.organisation.clone()).or_insert_with(empty);
        match local_bucket.take(tenant.rate_per_s * share, tenant.burst * share, now) {
            Ok(()) => Grant::Granted,
            Err(wait) => Grant::Exceeded(wait),
        }
    }

    /// Grants a token from the shared bucket of an organisation, if this VM holds it.
    pub fn grant(&mut self, tenant: &Tenant, now: Time) -> Grant {
        if !self.grants(&tenant.organisation, now) {
            return Grant::NotHolder;
        }
        let (share, burst) = (self.held_share(tenant), self.held_burst(tenant));
        let Some(held_bucket) = self.held_buckets.get_mut(&tenant.organisation) else {
            return Grant::NotHolder;
        };
        match held_bucket.bucket.take(tenant.rate_per_s * share, burst, now) {
            Ok(()) => {
                held_bucket.granted.record(reserve::window(self.tolerance), now);
                Grant::Granted
            }
            Err(wait) => {
                let limit = reserve::limit(tenant, self.tolerance) * share;
                let granted = held_bucket.granted.count(now) as f64;
                let is_short = granted + reserve::kept_excess(tenant, self.tolerance) <= limit;
                if is_short { Grant::Short(wait) } else { Grant::Exceeded(wait) }
            }
        }
    }

    /// Takes a token from this VM's reserve.
    pub fn take_reserve(&mut self, tenant: &Tenant, now: Time) -> Grant {
        let members = self.max_members();
        self.reserves.take_split(tenant, self.tolerance, members, now)
    }

    /// Takes a token from the reserve that this VM keeps as a deputy.
    pub fn take_deputy(&mut self, tenant: &Tenant, claim: Claim, now: Time) -> Grant {
        if self.confirmed_at.after(DEPUTY_MAX_AGE).passed(now) {
            return Grant::NotHolder;
        }
        let part = self.part(tenant, self.window_members());
        self.reserves.take_deputy(tenant, self.tolerance, part, claim, now)
    }

    /// Share of each rate and burst that is spread over the members, if it is spread.
    fn local_share(&self) -> f64 {
        if self.keeps_part() { LOCAL_SHARE } else { LOCAL_SHARE_WITHOUT_DEPUTIES }
    }

    /// Whether some deputy may keep a part of each limit: all members do so, or did lately.
    fn keeps_part(&self) -> bool {
        !self.kept_until.passed(self.applied_at())
    }
}

/// Whether an organisation's burst is large enough to be spread; the same in all versions.
fn is_spread(tenant: &Tenant, members: usize) -> bool {
    tenant.burst * LOCAL_SHARE_WITHOUT_DEPUTIES >= members as f64
}
