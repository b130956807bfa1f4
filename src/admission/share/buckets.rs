//! One VM's slices of all organisations, and until when they may be spent.
//!
//! The buckets is valid until a deadline that only confirmations of its table
//! move. Past it nothing is granted, lent or refilled: others may by then
//! spend this VM's share.

use std::collections::BTreeMap;
use std::time::Duration;

use super::bucket::{Bucket, Slice, TOKEN};
use crate::clock::Time;
use crate::id::Organisation;

/// How long lent tokens may be spent, from the moment they were asked for.
pub const LOAN_TTL: Duration = Duration::from_millis(100);
/// How long a lender counts lent tokens: longer than any borrower's clock
/// takes for `LOAN_TTL`.
pub const LENDER_LOAN_TTL: Duration = Duration::from_millis(110);

/// Why no token was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The table isn't confirmed; another VM may serve.
    Unconfirmed,
    /// No token before this time.
    Until(Time),
}

/// Slices and balances of one VM.
#[derive(Clone, Debug)]
pub struct Buckets {
    buckets: BTreeMap<Organisation, Bucket>,
    valid: Time,
}

impl Default for Buckets {
    fn default() -> Self {
        Self { buckets: BTreeMap::new(), valid: Time(0) }
    }
}

impl Buckets {
    /// Until when the slices may be spent.
    pub fn valid_until(&self) -> Time {
        self.valid
    }

    /// Moves the deadline. Time that passed beyond the old one brings nothing.
    pub fn extend(&mut self, valid: Time, now: Time) {
        self.refill(now);
        self.valid = self.valid.max(valid);
    }

    /// Sets every slice; organisations that aren't named lose theirs.
    pub fn set(&mut self, slices: &BTreeMap<Organisation, Slice>, now: Time) {
        self.refill(now);
        for (organisation, bucket) in &mut self.buckets {
            bucket.set(slices.get(organisation).copied().unwrap_or_default(), now.min(self.valid));
        }
        for (organisation, slice) in slices {
            self.buckets.entry(organisation.clone()).or_insert_with(|| Bucket::new(*slice, now));
        }
    }

    /// Takes one token of `organisation`.
    pub fn take(&mut self, organisation: &Organisation, now: Time) -> Result<(), Denial> {
        if self.valid.passed(now) {
            return Err(Denial::Unconfirmed);
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Err(Denial::Until(Time::NEVER));
        };
        bucket.take(now).map_err(Denial::Until)
    }

    /// Gives the latest grant back.
    pub fn refund(&mut self, organisation: &Organisation, now: Time) {
        if self.valid.passed(now) {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.refund(now);
        }
    }

    /// Millionths that are missing for one token of `organisation`.
    pub fn missing(&self, organisation: &Organisation) -> u64 {
        self.buckets.get(organisation).map_or(TOKEN, Bucket::missing)
    }

    /// Lends `want` millionths or none; they have left this VM when this
    /// returns.
    pub fn lend(&mut self, organisation: &Organisation, want: u64, now: Time) -> u64 {
        if self.valid.passed(now) {
            return 0;
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else { return 0 };
        bucket.lend(want, now, now.after(LENDER_LOAN_TTL))
    }

    /// Keeps millionths that were asked for at `asked`.
    pub fn receive(&mut self, organisation: &Organisation, count: u64, asked: Time, now: Time) {
        let until = asked.after(LOAN_TTL);
        if count == 0 || until.passed(now) {
            return;
        }
        let empty = || Bucket::new(Slice::default(), now);
        self.buckets.entry(organisation.clone()).or_insert_with(empty).receive(count, until);
    }

    /// When `want` millionths will be here to lend.
    pub fn next(&self, organisation: &Organisation, want: u64, now: Time) -> Time {
        self.buckets.get(organisation).map_or(Time::NEVER, |bucket| bucket.next(want, now))
    }

    /// When the next token of `organisation` will be here.
    pub fn next_token(&self, organisation: &Organisation, now: Time) -> Time {
        self.buckets.get(organisation).map_or(Time::NEVER, |bucket| bucket.next_token(now))
    }

    /// Slices as they stand.
    pub fn slices(&self) -> BTreeMap<Organisation, Slice> {
        self.buckets.iter().map(|(name, bucket)| (name.clone(), bucket.slice())).collect()
    }

    /// Whether every bucket's lent tokens fit into its slice.
    pub fn settled(&mut self, now: Time) -> bool {
        self.refill(now);
        self.buckets.values().all(|bucket| bucket.lent() <= bucket.slice().burst)
    }

    fn refill(&mut self, now: Time) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(now.min(self.valid));
            bucket.skip(now);
        }
    }
}
