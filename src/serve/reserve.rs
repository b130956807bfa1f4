//! Reserves of rate limits, for the time in which no holder of a bucket can be asked, or its
//! bucket is empty though the limit isn't reached.
//!
//! A limit may be exceeded by a stated tolerance; the reserves of all VMs together use a part
//! of it. Split over all VMs of a large fleet it is less than one request for each, so that
//! with `rates.hand_over` a few deputies keep it: the VMs that rank next to the holder. A
//! deputy uses no members' list older than `DEPUTY_MAX_AGE`, and a VM that becomes one waits
//! for that long and starts without tokens, so that no more than `DEPUTIES` VMs act at a time
//! and a deputy that is replaced leaves nothing to spend twice.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::configuration::Tenant;
use super::rate::{Grant, Tolerance};
use crate::clock::Time;
use crate::id::Organisation;

/// Number of deputies of an organisation.
pub const DEPUTIES: usize = 2;
/// Fraction of the tolerated excess that all reserves together use when split over all VMs.
const SPLIT_SHARE: f64 = 0.7;
/// The same when kept by deputies.
const DEPUTY_SHARE: f64 = 0.65;
/// Fraction with which buckets begin after a crash of their holder. What is left is a margin
/// for clocks that differ in speed.
const CREDIT_SHARE: f64 = 0.25;
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

/// Reserve of an organisation that this VM is a deputy for.
#[derive(Clone, Copy, Debug)]
struct Deputy {
    /// Time from which tokens are granted.
    from: Time,
    bucket: Bucket,
}

impl Reserves {
    /// Records whether this VM is a deputy for an organisation.
    pub fn set_deputy(&mut self, organisation: &Organisation, is_deputy: bool, now: Time) {
        if !is_deputy {
            self.deputy.remove(organisation);
        } else if !self.deputy.contains_key(organisation) {
            let from = now.after(DEPUTY_MAX_AGE);
            let deputy = Deputy { from, bucket: Bucket::new(0.0, from) };
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
    pub fn take_deputy(&mut self, tenant: &Tenant, tolerance: Tolerance, now: Time) -> Grant {
        let part = excess(tenant, tolerance) * DEPUTY_SHARE / DEPUTIES as f64;
        match self.deputy.get_mut(&tenant.organisation) {
            Some(deputy) if deputy.from.passed(now) => {
                take(&mut deputy.bucket, part, tolerance, now)
            }
            Some(_) | None => Grant::NotHolder,
        }
    }
}

/// Requests of an organisation within its limit in a window.
pub(super) fn limit(tenant: &Tenant, tolerance: Tolerance) -> f64 {
    tenant.rate_per_s * window_s(tolerance) + tenant.burst
}

/// Requests that all deputies of an organisation may grant in a window.
pub(super) fn kept(tenant: &Tenant, tolerance: Tolerance) -> f64 {
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
