//! Bounds on retries, so that failures can't multiply the load.
//!
//! Each request adds a part of a retry to its organisation's and its
//! upstream's account; a retry takes a whole one from both. A small reserve
//! refills with time, so that little traffic may be retried as well.

use std::collections::HashMap;
use std::hash::Hash;

use crate::clock::Time;
use crate::id::{Organisation, Upstream};

/// Retries that one request pays for, in thousandths.
const DEPOSIT_MILLI: u64 = 200;
/// Price of a retry, in thousandths.
const RETRY_MILLI: u64 = 1_000;
/// Most that an account holds, in thousandths: one busy upstream's requests.
const LIMIT_MILLI: u64 = 64_000;
/// What an account gains a second without any request, in thousandths.
const REFILL_MILLI_PER_SECOND: u64 = 4_000;
/// Accounts kept before idle ones are dropped.
const MAX_ACCOUNTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Account {
    milli: u64,
    at: Time,
}

impl Account {
    fn refill(&mut self, now: Time) {
        let micros = self.at.until(now).as_micros() as u64;
        let gained = micros.saturating_mul(REFILL_MILLI_PER_SECOND) / 1_000_000;
        if gained > 0 {
            self.at = now;
            self.milli = self.milli.saturating_add(gained).min(LIMIT_MILLI);
        }
    }
}

/// Accounts of one VM.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    organisations: HashMap<Organisation, Account>,
    upstreams: HashMap<Upstream, Account>,
}

impl Budget {
    /// Notes a request's first send.
    pub fn deposit(&mut self, organisation: &Organisation, upstream: &Upstream, now: Time) {
        for account in [
            account(&mut self.organisations, organisation, now),
            account(&mut self.upstreams, upstream, now),
        ] {
            account.milli = (account.milli + DEPOSIT_MILLI).min(LIMIT_MILLI);
        }
    }

    /// Takes a retry after `upstream` failed; false when the budget is used up.
    pub fn withdraw(
        &mut self,
        organisation: &Organisation,
        upstream: &Upstream,
        now: Time,
    ) -> bool {
        let own = account(&mut self.organisations, organisation, now);
        let theirs = account(&mut self.upstreams, upstream, now);
        if own.milli < RETRY_MILLI || theirs.milli < RETRY_MILLI {
            return false;
        }
        own.milli -= RETRY_MILLI;
        theirs.milli -= RETRY_MILLI;
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
            account.milli < LIMIT_MILLI
        });
    }
    let new = Account { milli: LIMIT_MILLI, at: now };
    let account = accounts.entry(key.clone()).or_insert(new);
    account.refill(now);
    account
}
