//! Who should be a member: who holds a lease or is on the platform's list.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Table;
use crate::clock::Time;
use crate::id::{DataCentre, Vm};

/// Time without a lease after which a member is dropped where the platform
/// gives no VM list; a whole outage may let every lease lapse at once.
const DROP_AFTER: Duration = Duration::from_secs(60);

/// Follows leases and the VM list.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    leased: BTreeMap<Vm, DataCentre>,
    listed: Option<BTreeSet<Vm>>,
    lapsed: BTreeMap<Vm, Time>,
}

impl Roster {
    /// Takes in the VMs that hold leases.
    pub fn set_leased(&mut self, leased: BTreeMap<Vm, DataCentre>) {
        self.lapsed.retain(|vm, _| !leased.contains_key(vm));
        self.leased = leased;
    }

    /// Takes in the platform's list.
    pub fn set_listed(&mut self, listed: BTreeSet<Vm>) {
        self.listed = Some(listed);
    }

    /// VMs of the table and of the one before that can't come back: neither
    /// lease nor list knows them.
    pub fn terminated(&self, table: &Table) -> BTreeSet<Vm> {
        let Some(listed) = &self.listed else { return BTreeSet::new() };
        let known = table.members.keys().chain(&table.previous);
        let gone = known.filter(|vm| !listed.contains(*vm) && !self.leased.contains_key(*vm));
        gone.cloned().collect()
    }

    /// The members that the next table should have.
    pub fn desired_members<F>(
        &mut self,
        now: Time,
        table: &Table,
        departed: F,
    ) -> BTreeMap<Vm, DataCentre>
    where
        F: Fn(&Vm) -> bool,
    {
        let mut wanted = self.leased.clone();
        for (vm, centre) in &table.members {
            if !wanted.contains_key(vm) && self.stays(now, vm) {
                wanted.insert(vm.clone(), centre.clone());
            }
        }
        wanted.retain(|vm, _| !departed(vm));
        wanted
    }

    fn stays(&mut self, now: Time, vm: &Vm) -> bool {
        if let Some(listed) = &self.listed {
            return listed.contains(vm);
        }
        let since = *self.lapsed.entry(vm.clone()).or_insert(now);
        !since.after(DROP_AFTER).passed(now)
    }
}
