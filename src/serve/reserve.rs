//! Reserves of rate limits, for the time in which no holder of a bucket can be asked, or its
//! bucket is empty though the limit isn't reached.
//!
//! A limit may be exceeded by a stated tolerance; the reserves of all VMs together use a part
//! of it. Split over all VMs of a large fleet it is less than one request for each, so that
//! with `rates.hand_over` a few deputies keep it: the VMs that rank next to the holder.
//!
//! Deputies also keep `KEPT_SHARE` of the limit itself, so that what the limit provably leaves
//! doesn't end with the holder. Each counts what it grants in the window over which the limit is
//! measured, and never grants more than its part in it. So it can grant its part at once: to
//! streams that broke off with a VM, whose callers come back together. New requests are
//! spread over the window, so that they leave something for these.
//!
//! A deputy uses no members' list older than `DEPUTY_MAX_AGE`, and a VM that becomes one waits
//! for that long and a window, so that whatever the VM before it granted no longer counts.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::configuration::Tenant;
use super::rate::{Grant, Tolerance, Window};
use crate::clock::Time;
use crate::id::Organisation;

/// Minimum number of deputies of an organisation.
const MIN_DEPUTIES: usize = 2;
/// Maximum number of deputies: enough that some are left when most VMs are lost.
pub const MAX_DEPUTIES: usize = 8;
/// Fraction of each limit that its deputies keep; less by what their whole parts leave.
pub const KEPT_SHARE: f64 = 0.34;
/// Fraction of the tolerated excess that all reserves together use when split over all VMs.
const SPLIT_SHARE: f64 = 0.7;
/// The same when kept by deputies.
pub const DEPUTY_SHARE: f64 = 0.8;
/// Fraction with which buckets begin after a crash of their holder. What is left is a margin
/// for clocks that differ in speed.
pub const CREDIT_SHARE: f64 = 0.1;
/// Maximum age of the members' list with which a deputy grants tokens: above the interval at
/// which it is read and the age that a snapshot of a peer may have.
pub const DEPUTY_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Shortest window over which a limit is measured, in seconds.
const MIN_WINDOW_S: f64 = 0.1;
/// Smallest reserve that is used, in requests.
const MIN_RESERVE: f64 = 0.5;
/// `Retry-After` of requests that no reserve is left for.
pub const NO_HOLDER_RETRY: Duration = Duration::from_millis(500);

/// The reserves of one VM.
#[derive(Clone, Debug, Default)]
pub struct Reserves {
    split: HashMap<Organisation, Bucket>,
    deputy: HashMap<Organisation, Deputy>,
}

/// What a token of the reserve is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// A new request that the holder refuses: it gets what is kept of the limit.
    Limit,
    /// A new request while no holder can be asked, or while the limit leaves room: it may use
    /// the tolerance too.
    Tolerance,
    /// A stream that has begun and that its caller takes up: it gets any part, at once.
    Resumption,
}

/// Reserve of an organisation that this VM is a deputy for.
#[derive(Clone, Debug)]
struct Deputy {
    /// Time from which tokens are granted.
    from: Time,
    /// What this VM granted.
    granted: Window,
    /// Spreads what new requests get over the window.
    pace: Bucket,
}

/// What each deputy of an organisation may grant in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Number of deputies.
    pub deputies: usize,
    /// Requests within the limit, a whole number.
    pub kept: f64,
    /// Requests beyond it.
    pub excess: f64,
}

impl Part {
    /// The part of each deputy in a fleet of `members`.
    pub fn of(tenant: &Tenant, tolerance: Tolerance, members: usize) -> Self {
        let kept = limit(tenant, tolerance) * KEPT_SHARE;
        let deputies = (kept as usize).clamp(MIN_DEPUTIES, MAX_DEPUTIES);
        let deputies = deputies.min(members.saturating_sub(1));
        if deputies == 0 {
            return Self { deputies, kept: 0.0, excess: 0.0 };
        }
        let each = deputies as f64;
        let excess = excess(tenant, tolerance) * DEPUTY_SHARE / each;
        Self { deputies, kept: (kept / each).floor(), excess }
    }

    /// Requests within the limit that all deputies together may grant in a window.
    pub fn all_kept(self) -> f64 {
        self.kept * self.deputies as f64
    }

    /// Requests in a window up to which one deputy grants a claim.
    fn up_to(self, claim: Claim) -> f64 {
        match claim {
            Claim::Limit => self.kept,
            Claim::Tolerance | Claim::Resumption => self.kept + self.excess,
        }
    }
}

