//! The VMs that should be members: those that hold a lease or are on the platform's VM list.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Table;
use crate::clock::Time;
use crate::id::{DataCentre, Vm};

/// Time without a lease after which a member is removed if the platform provides no VM list.
/// Removal is delayed because an outage of the platform can let every lease expire at once.
const REMOVAL_DELAY: Duration = Duration::from_secs(60);

/// Tracks leases and the VM list.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    leased: BTreeMap<Vm, DataCentre>,
    listed: Option<BTreeSet<Vm>>,
    /// When each member was first found without a lease.
    missing_since: BTreeMap<Vm, Time>,
}

impl Roster {
    /// Sets the VMs that hold leases.
    pub fn set_leased(&mut self, leased: BTreeMap<Vm, DataCentre>) {
        self.missing_since.retain(|vm, _| !leased.contains_key(vm));
        self.leased = leased;
    }

    /// Sets the VMs on the platform's list.
    pub fn set_listed(&mut self, listed: BTreeSet<Vm>) {
        self.listed = Some(listed);
    }

    /// VMs of the current and the previous table that can't return: they hold no lease and
    /// aren't on the VM list.
    pub fn terminated(&self, table: &Table) -> BTreeSet<Vm> {
        let Some(listed) = &self.listed else { return BTreeSet::new() };
        let known = table.members.keys().chain(&table.previous);
        let terminated = known.filter(|vm| !listed.contains(*vm) && !self.leased.contains_key(*vm));
        terminated.cloned().collect()
    }

    /// The members that the next table should contain.
    pub fn desired_members<F>(
        &mut self,
        now: Time,
        table: &Table,
        deregistered: F,
    ) -> BTreeMap<Vm, DataCentre>
    where
        F: Fn(&Vm) -> bool,
    {
        let mut desired = self.leased.clone();
        for (vm, data_centre) in &table.members {
            if !desired.contains_key(vm) && self.is_retained(now, vm) {
                desired.insert(vm.clone(), data_centre.clone());
            }
        }
        desired.retain(|vm, _| !deregistered(vm));
        desired
    }

    fn is_retained(&mut self, now: Time, vm: &Vm) -> bool {
        if let Some(listed) = &self.listed {
            return listed.contains(vm);
        }
        let since = *self.missing_since.entry(vm.clone()).or_insert(now);
        !since.after(REMOVAL_DELAY).passed(now)
    }
}
