//! Distributed rate limiter: rate and burst of each organisation over all VMs.
//!
//! An organisation's rate and burst are divided into two parts. `LOCAL_SHARE`
//! of them is spread evenly over the members, and each member takes tokens
//! from its local bucket without asking. The rest is kept in a shared bucket on
//! one VM, the holder, which is derived from the members' list and grants
//! tokens to any VM whose local bucket is empty. So the loss or change of a
//! holder costs little, and callers that are spread unevenly over the VMs can
//! use the shared bucket.
//!
//! The local shares never add up to more than the whole. A VM that joins uses
//! its share only after `LOCAL_SHARE_MAX_AGE`; one whose list is older than
//! that stops; and the number of shares is the largest number of members seen
//! within that time. Likewise a new holder grants after the time for which the
//! previous one may still grant (`holder_max_age`), or at
//! once if the previous one has resigned. When the holder can't be asked, each
//! VM uses a small reserve, sized so that all reserves together stay within the
//! tolerance of the limit.
//!
//! With `rates.hand_over` a holder that lets go passes its bucket on (`release`, `accept`),
//! so that nothing has to be waited for while both VMs are alive: planned stops, returns,
//! VMs that the store turns away. At most one VM grants at any time: it stopped before the
//! other one began, and a VM grants only by a list of at most `holder_max_age`, so that
//! whoever waited for that long knows that no earlier holder is left. The reserve is then
//! kept by a few deputies instead of being split over all VMs.
//!
//! A VM that comes back after a crash is the holder of the same buckets, and doesn't know what
//! they held. They begin with a credit, a part of the tolerance that deputies don't use.
//!
//! A bucket refuses before the limit is reached: what is asked at once after a calm time is
//! owed up to rate times window plus burst, and a bucket holds the burst only. So a holder
//! whose bucket is empty counts what it granted within the window, and sends who asks to the
//! deputies while the limit leaves room for their reserve.
//!
//! The limit is designed to hold for an organisation that sends many times its rate, in a
//! fleet whose VMs restart in turn and lose the store.

mod take;
mod transfer;
mod window;

use std::collections::HashMap;
use std::time::Duration;

pub use self::window::Window;
pub use super::bucket::Bucket;
use super::configuration::Tenant;
use super::member::{Listed, owner, ranked};
use super::reserve::{self, DEPUTY_MAX_AGE, MAX_DEPUTIES, Reserves};
use crate::clock::Time;
use crate::id::{Organisation, Vm};

/// Maximum age of the members' list with which a VM uses its local share.
pub const LOCAL_SHARE_MAX_AGE: Duration = Duration::from_millis(4_800);
/// Maximum age of the members' list with which a holder grants tokens in a small
/// fleet. Shorter than `LOCAL_SHARE_MAX_AGE`, so that a lost holder is replaced soon,
/// while local shares last through a short outage.
pub const HOLDER_MAX_AGE: Duration = Duration::from_millis(2_400);
/// The same in a large fleet: there most organisations' bursts are too small for local
/// shares and a lost holder concerns few organisations, but an outage all of them.
pub const LARGE_FLEET_HOLDER_MAX_AGE: Duration = LOCAL_SHARE_MAX_AGE;
/// Minimum time from the last sign of a VM to the removal of its entry.
const MIN_REMOVAL: Duration = Duration::from_millis(2_200);
/// Number of members from which a fleet is large.
const LARGE_FLEET: usize = 24;
/// Number of members by which the lists of two VMs may differ: a new holder waits as in
/// a large fleet if the earlier one may have seen one.
const MEMBERS_MARGIN: usize = 8;
/// Fraction of each rate and burst that is spread over the members.
pub const LOCAL_SHARE: f64 = 0.5;
/// The same where deputies keep no part of the limit, as older versions have it.
const LOCAL_SHARE_WITHOUT_DEPUTIES: f64 = 0.6;
/// Time between two starts of a VM after crashes that begin with a credit; longer than the
/// window over which limits are measured.
pub const CREDIT_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a release is repeated to the VM that asked for it: its answer may be lost.
const RELEASE_REPEATED_FOR: Duration = Duration::from_millis(1_000);
/// Time for which the answer to a request for a bucket is accepted: one that comes later may
/// be of a bucket that has moved on since.
const REQUEST_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which this VM tells who asks for a token to whom it released a bucket.
const RELEASE_TOLD_FOR: Duration = Duration::from_secs(6);

/// How far a rate limit may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window over which requests are counted, in seconds.
    pub window_s: f64,
    /// Tolerated excess as a fraction of the limit.
    pub overrun: f64,
    /// Tolerated additional requests per window.
    pub slack: f64,
}

