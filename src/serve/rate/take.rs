//! Tokens, from the local, the shared and the reserve buckets of a VM.

use std::time::Duration;

use super::{Grant, LOCAL_SHARE, LOCAL_SHARE_MAX_AGE, Limiter};
use crate::clock::Time;
use crate::serve::bucket::Bucket;
use crate::serve::configuration::Tenant;
use crate::serve::reserve::{self, DEPUTY_MAX_AGE};

impl Limiter {
    /// Tokens with which a shared bucket begins after a crash.
    pub(super) fn credit(&self, tenant: &Tenant) -> f64 {
        let burst = tenant.burst * self.held_share(tenant);
        reserve::credit(tenant, self.tolerance).min(burst)
    }

    /// Share of a rate and burst that is not spread over the VMs.
    pub(super) fn held_share(&self, tenant: &Tenant) -> f64 {
        if is_spread(tenant, self.min_members()) { 1.0 - LOCAL_SHARE } else { 1.0 }
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

    /// Grants a token from the shared bucket of an organisation, if this VM holds it.
    pub fn grant(&mut self, tenant: &Tenant, now: Time) -> Grant {
        if !self.grants(&tenant.organisation, now) {
            return Grant::NotHolder;
        }
        let share = self.held_share(tenant);
        let Some(held_bucket) = self.held_buckets.get_mut(&tenant.organisation) else {
            return Grant::NotHolder;
        };
        match held_bucket.bucket.take(tenant.rate_per_s * share, tenant.burst * share, now) {
            Ok(()) => {
                let span = Duration::from_secs_f64(reserve::window_s(self.tolerance));
                held_bucket.granted.record(span, now);
                Grant::Granted
            }
            Err(wait) => {
                let limit = reserve::limit(tenant, self.tolerance) * share;
                let granted = held_bucket.granted.count(now) as f64;
                let is_short = granted + reserve::kept(tenant, self.tolerance) <= limit;
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
    pub fn take_deputy(&mut self, tenant: &Tenant, now: Time) -> Grant {
        if self.confirmed_at.after(DEPUTY_MAX_AGE).passed(now) {
            return Grant::NotHolder;
        }
        self.reserves.take_deputy(tenant, self.tolerance, now)
    }
}

/// Whether an organisation's burst is large enough to be spread: a local bucket
/// must hold at least one token.
fn is_spread(tenant: &Tenant, members: usize) -> bool {
    tenant.burst * LOCAL_SHARE >= members as f64
}