impl Reserves {
    /// Records whether this VM is a deputy for an organisation; one that becomes it grants
    /// from `from` on.
    pub fn set_deputy(
        &mut self,
        organisation: &Organisation,
        is_deputy: bool,
        from: Time,
        now: Time,
    ) {
        if !is_deputy {
            self.deputy.remove(organisation);
        } else if !self.deputy.contains_key(organisation) {
            let pace = Bucket::new(0.0, now);
            let deputy = Deputy { from, granted: Window::default(), pace };
            self.deputy.insert(organisation.clone(), deputy);
        }
    }

    /// Gives up all reserves that this VM keeps as a deputy: its list was too old meanwhile.
    pub fn clear_deputies(&mut self) {
        self.deputy.clear();
    }

    /// Keeps the reserves of the organisations for which `is_kept` holds.
    pub fn retain<K>(&mut self, is_kept: K)
    where
        K: Fn(&Organisation) -> bool,
    {
        self.split.retain(|organisation, _| is_kept(organisation));
        self.deputy.retain(|organisation, _| is_kept(organisation));
    }

    /// Takes a token from this VM's part of a reserve that is split over `members` VMs.
    pub fn take_split(
        &mut self,
        tenant: &Tenant,
        tolerance: Tolerance,
        members: usize,
        now: Time,
    ) -> Grant {
        let part = excess(tenant, tolerance) * SPLIT_SHARE / members as f64;
        let full = Bucket::new(part / 2.0, now);
        let reserve = self.split.entry(tenant.organisation.clone()).or_insert(full);
        take(reserve, part, tolerance, now)
    }

    /// Takes a token from the reserve that this VM keeps as a deputy.
    pub fn take_deputy(
        &mut self,
        tenant: &Tenant,
        tolerance: Tolerance,
        part: Part,
        claim: Claim,
        now: Time,
    ) -> Grant {
        match self.deputy.get_mut(&tenant.organisation) {
            Some(deputy) if deputy.from.passed(now) => deputy.take(tolerance, part, claim, now),
            Some(_) | None => Grant::NotHolder,
        }
    }
}

impl Deputy {
    fn take(&mut self, tolerance: Tolerance, part: Part, claim: Claim, now: Time) -> Grant {
        let refusal = Grant::Exceeded(NO_HOLDER_RETRY);
        if self.granted.count(now) as f64 + 1.0 > part.up_to(claim) {
            return refusal;
        }
        let all = part.kept + part.excess;
        let (rate, burst) = (all / window_s(tolerance), all / 2.0);
        match claim {
            Claim::Resumption => self.pace.remove(1.0, rate, burst, now),
            Claim::Limit | Claim::Tolerance if self.pace.take(rate, burst, now).is_err() => {
                return refusal;
            }
            Claim::Limit | Claim::Tolerance => {}
        }
        self.granted.record(window(tolerance), now);
        Grant::Granted
    }
}

/// Requests of an organisation within its limit in a window.
pub(super) fn limit(tenant: &Tenant, tolerance: Tolerance) -> f64 {
    tenant.rate_per_s * window_s(tolerance) + tenant.burst
}

/// Requests beyond the limit that all deputies of an organisation may grant in a window.
pub(super) fn kept_excess(tenant: &Tenant, tolerance: Tolerance) -> f64 {
    excess(tenant, tolerance) * DEPUTY_SHARE
}

/// Tokens with which a bucket begins after a crash of its holder.
pub(super) fn credit(tenant: &Tenant, tolerance: Tolerance) -> f64 {
    excess(tenant, tolerance) * CREDIT_SHARE
}

/// Requests over the limit that are tolerated in a window.
fn excess(tenant: &Tenant, tolerance: Tolerance) -> f64 {
    limit(tenant, tolerance) * tolerance.overrun + tolerance.slack
}

/// Window over which limits are measured.
pub(super) fn window(tolerance: Tolerance) -> Duration {
    Duration::from_secs_f64(window_s(tolerance))
}

/// Window over which limits are measured, in seconds.
pub(super) fn window_s(tolerance: Tolerance) -> f64 {
    tolerance.window_s.max(MIN_WINDOW_S)
}

/// Takes a token from a reserve of `part` requests in a window: half of them may be used at
/// once, the other half is refilled within the window.
fn take(reserve: &mut Bucket, part: f64, tolerance: Tolerance, now: Time) -> Grant {
    let half = part / 2.0;
    if half < MIN_RESERVE {
        return Grant::Exceeded(NO_HOLDER_RETRY);
    }
    match reserve.take(half / window_s(tolerance), half, now) {
        Ok(()) => Grant::Granted,
        Err(_) => Grant::Exceeded(NO_HOLDER_RETRY),
    }
}