/// Result of a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// A token was taken: the request may run.
    Granted,
    /// The limit is exceeded; the next token is expected after this wait.
    Exceeded(Duration),
    /// The bucket is empty, though the limit isn't reached in the window, even if all of the
    /// reserve is used: that may be asked. Else the next token is expected after this wait.
    Short(Duration),
    /// This VM is not the holder of the bucket, or can't be sure that it is.
    NotHolder,
}

#[derive(Clone, Debug)]
struct HeldBucket {
    /// Time from which tokens are granted.
    from: Time,
    bucket: Bucket,
    /// What this VM granted from it.
    granted: Window,
    /// When another VM handed it over; none if this VM waited until it could grant.
    accepted_at: Option<Time>,
}

/// A bucket that this VM let go.
#[derive(Clone, Debug)]
struct Release {
    to: Vm,
    tokens: f64,
    at: Time,
}

/// A request for a bucket whose answer is awaited.
#[derive(Clone, Copy, Debug)]
struct Request {
    nonce: u64,
    until: Time,
}

/// Who owns a bucket by the members' list.
#[derive(Clone, Debug, Default)]
struct Ownership {
    owner: Option<Vm>,
    /// The owner before the last change.
    earlier: Option<Vm>,
    /// Who would own it without the owner.
    second: Option<Vm>,
}

/// Nonce of a release that answers no request: a VM that stops hands its buckets over.
pub const NO_REQUEST: u64 = 0;

/// A bucket that another VM let go of in favour of this one.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Tokens that are left in it.
    pub tokens: f64,
    /// The VM that let go of it.
    pub from: Vm,
    /// Nonce of the request that it answers, or `NO_REQUEST`.
    pub nonce: u64,
}

/// A bucket on its way to another VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Transfer {
    /// Organisation whose bucket it is.
    pub organisation: Organisation,
    /// Who holds it from now on.
    pub to: Vm,
    /// Tokens that are left in it.
    pub tokens: f64,
}

/// What an earlier process of this VM left in the members' list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// No entry: the others don't count this VM.
    #[default]
    None,
    /// The entry of a process that shut down gracefully: the others count this VM
    /// and have taken over the buckets that it held.
    Left,
    /// The entry of a process that crashed: the others count this VM, and nobody
    /// has taken over the buckets that it held.
    Crashed,
    /// The same, and no process of this VM has begun with a credit for `CREDIT_INTERVAL`.
    CrashedLongAgo,
}

/// Rate limiter of one VM: the shared buckets that it holds, its local buckets
/// and its reserves.
pub struct Limiter {
    vm: Vm,
    tolerance: Tolerance,
    held_buckets: HashMap<Organisation, HeldBucket>,
    local_buckets: HashMap<Organisation, Bucket>,
    reserves: Reserves,
    /// Whether buckets are handed over.
    hands_over: bool,
    /// Whether all members said so in the last list: VMs of older versions may share neither
    /// the rules of a planned stop nor the division of the reserve.
    is_uniform: bool,
    /// Time until which some deputy may keep a part of each limit.
    kept_until: Time,
    /// Buckets that this VM let go of recently.
    releases: HashMap<Organisation, Release>,
    /// Buckets that this VM has requested, each with its latest request.
    requests: HashMap<Organisation, Request>,
    /// Who owns each bucket by the last list.
    ownerships: HashMap<Organisation, Ownership>,
    /// Time at which the latest read of the members' list was sent.
    confirmed_at: Time,
    /// Recently seen numbers of members, each with the time at which it was seen.
    member_counts: Vec<(Time, usize)>,
    /// Time from which local buckets are used.
    local_from: Time,
    /// Members with the versions of their entries, from the latest read.
    list: Vec<(Vm, u64)>,
}

impl Limiter {
    /// Creates a limiter for `vm` without any buckets; `hands_over` states whether buckets
    /// are handed over.
    pub fn new(vm: Vm, tolerance: Tolerance, hands_over: bool) -> Self {
        Self {
            vm,
            tolerance,
            held_buckets: HashMap::new(),
            local_buckets: HashMap::new(),
            reserves: Reserves::default(),
            hands_over,
            is_uniform: false,
            kept_until: Time(0),
            releases: HashMap::new(),
            requests: HashMap::new(),
            ownerships: HashMap::new(),
            confirmed_at: Time(0),
            member_counts: Vec::new(),
            local_from: Time::NEVER,
            list: Vec::new(),
        }
    }

