//! One VM's buckets for all organisations.
//!
//! The buckets are valid until a deadline that only confirmations of the share table extend.
//! After it nothing is granted, lent or refilled, because other VMs may be spending this VM's
//! share by then.

use std::collections::BTreeMap;
use std::time::Duration;

use super::bucket::{Bucket, Slice, TOKEN};
use crate::clock::Time;
use crate::id::Organisation;

/// How long borrowed tokens may be spent, from the time of the request.
pub const LOAN_TTL: Duration = Duration::from_millis(100);
/// How long a lender counts lent tokens. Longer than `LOAN_TTL`, to allow for a borrower whose
/// clock runs slow.
pub const LENDER_LOAN_TTL: Duration = Duration::from_millis(110);

/// Why no token was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The table isn't confirmed; another VM may still grant the request.
    Unconfirmed,
    /// No token is available before this time.
    Until(Time),
}

/// Buckets of one VM, by organisation.
#[derive(Clone, Debug)]
pub struct Buckets {
    buckets: BTreeMap<Organisation, Bucket>,
    valid_until: Time,
}

impl Default for Buckets {
    fn default() -> Self {
        Self { buckets: BTreeMap::new(), valid_until: Time(0) }
    }
}

impl Buckets {
    /// Deadline until which the slices may be spent.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Extends the deadline. Time that passed beyond the old one adds no tokens.
    pub fn extend(&mut self, valid_until: Time, now: Time) {
        self.refill(now);
        self.valid_until = self.valid_until.max(valid_until);
    }

    /// Replaces all slices; organisations not in `slices` lose theirs.
    pub fn set(&mut self, slices: &BTreeMap<Organisation, Slice>, now: Time) {
        self.refill(now);
        for (organisation, bucket) in &mut self.buckets {
            bucket.set(
                slices.get(organisation).copied().unwrap_or_default(),
                now.min(self.valid_until),
            );
        }
        for (organisation, slice) in slices {
            self.buckets.entry(organisation.clone()).or_insert_with(|| Bucket::new(*slice, now));
        }
    }

    /// Takes one token of `organisation`.
    pub fn take(&mut self, organisation: &Organisation, now: Time) -> Result<(), Denial> {
        if self.valid_until.passed(now) {
            return Err(Denial::Unconfirmed);
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Err(Denial::Until(Time::NEVER));
        };
        bucket.take(now).map_err(Denial::Until)
    }

    /// Refunds the latest grant.
    pub fn refund(&mut self, organisation: &Organisation, now: Time) {
        if self.valid_until.passed(now) {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.refund(now);
        }
    }

    /// Millionths missing to a whole token of `organisation`.
    pub fn missing(&self, organisation: &Organisation) -> u64 {
        self.buckets.get(organisation).map_or(TOKEN, Bucket::missing)
    }

    /// Lends `want` millionths or none; they are deducted before this returns.
    pub fn lend(&mut self, organisation: &Organisation, want: u64, now: Time) -> u64 {
        if self.valid_until.passed(now) {
            return 0;
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else { return 0 };
        bucket.lend(want, now, now.after(LENDER_LOAN_TTL))
    }

    /// Adds borrowed millionths that were requested at `requested_at`.
    pub fn receive(
        &mut self,
        organisation: &Organisation,
        count: u64,
        requested_at: Time,
        now: Time,
    ) {
        let until = requested_at.after(LOAN_TTL);
        if count == 0 || until.passed(now) {
            return;
        }
        let empty = || Bucket::new(Slice::default(), now);
        self.buckets.entry(organisation.clone()).or_insert_with(empty).receive(count, until);
    }

    /// Time at which `want` millionths are available to lend.
    pub fn available_at(&self, organisation: &Organisation, want: u64, now: Time) -> Time {
        self.buckets.get(organisation).map_or(Time::NEVER, |bucket| bucket.available_at(want, now))
    }

    /// Time at which the next token of `organisation` is available.
    pub fn next_token(&self, organisation: &Organisation, now: Time) -> Time {
        self.buckets.get(organisation).map_or(Time::NEVER, |bucket| bucket.next_token(now))
    }

    /// Current slices, by organisation.
    pub fn slices(&self) -> BTreeMap<Organisation, Slice> {
        self.buckets.iter().map(|(name, bucket)| (name.clone(), bucket.slice())).collect()
    }

    /// Whether every bucket's lent tokens fit into its slice.
    pub fn loans_fit(&mut self, now: Time) -> bool {
        self.refill(now);
        self.buckets.values().all(|bucket| bucket.lent() <= bucket.slice().burst)
    }

    fn refill(&mut self, now: Time) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(now.min(self.valid_until));
            bucket.skip_to(now);
        }
    }
}
