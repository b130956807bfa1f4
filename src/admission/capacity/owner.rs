//! Leasing of one upstream's slots by its owner VM.
//!
//! Each VM leases the slots it wants, up to its fair share, for a limited time. For a silent member
//! the owner reserves the member's fallback slots or the slots it last had in use, whichever is
//! more, so that all VMs together stay within the capacity. A new owner starts leasing once all
//! members have reported the slots they still hold, or once all leases of the previous owner have
//! expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// How long the owner counts a lease. Longer than `LEASE_TTL`, to allow for a lessee whose clock
/// runs slow.
pub const OWNER_LEASE_TTL: Duration = Duration::from_millis(1_600);

/// How long a new owner waits for silent members, since the previous owner may have granted leases
/// until it learned of the change.
const HANDOVER: Duration = Duration::from_millis(3_200);

/// A VM's demand for slots at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots wanted, including spare ones.
    pub wanted: u32,
    /// Slots needed for running and waiting requests.
    pub needed: u32,
    /// Slots in use.
    pub running: u32,
    /// Leased slots that haven't expired.
    pub held: u32,
    /// Sequence number, which increases with each request of this VM.
    pub sequence: u64,
}

/// Latest lease and reported demand of one VM.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    wanted: u32,
    needed: u32,
    /// Slots the VM may be using; a reduced lease counts only once the VM has confirmed it.
    counted: u32,
    running: u32,
    sequence: u64,
    until: Time,
}

/// Owner of one upstream's slots.
#[derive(Clone, Debug)]
pub struct Owner {
    capacity: u32,
    opens_at: Time,
    leases: BTreeMap<Vm, Lease>,
    fallback: BTreeMap<Vm, u32>,
}

impl Owner {
    /// Creates the state of a new owner.
    pub fn new(now: Time) -> Self {
        let opens_at = now.after(HANDOVER);
        Self { capacity: 0, opens_at, leases: BTreeMap::new(), fallback: BTreeMap::new() }
    }

    /// Sets the upstream's capacity and each member's fallback slots.
    pub fn configure(&mut self, capacity: u32, fallback: BTreeMap<Vm, u32>) {
        self.capacity = capacity;
        self.leases.retain(|vm, _| fallback.contains_key(vm));
        self.fallback = fallback;
    }

    /// Leases slots to `vm` and returns their number.
    pub fn lease(&mut self, vm: &Vm, demand: Demand, now: Time) -> u32 {
        if !self.fallback.contains_key(vm) {
            return 0;
        }
        let Demand { running, held, sequence, .. } = demand;
        let last = self.leases.get(vm).filter(|lease| !lease.until.passed(now));
        // Ignores a request that arrives after a newer one.
        if last.is_some_and(|lease| sequence < lease.sequence) {
            return 0;
        }
        let wanted = demand.wanted.max(running);
        let needed = demand.needed.clamp(running, wanted);
        let until = now.after(OWNER_LEASE_TTL);
        if !self.is_open(now) {
            let lease = Lease { wanted, needed, counted: held, running, sequence, until };
            self.leases.insert(vm.clone(), lease);
            if !self.is_open(now) {
                return held;
            }
        }
        let in_use = self.in_use_by_others(vm, now);
        let free = self.capacity.saturating_sub(in_use);
        let count = wanted.min(self.fair_share(vm, wanted, needed, now).max(running)).min(free);
        let counted = count.max(held);
        self.leases.insert(vm.clone(), Lease { wanted, needed, counted, running, sequence, until });
        debug_assert!(count == 0 || count + in_use <= self.capacity, "leases exceed the capacity");
        count
    }

    fn is_open(&mut self, now: Time) -> bool {
        if self.fallback.keys().all(|vm| self.leases.contains_key(vm)) {
            self.opens_at = self.opens_at.min(now);
        }
        self.opens_at.passed(now)
    }

    /// Slots that VMs other than `vm` may be using.
    pub fn in_use_by_others(&self, vm: &Vm, now: Time) -> u32 {
        let others = self.fallback.iter().filter(|(other, _)| *other != vm);
        others
            .map(|(other, fallback)| match self.leases.get(other) {
                Some(lease) if !lease.until.passed(now) => lease.counted.max(lease.running),
                Some(silent) => silent.counted.max(silent.running).max(*fallback),
                None => *fallback,
            })
            .sum()
    }

    /// Fair share of `vm`: max-min fair over the needed slots and, if all of these are covered,
    /// over the spare slots too.
    fn fair_share(&self, vm: &Vm, wanted: u32, needed: u32, now: Time) -> u32 {
        let others = self.leases.iter().filter(|(other, _)| *other != vm);
        let heard = || others.clone().filter(|(_, lease)| !lease.until.passed(now));
        let needs = heard().map(|(_, lease)| lease.needed).chain([needed]);
        let total_needed: u32 = needs.clone().sum();
        if total_needed >= self.capacity {
            return needed.min(max_min_share(needs.collect(), self.capacity));
        }
        let spares = heard().map(|(_, lease)| lease.wanted - lease.needed).chain([wanted - needed]);
        needed
            + (wanted - needed).min(max_min_share(spares.collect(), self.capacity - total_needed))
    }
}

/// Largest max-min fair share: small demands are met in full, the rest is divided evenly.
fn max_min_share(mut demands: Vec<u32>, total: u32) -> u32 {
    demands.sort_unstable();
    let (mut remaining, mut sharers) = (total, demands.len() as u32);
    for demand in demands {
        if demand.saturating_mul(sharers) > remaining {
            return remaining.div_ceil(sharers);
        }
        remaining -= demand;
        sharers -= 1;
    }
    total
}