    /// Applies a members' list from a read that was sent at `sent_at` and answered
    /// at `now`.
    pub fn update(
        &mut self,
        members: &[Listed],
        tenants: &[Tenant],
        predecessor: Predecessor,
        sent_at: Time,
        now: Time,
    ) {
        let local_expired = self.confirmed_at.after(LOCAL_SHARE_MAX_AGE).passed(now);
        let holder_expired = self.holder_until().passed(now);
        let removal_possible = self.holder_until().after(MIN_REMOVAL).passed(now);
        let list: Vec<(Vm, u64)> =
            members.iter().map(|listed| (listed.member.vm.clone(), listed.version)).collect();
        let own = |list: &[(Vm, u64)]| list.iter().find(|(vm, _)| vm == &self.vm).cloned();
        let first = self.list.is_empty();
        let local_kept = !first && (!local_expired || own(&list) == own(&self.list));
        // A VM that joined meanwhile granted nothing before this VM had to stop, and its
        // entry can't have been removed since.
        let was_listed = own(&list) == own(&self.list) && !removal_possible;
        let holder_kept = !first && (!holder_expired || was_listed || list == self.list);
        let has_credit = first && predecessor == Predecessor::CrashedLongAgo;
        let takes_over = first && predecessor == Predecessor::Crashed || has_credit;
        let shares_rules = |listed: &Listed| {
            let rates = listed.member.rates;
            listed.member.vm == self.vm
                || rates.is_some_and(|rates| rates.hands_over && rates.keeps_part)
        };
        self.is_uniform = self.hands_over && members.iter().all(shares_rules);
        if !local_kept {
            let others_count_us = first && predecessor != Predecessor::None;
            self.local_from = if others_count_us { now } else { now.after(LOCAL_SHARE_MAX_AGE) };
            self.local_buckets.clear();
        }
        let deputy_wait = DEPUTY_MAX_AGE + reserve::window(self.tolerance);
        if self.is_uniform {
            self.kept_until = now.after(deputy_wait);
        }
        let deputy_expired = self.confirmed_at.after(DEPUTY_MAX_AGE).passed(now);
        // By the same list nobody can have become a deputy in this VM's place, unless there was
        // time for a VM to join, to act, and to be removed.
        let may_be_replaced = list != self.list || self.confirmed_at.after(deputy_wait).passed(now);
        if deputy_expired && may_be_replaced {
            self.reserves.clear_deputies();
        }
        self.confirmed_at = self.confirmed_at.max(sent_at);
        let counted = LOCAL_SHARE_MAX_AGE + reserve::window(self.tolerance);
        self.member_counts.retain(|(seen, _)| !seen.after(counted).passed(now));
        self.member_counts.push((now, members.len().max(1)));
        self.list = list;
        let holder_from = now.after(holder_max_age(self.max_members() + MEMBERS_MARGIN));
        if self.ownerships.len() > tenants.len() {
            self.forget_removed(tenants);
        }
        self.releases.retain(|_, release| !release.at.after(RELEASE_TOLD_FOR).passed(now));
        for tenant in tenants {
            let organisation = &tenant.organisation;
            let ranked = ranked(members, organisation.as_str(), 1 + MAX_DEPUTIES);
            let name = |rank: usize| ranked.get(rank).map(|member| member.vm.clone());
            self.update_ownership(organisation, name(0), name(1));
            let mut deputies = ranked.iter().skip(1).take(self.deputies(tenant));
            let is_deputy = self.is_uniform && deputies.any(|member| member.vm == self.vm);
            self.reserves.set_deputy(organisation, is_deputy, now.after(deputy_wait), now);
            let is_holder = ranked.first().is_some_and(|member| member.vm == self.vm);
            let hands_over = self.hands_over;
            // A VM that stops grants on, so it may do so while this VM's list was too old.
            let other_may_grant = hands_over && holder_expired && resigned(members, organisation);
            let kept = holder_kept && !other_may_grant;
            let held = self.held_buckets.get_mut(organisation);
            match (is_holder, held) {
                (true, Some(held_bucket)) if !kept => {
                    self.releases.remove(organisation);
                    (held_bucket.from, held_bucket.accepted_at) = (holder_from, None);
                }
                (true, Some(_)) => {}
                (true, None) => {
                    self.releases.remove(organisation);
                    // A VM that resigns hands its buckets over, with what it knows of who
                    // held them before.
                    let resigned = !hands_over && resigned(members, organisation);
                    let from = if takes_over || resigned { now } else { holder_from };
                    let credit = if has_credit { self.credit(tenant) } else { 0.0 };
                    let bucket = Bucket::new(credit, from);
                    let held_bucket =
                        HeldBucket { from, bucket, granted: Window::default(), accepted_at: None };
                    self.held_buckets.insert(organisation.clone(), held_bucket);
                }
                // The list is older than the transfer.
                (false, Some(held)) if held.accepted_at.is_some_and(|at| at >= sent_at) => {}
                (false, Some(held)) => {
                    let granted = !holder_expired && held.from.passed(now);
                    let owner = name(0).filter(|_| granted);
                    self.let_go(tenant, owner, now);
                }
                (false, None) => {}
            }
        }
    }

