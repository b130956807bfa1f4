//! Retry budgets, which keep retries from multiplying the load during failures.
//!
//! Each request deposits a fraction of a retry into the account of its
//! organisation and of its upstream; a retry withdraws a whole one from both.
//! Accounts also refill slowly over time, so that retries are possible at low
//! traffic.

use std::collections::HashMap;
use std::hash::Hash;

use crate::clock::Time;
use crate::id::{Organisation, Upstream};

/// Amount that one request deposits, in thousandths of a retry.
const DEPOSIT_MILLI: u64 = 200;
/// Amount that one retry withdraws, in thousandths of a retry.
const RETRY_MILLI: u64 = 1_000;
/// Maximum balance of an account, in thousandths of a retry: as many retries as a busy upstream
/// has requests in flight.
const MAX_MILLI: u64 = 64_000;
/// Amount that an account gains per second without requests, in thousandths of a retry.
const REFILL_MILLI_PER_SECOND: u64 = 4_000;
/// Number of accounts at which idle ones, whose balance is full, are dropped.
const MAX_ACCOUNTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Account {
    milli: u64,
    refilled_at: Time,
}

impl Account {
    fn refill(&mut self, now: Time) {
        let micros = self.refilled_at.until(now).as_micros() as u64;
        let refilled = micros.saturating_mul(REFILL_MILLI_PER_SECOND) / 1_000_000;
        if refilled > 0 {
            self.refilled_at = now;
            self.milli = self.milli.saturating_add(refilled).min(MAX_MILLI);
        }
    }
}

/// Retry budgets of all organisations and upstreams, as seen by one VM.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    organisations: HashMap<Organisation, Account>,
    upstreams: HashMap<Upstream, Account>,
}

impl Budget {
    /// Deposits for a request when it is first sent.
    pub fn deposit(&mut self, organisation: &Organisation, upstream: &Upstream, now: Time) {
        for account in [
            account(&mut self.organisations, organisation, now),
            account(&mut self.upstreams, upstream, now),
        ] {
            account.milli = (account.milli + DEPOSIT_MILLI).min(MAX_MILLI);
        }
    }

    /// Withdraws a retry after `upstream` failed; returns false if a budget is exhausted.
    pub fn withdraw(
        &mut self,
        organisation: &Organisation,
        upstream: &Upstream,
        now: Time,
    ) -> bool {
        let organisation_account = account(&mut self.organisations, organisation, now);
        let upstream_account = account(&mut self.upstreams, upstream, now);
        if organisation_account.milli < RETRY_MILLI || upstream_account.milli < RETRY_MILLI {
            return false;
        }
        organisation_account.milli -= RETRY_MILLI;
        upstream_account.milli -= RETRY_MILLI;
        true
    }
}

fn account<'a, K>(accounts: &'a mut HashMap<K, Account>, key: &K, now: Time) -> &'a mut Account
where
    K: Clone + Eq + Hash,
{
    if accounts.len() >= MAX_ACCOUNTS && !accounts.contains_key(key) {
        accounts.retain(|_, account| {
            account.refill(now);
            account.milli < MAX_MILLI
        });
    }
    let full = Account { milli: MAX_MILLI, refilled_at: now };
    let account = accounts.entry(key.clone()).or_insert(full);
    account.refill(now);
    account
}
