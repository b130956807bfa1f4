//! One organisation's tokens on one VM.
//!
//! Tokens are counted in millionths, so nothing is rounded into existence.
//! The room of a bucket is its slice's burst, less what it has lent or
//! granted a moment ago: a token counts against the room until it can no
//! longer be spent, so the tokens of all VMs together never exceed the burst.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Millionths of a token in one token.
pub const TOKEN: u64 = 1_000_000;
/// Microseconds in a second.
const SECOND_US: u128 = 1_000_000;
/// How long a granted token may still be given back.
pub const REFUND_WINDOW: Duration = Duration::from_millis(10);

/// What one VM may spend of an organisation's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Slice {
    /// Millionths of a token a second.
    pub rate: u64,
    /// Millionths of a token.
    pub burst: u64,
}

impl Slice {
    /// The smaller of each part.
    pub fn min(self, other: Slice) -> Slice {
        Slice { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// Whether any part is below that of `other`.
    pub fn falls_below(self, other: Slice) -> bool {
        self.rate < other.rate || self.burst < other.burst
    }
}

/// Tokens that left the balance and take up room until a deadline.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    amount: u64,
    until: Time,
}

/// Tokens of one slice.
#[derive(Clone, Debug)]
pub struct Bucket {
    slice: Slice,
    balance: u64,
    remainder: u64,
    filled: Time,
    granted: VecDeque<Outstanding>,
    lent: VecDeque<Outstanding>,
    borrowed: VecDeque<Outstanding>,
}

impl Bucket {
    /// Makes an empty bucket: what an earlier holder spent is not known.
    pub fn new(slice: Slice, now: Time) -> Self {
        Self {
            slice,
            balance: 0,
            remainder: 0,
            filled: now,
            granted: VecDeque::new(),
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
        }
    }

    /// The slice that is spent from.
    pub fn slice(&self) -> Slice {
        self.slice
    }

    /// Whole and partial tokens at hand, in millionths.
    pub fn balance(&self) -> u64 {
        self.balance
    }

    /// Tokens lent that may still be spent elsewhere.
    pub fn lent(&self) -> u64 {
        sum(&self.lent)
    }

    /// Changes the slice; tokens above the new room are dropped.
    pub fn set(&mut self, slice: Slice, now: Time) {
        self.refill(now);
        self.slice = slice;
        self.balance = self.balance.min(self.room());
    }

    /// Adds what the rate has brought until `now`.
    ///
    /// Goes from one expiry to the next: time before an expiry can't fill
    /// the room that the expiry frees.
    pub fn refill(&mut self, now: Time) {
        expire(&mut self.borrowed, now);
        while let Some(expiry) = self.next_expiry().filter(|expiry| expiry.passed(now)) {
            self.fill(expiry);
            expire(&mut self.lent, expiry);
            expire(&mut self.granted, expiry);
        }
        self.fill(now);
    }

    /// Drops the time until `now`: the slice brought nothing meanwhile.
    pub fn skip(&mut self, now: Time) {
        self.filled = self.filled.max(now);
    }

    /// Takes one token; otherwise says when the next one will be here.
    pub fn take(&mut self, now: Time) -> Result<(), Time> {
        self.refill(now);
        if self.missing() > 0 {
            return Err(self.next_token(now));
        }
        let own = TOKEN - self.take_borrowed(TOKEN);
        if own > 0 {
            self.balance -= own;
            self.granted.push_back(Outstanding { amount: own, until: now.after(REFUND_WINDOW) });
        }
        Ok(())
    }

    /// Gives the latest grant back, if that is still possible.
    pub fn refund(&mut self, now: Time) {
        self.refill(now);
        if let Some(grant) = self.granted.pop_back() {
            self.balance = (self.balance + grant.amount).min(self.room());
        }
    }

    /// Millionths that are missing for one token.
    pub fn missing(&self) -> u64 {
        TOKEN.saturating_sub(self.balance.saturating_add(sum(&self.borrowed)))
    }

    /// Lends `want` millionths, which must be spent before `until`, or none:
    /// less would not make a token.
    pub fn lend(&mut self, want: u64, now: Time, until: Time) -> u64 {
        self.refill(now);
        if want == 0 || self.balance < want {
            return 0;
        }
        self.balance -= want;
        self.lent.push_back(Outstanding { amount: want, until });
        want
    }

    /// Keeps borrowed millionths until they expire.
    pub fn receive(&mut self, amount: u64, until: Time) {
        self.borrowed.push_back(Outstanding { amount, until });
    }

    /// When the next whole token will be here.
    pub fn next_token(&self, now: Time) -> Time {
        self.next(TOKEN, now)
    }

    /// When `want` millionths will be here.
    pub fn next(&self, want: u64, now: Time) -> Time {
        let missing = want.saturating_sub(self.balance);
        if self.slice.rate == 0 || self.slice.burst < want {
            return Time::NEVER;
        }
        let span = (u128::from(missing) * SECOND_US).div_ceil(u128::from(self.slice.rate));
        Time(now.0.saturating_add(u64::try_from(span).unwrap_or(u64::MAX)))
    }

    fn next_expiry(&self) -> Option<Time> {
        let first = |all: &VecDeque<Outstanding>| all.front().map(|one| one.until);
        first(&self.lent).into_iter().chain(first(&self.granted)).min()
    }

    fn fill(&mut self, now: Time) {
        let span = now.0.saturating_sub(self.filled.0);
        let brought = u128::from(self.slice.rate) * u128::from(span) + u128::from(self.remainder);
        self.filled = self.filled.max(now);
        self.remainder = (brought % SECOND_US) as u64;
        let brought = u64::try_from(brought / SECOND_US).unwrap_or(u64::MAX);
        self.balance = self.balance.saturating_add(brought).min(self.room());
    }

    fn take_borrowed(&mut self, most: u64) -> u64 {
        let mut taken = 0;
        while let Some(loan) = self.borrowed.front_mut().filter(|_| taken < most) {
            let part = loan.amount.min(most - taken);
            loan.amount -= part;
            taken += part;
            if loan.amount == 0 {
                self.borrowed.pop_front();
            }
        }
        taken
    }

    fn room(&self) -> u64 {
        self.slice.burst.saturating_sub(sum(&self.lent) + sum(&self.granted))
    }
}

fn sum(all: &VecDeque<Outstanding>) -> u64 {
    all.iter().map(|one| one.amount).sum()
}

fn expire(all: &mut VecDeque<Outstanding>, now: Time) {
    all.retain(|one| !one.until.passed(now));
}