    /// Drops what is kept for organisations that are no longer configured.
    fn forget_removed(&mut self, tenants: &[Tenant]) {
        let is_configured = |organisation: &Organisation| {
            tenants.iter().any(|tenant| &tenant.organisation == organisation)
        };
        self.held_buckets.retain(|organisation, _| is_configured(organisation));
        self.local_buckets.retain(|organisation, _| is_configured(organisation));
        self.ownerships.retain(|organisation, _| is_configured(organisation));
        self.requests.retain(|organisation, _| is_configured(organisation));
        self.reserves.retain(is_configured);
    }

    fn update_ownership(
        &mut self,
        organisation: &Organisation,
        owner: Option<Vm>,
        second: Option<Vm>,
    ) {
        let ownership = self.ownerships.entry(organisation.clone()).or_default();
        if ownership.owner != owner {
            ownership.earlier = std::mem::replace(&mut ownership.owner, owner);
        }
        ownership.second = second;
    }

    /// Lets go of a bucket; keeps its tokens for `owner`, if this VM granted from it.
    fn let_go(&mut self, tenant: &Tenant, owner: Option<Vm>, now: Time) {
        let tokens = self.balance(tenant, now);
        self.held_buckets.remove(&tenant.organisation);
        if let Some(to) = owner {
            let release = Release { to, tokens, at: now };
            self.releases.insert(tenant.organisation.clone(), release);
        }
    }

    /// Stops granting tokens permanently, because this VM is leaving.
    pub fn resign(&mut self) {
        self.held_buckets.clear();
        self.confirmed_at = Time(0);
    }

    /// Whether this VM grants from the shared bucket of an organisation.
    fn grants(&self, organisation: &Organisation, now: Time) -> bool {
        let held = self.held_buckets.get(organisation);
        !self.holder_until().passed(now) && held.is_some_and(|held| held.from.passed(now))
    }

    /// Tokens left in a shared bucket.
    fn balance(&mut self, tenant: &Tenant, now: Time) -> f64 {
        let (share, burst) = (self.held_share(tenant), self.held_burst(tenant));
        let Some(held) = self.held_buckets.get_mut(&tenant.organisation) else { return 0.0 };
        held.bucket.available(tenant.rate_per_s * share, burst, now)
    }

    /// Time until which this VM may grant tokens as a holder.
    fn holder_until(&self) -> Time {
        self.confirmed_at.after(holder_max_age(self.min_members()))
    }

    /// When the latest list was applied.
    fn applied_at(&self) -> Time {
        self.member_counts.last().map_or(Time(0), |(seen, _)| *seen)
    }

    /// Numbers of members in the lists that some VM may still use.
    fn recent_members(&self) -> impl Iterator<Item = usize> {
        let last = self.applied_at();
        let recent =
            move |(seen, _): &&(Time, usize)| !seen.after(LOCAL_SHARE_MAX_AGE).passed(last);
        self.member_counts.iter().filter(recent).map(|(_, count)| *count)
    }

    fn max_members(&self) -> usize {
        self.recent_members().max().unwrap_or(1)
    }

    fn min_members(&self) -> usize {
        self.recent_members().min().unwrap_or(1)
    }

    /// Maximum number of members in the lists by which grants that still count were made.
    fn window_members(&self) -> usize {
        self.member_counts.iter().map(|(_, count)| *count).max().unwrap_or(1)
    }
}

/// Maximum age of the list with which a holder grants tokens, in a fleet of `members`.
fn holder_max_age(members: usize) -> Duration {
    if members >= LARGE_FLEET { LARGE_FLEET_HOLDER_MAX_AGE } else { HOLDER_MAX_AGE }
}

/// Whether the VM that would otherwise hold an organisation's bucket is leaving:
/// it stopped granting before it was marked as leaving.
fn resigned(members: &[Listed], organisation: &Organisation) -> bool {
    let staying = owner(members, organisation.as_str());
    let all: Vec<Listed> = members
        .iter()
        .map(|listed| {
            let mut listed = listed.clone();
            listed.member.leaving = false;
            listed
        })
        .collect();
    let first = owner(&all, organisation.as_str());
    first.map(|member| &member.vm) != staying.map(|member| &member.vm)
}
