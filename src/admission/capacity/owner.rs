//! Leasing one upstream's slots: what its owner VM decides.
//!
//! Every VM leases what it wants, up to a fair part, until a deadline. For a
//! member that isn't heard the owner keeps its fallback slots free, and the
//! slots of requests that it had running, so that all VMs together stay
//! within the capacity. A new owner opens once all members have told what they
//! still hold, or when all leases of the one before have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// How long the owner counts a lease: longer than the holder's clock takes
/// for `LEASE_TTL`.
pub const OWNER_LEASE_TTL: Duration = Duration::from_millis(1_600);

/// How long a new owner waits for silent members: the owner before may have
/// leased on until it learned of the change.
const HANDOVER: Duration = Duration::from_millis(3_200);

/// What a VM tells about its use of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots it would use: those needed and spare ones.
    pub wanted: u32,
    /// Slots for requests that run or wait.
    pub needed: u32,
    /// Slots in use.
    pub running: u32,
    /// Slots of leases that haven't ended.
    pub held: u32,
    /// Rises with each question of this VM.
    pub sequence: u64,
}

/// What one VM holds at the upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    want: u32,
    need: u32,
    /// What it may be using: a smaller lease counts once it has been told.
    counted: u32,
    running: u32,
    sequence: u64,
    until: Time,
}

/// Slots of one upstream.
#[derive(Clone, Debug)]
pub struct Owner {
    capacity: u32,
    opens: Time,
    leases: BTreeMap<Vm, Lease>,
    reserve: BTreeMap<Vm, u32>,
}

impl Owner {
    /// Starts to own an upstream.
    pub fn new(now: Time) -> Self {
        let opens = now.after(HANDOVER);
        Self { capacity: 0, opens, leases: BTreeMap::new(), reserve: BTreeMap::new() }
    }

    /// Sets the capacity and the fallback slots of each member.
    pub fn configure(&mut self, capacity: u32, reserve: BTreeMap<Vm, u32>) {
        self.capacity = capacity;
        self.leases.retain(|vm, _| reserve.contains_key(vm));
        self.reserve = reserve;
    }

    /// Leases slots to `vm`.
    pub fn lease(&mut self, vm: &Vm, asked: Demand, now: Time) -> u32 {
        if !self.reserve.contains_key(vm) {
            return 0;
        }
        let Demand { running, held, sequence, .. } = asked;
        let last = self.leases.get(vm).filter(|lease| !lease.until.passed(now));
        // A question that was overtaken tells less than what is known.
        if last.is_some_and(|lease| sequence < lease.sequence) {
            return 0;
        }
        let want = asked.wanted.max(running);
        let need = asked.needed.clamp(running, want);
        let until = now.after(OWNER_LEASE_TTL);
        if !self.open(now) {
            let lease = Lease { want, need, counted: held, running, sequence, until };
            self.leases.insert(vm.clone(), lease);
            if !self.open(now) {
                return held;
            }
        }
        let kept = self.kept(vm, now);
        let free = self.capacity.saturating_sub(kept);
        let count = want.min(self.fair_part(vm, want, need, now).max(running)).min(free);
        let counted = count.max(held);
        self.leases.insert(vm.clone(), Lease { want, need, counted, running, sequence, until });
        debug_assert!(count == 0 || count + kept <= self.capacity, "leases exceed the capacity");
        count
    }

    fn open(&mut self, now: Time) -> bool {
        if self.reserve.keys().all(|vm| self.leases.contains_key(vm)) {
            self.opens = self.opens.min(now);
        }
        self.opens.passed(now)
    }

    /// Slots that other VMs than `vm` may be using.
    pub fn kept(&self, vm: &Vm, now: Time) -> u32 {
        let others = self.reserve.iter().filter(|(other, _)| *other != vm);
        others
            .map(|(other, fallback)| match self.leases.get(other) {
                Some(lease) if !lease.until.passed(now) => lease.counted.max(lease.running),
                Some(silent) => silent.counted.max(silent.running).max(*fallback),
                None => *fallback,
            })
            .sum()
    }

    /// What `vm` may have: its max-min fair part of what all need and, where
    /// all needs are met, of what is left for spare slots.
    fn fair_part(&self, vm: &Vm, want: u32, need: u32, now: Time) -> u32 {
        let others = self.leases.iter().filter(|(other, _)| *other != vm);
        let heard = || others.clone().filter(|(_, lease)| !lease.until.passed(now));
        let needs = heard().map(|(_, lease)| lease.need).chain([need]);
        let needed: u32 = needs.clone().sum();
        if needed >= self.capacity {
            return need.min(max_min(needs.collect(), self.capacity));
        }
        let spares = heard().map(|(_, lease)| lease.want - lease.need).chain([want - need]);
        need + (want - need).min(max_min(spares.collect(), self.capacity - needed))
    }
}

/// Most that one sharer gets when small wants are met whole and the rest is
/// divided evenly.
fn max_min(mut wants: Vec<u32>, total: u32) -> u32 {
    wants.sort_unstable();
    let (mut left, mut sharers) = (total, wants.len() as u32);
    for small in wants {
        if small.saturating_mul(sharers) > left {
            return left.div_ceil(sharers);
        }
        left -= small;
        sharers -= 1;
    }
    total
}
