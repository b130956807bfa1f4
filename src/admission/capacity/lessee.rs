//! Slots that this VM may use: leased ones, or fallback slots if the upstream's owner hasn't
//! answered for `FALLBACK_AFTER`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Upstream;

/// How long leased slots may be used, from the time of the request.
pub const LEASE_TTL: Duration = Duration::from_millis(1_500);
/// Time without an answer from the owner after which fallback slots are used. By then every lease
/// that the owner granted without reserving these slots has expired.
pub const FALLBACK_AFTER: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Held {
    requested_at: Time,
    count: u32,
    expires_at: Time,
    fallback: u32,
    fallback_from: Time,
}

/// Leases and fallback slots of one VM, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Lessee {
    held: BTreeMap<Upstream, Held>,
}

impl Lessee {
    /// Sets the upstreams and this VM's fallback slots at each.
    pub fn configure(&mut self, fallback: BTreeMap<Upstream, u32>, now: Time) {
        self.held.retain(|upstream, _| fallback.contains_key(upstream));
        for (upstream, count) in fallback {
            let from = now.after(FALLBACK_AFTER);
            let new = Held {
                requested_at: now,
                count: 0,
                expires_at: Time(0),
                fallback: 0,
                fallback_from: from,
            };
            self.held.entry(upstream).or_insert(new).fallback = count;
        }
    }

    /// Applies a lease of `count` slots, in answer to the request sent at `requested_at`.
    pub fn receive(&mut self, upstream: &Upstream, count: u32, requested_at: Time) {
        let expires_at = requested_at.after(LEASE_TTL);
        let Some(held) = self.held.get_mut(upstream) else { return };
        // An answer to an earlier request may lease slots that the later request gave up.
        if requested_at != held.requested_at {
            return;
        }
        held.count = count;
        held.expires_at = expires_at;
        held.fallback_from = requested_at.after(FALLBACK_AFTER);
    }

    /// Records that this VM is about to request `wanted` slots and returns the leased slots it still
    /// holds. It uses no more than `wanted` from now on, since the owner may rely on that.
    pub fn request(&mut self, upstream: &Upstream, wanted: u32, now: Time) -> u32 {
        let Some(held) = self.held.get_mut(upstream) else { return 0 };
        held.requested_at = now;
        if held.expires_at.passed(now) {
            return 0;
        }
        held.count = held.count.min(wanted);
        held.count
    }

    /// Whether fallback slots are used at `now`.
    pub fn on_fallback(&self, upstream: &Upstream, now: Time) -> bool {
        let held = self.held.get(upstream);
        held.is_some_and(|held| held.expires_at.passed(now) && held.fallback_from.passed(now))
    }

    /// This VM's fallback slots.
    pub fn fallback(&self, upstream: &Upstream) -> u32 {
        self.held.get(upstream).map_or(0, |held| held.fallback)
    }

    /// Earliest time at which a lease expires or fallback slots become usable.
    pub fn next_change(&self, now: Time) -> Time {
        let times = self.held.values().flat_map(|held| [held.expires_at, held.fallback_from]);
        times.filter(|time| !time.passed(now)).min().unwrap_or(Time::NEVER)
    }

    /// Slots that may be used at `now`.
    pub fn limit(&self, upstream: &Upstream, now: Time) -> u32 {
        let Some(held) = self.held.get(upstream) else { return 0 };
        if !held.expires_at.passed(now) {
            return held.count;
        }
        if self.on_fallback(upstream, now) { held.fallback } else { 0 }
    }
}
