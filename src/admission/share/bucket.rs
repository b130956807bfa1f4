//! Token bucket of one organisation on one VM.
//!
//! Tokens are counted in millionths, so rounding never creates any. The headroom of a bucket is
//! its slice's burst minus lent tokens and recent grants. A token counts against the headroom
//! until it can no longer be spent, so all VMs together never exceed the burst.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Millionths of a token in one token.
pub const TOKEN: u64 = 1_000_000;
/// Microseconds in a second.
const SECOND_US: u128 = 1_000_000;
/// How long a granted token may still be refunded.
pub const REFUND_WINDOW: Duration = Duration::from_millis(10);

/// One VM's part of an organisation's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Slice {
    /// Refill rate, in millionths of a token per second.
    pub rate: u64,
    /// Burst size, in millionths of a token.
    pub burst: u64,
}

impl Slice {
    /// The component-wise minimum.
    pub fn min(self, other: Slice) -> Slice {
        Slice { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// Whether the rate or the burst is below that of `other`.
    pub fn falls_below(self, other: Slice) -> bool {
        self.rate < other.rate || self.burst < other.burst
    }
}

/// Tokens that are tracked until they expire, in millionths.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    amount: u64,
    until: Time,
}

/// Token bucket over one slice, with loans to and from other VMs.
#[derive(Clone, Debug)]
pub struct Bucket {
    slice: Slice,
    balance: u64,
    remainder: u64,
    refilled_at: Time,
    granted: VecDeque<Outstanding>,
    lent: VecDeque<Outstanding>,
    borrowed: VecDeque<Outstanding>,
}

impl Bucket {
    /// Creates an empty bucket: it is unknown how much an earlier holder has spent.
    pub fn new(slice: Slice, now: Time) -> Self {
        Self {
            slice,
            balance: 0,
            remainder: 0,
            refilled_at: now,
            granted: VecDeque::new(),
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
        }
    }

    /// The slice that refills this bucket.
    pub fn slice(&self) -> Slice {
        self.slice
    }

    /// Available tokens, in millionths.
    pub fn balance(&self) -> u64 {
        self.balance
    }

    /// Lent tokens that may still be spent elsewhere, in millionths.
    pub fn lent(&self) -> u64 {
        sum(&self.lent)
    }

    /// Changes the slice; tokens above the new headroom are dropped.
    pub fn set(&mut self, slice: Slice, now: Time) {
        self.refill(now);
        self.slice = slice;
        self.balance = self.balance.min(self.headroom());
    }

    /// Adds the tokens accrued until `now`.
    ///
    /// Proceeds from expiry to expiry, because time before an expiry must not fill the headroom
    /// that the expiry frees.
    pub fn refill(&mut self, now: Time) {
        expire(&mut self.borrowed, now);
        while let Some(expiry) = self.next_expiry().filter(|expiry| expiry.passed(now)) {
            self.accrue(expiry);
            expire(&mut self.lent, expiry);
            expire(&mut self.granted, expiry);
        }
        self.accrue(now);
    }

    /// Advances the refill time to `now` without adding tokens.
    pub fn skip_to(&mut self, now: Time) {
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one token, or returns the time at which the next one is available.
    pub fn take(&mut self, now: Time) -> Result<(), Time> {
        self.refill(now);
        if self.missing() > 0 {
            return Err(self.next_token(now));
        }
        let from_balance = TOKEN - self.take_borrowed(TOKEN);
        if from_balance > 0 {
            self.balance -= from_balance;
            self.granted
                .push_back(Outstanding { amount: from_balance, until: now.after(REFUND_WINDOW) });
        }
        Ok(())
    }

    /// Refunds the latest grant if its refund window is still open.
    pub fn refund(&mut self, now: Time) {
        self.refill(now);
        if let Some(grant) = self.granted.pop_back() {
            self.balance = (self.balance + grant.amount).min(self.headroom());
        }
    }

    /// Millionths missing to a whole token.
    pub fn missing(&self) -> u64 {
        TOKEN.saturating_sub(self.balance.saturating_add(sum(&self.borrowed)))
    }

    /// Lends `want` millionths to be spent before `until`, or none: with less, the borrower would
    /// not reach a whole token.
    pub fn lend(&mut self, want: u64, now: Time, until: Time) -> u64 {
        self.refill(now);
        if want == 0 || self.balance < want {
            return 0;
        }
        self.balance -= want;
        self.lent.push_back(Outstanding { amount: want, until });
        want
    }

    /// Adds borrowed millionths, which can be spent until they expire.
    pub fn receive(&mut self, amount: u64, until: Time) {
        self.borrowed.push_back(Outstanding { amount, until });
    }

    /// Time at which the next whole token is available.
    pub fn next_token(&self, now: Time) -> Time {
        self.available_at(TOKEN, now)
    }

    /// Time at which `want` millionths are available.
    pub fn available_at(&self, want: u64, now: Time) -> Time {
        let missing = want.saturating_sub(self.balance);
        if self.slice.rate == 0 || self.slice.burst < want {
            return Time::NEVER;
        }
        let delay = (u128::from(missing) * SECOND_US).div_ceil(u128::from(self.slice.rate));
        Time(now.0.saturating_add(u64::try_from(delay).unwrap_or(u64::MAX)))
    }

    fn next_expiry(&self) -> Option<Time> {
        let first = |all: &VecDeque<Outstanding>| all.front().map(|entry| entry.until);
        first(&self.lent).into_iter().chain(first(&self.granted)).min()
    }

    fn accrue(&mut self, now: Time) {
        let elapsed = now.0.saturating_sub(self.refilled_at.0);
        let accrued =
            u128::from(self.slice.rate) * u128::from(elapsed) + u128::from(self.remainder);
        self.refilled_at = self.refilled_at.max(now);
        self.remainder = (accrued % SECOND_US) as u64;
        let accrued = u64::try_from(accrued / SECOND_US).unwrap_or(u64::MAX);
        self.balance = self.balance.saturating_add(accrued).min(self.headroom());
    }

    fn take_borrowed(&mut self, max: u64) -> u64 {
        let mut taken = 0;
        while let Some(loan) = self.borrowed.front_mut().filter(|_| taken < max) {
            let part = loan.amount.min(max - taken);
            loan.amount -= part;
            taken += part;
            if loan.amount == 0 {
                self.borrowed.pop_front();
            }
        }
        taken
    }

    fn headroom(&self) -> u64 {
        self.slice.burst.saturating_sub(sum(&self.lent) + sum(&self.granted))
    }
}

fn sum(all: &VecDeque<Outstanding>) -> u64 {
    all.iter().map(|entry| entry.amount).sum()
}

fn expire(all: &mut VecDeque<Outstanding>, now: Time) {
    all.retain(|entry| !entry.until.passed(now));
}
