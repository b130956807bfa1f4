//! The simulated key-value service and VM list.

use std::collections::{BTreeMap, BTreeSet};

use std::time::Duration;

use crate::clock::Time;
use crate::id::{DataCentre, Vm};
use crate::kv::{Entry, Range, Swap, Swapped};

/// State of the platform services.
#[derive(Default)]
pub(super) struct Service {
    pub(super) version: u64,
    pub(super) head: u64,
    pub(super) entries: BTreeMap<String, Entry>,
    pub(super) leases: BTreeMap<Vm, (DataCentre, Time)>,
    pub(super) listed: BTreeSet<Vm>,
    pub(super) down_until: Time,
    pub(super) slow_until: Time,
    /// Time at which the service last became down or slow.
    pub(super) healthy_until: Time,
    /// All values ever applied, to check the outcomes reported to operators.
    pub(super) applied: BTreeSet<Vec<u8>>,
}

impl Service {
    pub(super) fn is_down(&self, now: Time) -> bool {
        !self.down_until.passed(now)
    }

    pub(super) fn is_slow(&self, now: Time) -> bool {
        !self.slow_until.passed(now)
    }

    /// Latest time up to `now` at which the service was healthy.
    pub(super) fn last_healthy_at(&self, now: Time) -> Time {
        if self.is_down(now) || self.is_slow(now) { self.healthy_until } else { now }
    }

    pub(super) fn start_outage(&mut self, now: Time, duration: Duration) {
        self.healthy_until = self.last_healthy_at(now);
        self.down_until = now.after(duration);
    }

    pub(super) fn start_slowdown(&mut self, now: Time, duration: Duration) {
        self.healthy_until = self.last_healthy_at(now);
        self.slow_until = now.after(duration);
    }

    pub(super) fn since(&self, version: u64) -> Range {
        let entries = self.entries.values().filter(|entry| entry.version > version);
        Range { version: self.version, entries: entries.cloned().collect() }
    }

    pub(super) fn swap(&mut self, swap: Swap) -> Swapped {
        let found = self.entries.get(&swap.key).cloned();
        if found.as_ref().map_or(0, |entry| entry.version) != swap.expected {
            return Swapped::Refused(found);
        }
        self.version += 1;
        self.head = self.version;
        let value = swap.value.unwrap_or_default();
        self.applied.insert(value.clone());
        let entry = Entry { key: swap.key.clone(), value, version: self.version };
        self.entries.insert(swap.key, entry);
        Swapped::Applied(self.version)
    }

    pub(super) fn leased(&mut self, now: Time) -> BTreeMap<Vm, DataCentre> {
        self.leases.retain(|_, (_, until)| !until.passed(now));
        self.leases.iter().map(|(vm, (data_centre, _))| (vm.clone(), data_centre.clone())).collect()
    }
}
