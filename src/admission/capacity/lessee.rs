//! Slots that this VM may use: leased ones, or fallback slots while the
//! upstream's owner has not answered for long.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Upstream;

/// How long leased slots may be used, from the moment they were asked for.
pub const LEASE_TTL: Duration = Duration::from_millis(1_500);
/// Silence of the owner after which fallback slots are used: by then the owner
/// has let every lease run out that was given without regard to them.
pub const FALLBACK_AFTER: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Held {
    asked: Time,
    count: u32,
    until: Time,
    fallback: u32,
    fallback_from: Time,
}

/// Leases of one VM.
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
            let new =
                Held { asked: now, count: 0, until: Time(0), fallback: 0, fallback_from: from };
            self.held.entry(upstream).or_insert(new).fallback = count;
        }
    }

    /// An owner leased `count` slots in answer to a question asked at `asked`.
    pub fn receive(&mut self, upstream: &Upstream, count: u32, asked: Time) {
        let until = asked.after(LEASE_TTL);
        let Some(held) = self.held.get_mut(upstream) else { return };
        // An answer to an earlier question gives slots that the later one may
        // have given up.
        if asked != held.asked {
            return;
        }
        held.count = count;
        held.until = until;
        held.fallback_from = asked.after(FALLBACK_AFTER);
    }

    /// This VM is about to ask for `want` slots: it uses no more from here on,
    /// for the owner may count on that. Gives the slots still held.
    pub fn request(&mut self, upstream: &Upstream, want: u32, now: Time) -> u32 {
        let Some(held) = self.held.get_mut(upstream) else { return 0 };
        held.asked = now;
        if held.until.passed(now) {
            return 0;
        }
        held.count = held.count.min(want);
        held.count
    }

    /// Whether fallback slots are used at `now`.
    pub fn on_fallback(&self, upstream: &Upstream, now: Time) -> bool {
        let held = self.held.get(upstream);
        held.is_some_and(|held| held.until.passed(now) && held.fallback_from.passed(now))
    }

    /// This VM's fallback slots.
    pub fn fallback(&self, upstream: &Upstream) -> u32 {
        self.held.get(upstream).map_or(0, |held| held.fallback)
    }

    /// When a lease ends or fallback slots begin, at the earliest.
    pub fn next_change(&self, now: Time) -> Time {
        let times = self.held.values().flat_map(|held| [held.until, held.fallback_from]);
        times.filter(|time| !time.passed(now)).min().unwrap_or(Time::NEVER)
    }

    /// Slots that may be used at `now`.
    pub fn limit(&self, upstream: &Upstream, now: Time) -> u32 {
        let Some(held) = self.held.get(upstream) else { return 0 };
        if !held.until.passed(now) {
            return held.count;
        }
        if self.on_fallback(upstream, now) { held.fallback } else { 0 }
    }
}
