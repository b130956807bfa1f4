//! The key-value service and the VM list of a random run.

use std::collections::{BTreeMap, BTreeSet};

use std::time::Duration;

use crate::clock::Time;
use crate::id::{DataCentre, Vm};
use crate::kv::{Entry, Range, Swap, Swapped};

/// State of the platform.
#[derive(Default)]
pub(super) struct Service {
    pub(super) version: u64,
    pub(super) head: u64,
    pub(super) entries: BTreeMap<String, Entry>,
    pub(super) leases: BTreeMap<Vm, (DataCentre, Time)>,
    pub(super) listed: BTreeSet<Vm>,
    pub(super) down_until: Time,
    pub(super) slow_until: Time,
    /// When the service last went from well to down or slow.
    pub(super) troubled_from: Time,
    /// Values that were ever applied, to judge what operators were told.
    pub(super) applied: BTreeSet<Vec<u8>>,
}

impl Service {
    pub(super) fn is_down(&self, now: Time) -> bool {
        !self.down_until.passed(now)
    }

    pub(super) fn is_slow(&self, now: Time) -> bool {
        !self.slow_until.passed(now)
    }

    /// When the service was last well, up to now.
    pub(super) fn last_well(&self, now: Time) -> Time {
        if self.is_down(now) || self.is_slow(now) { self.troubled_from } else { now }
    }

    pub(super) fn fail(&mut self, now: Time, span: Duration) {
        self.troubled_from = self.last_well(now);
        self.down_until = now.after(span);
    }

    pub(super) fn slow_down(&mut self, now: Time, span: Duration) {
        self.troubled_from = self.last_well(now);
        self.slow_until = now.after(span);
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
        self.leases.iter().map(|(vm, (centre, _))| (vm.clone(), centre.clone())).collect()
    }
}
