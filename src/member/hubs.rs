//! Who exchanges beats with whom.
//!
//! A few hubs per data centre confirm the configuration at the key-value
//! service and exchange beats with each other; every other member beats with
//! one hub of its data centre. So the bytes a node spends grow with the square
//! root of the fleet.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::Table;
use crate::id::{DataCentre, Vm};

/// Hubs in each data centre.
const HUBS_PER_DATA_CENTRE: usize = 3;

/// The hubs of one table, and which member belongs to which.
#[derive(Clone, Debug, Default)]
pub struct Hubs {
    by_centre: BTreeMap<DataCentre, Vec<Vm>>,
    all: Vec<Vm>,
    assigned: BTreeMap<Vm, Vec<Vm>>,
}

impl Hubs {
    /// Chooses the hubs of a table.
    pub fn new(table: &Table) -> Self {
        let mut by_centre: BTreeMap<DataCentre, Vec<Vm>> = BTreeMap::new();
        for (vm, centre) in &table.members {
            by_centre.entry(centre.clone()).or_default().push(vm.clone());
        }
        for vms in by_centre.values_mut() {
            vms.sort_by_key(|vm| hash(vm, vm));
            vms.truncate(HUBS_PER_DATA_CENTRE);
        }
        let all: Vec<Vm> = by_centre.values().flatten().cloned().collect();
        let mut hubs = Self { by_centre, all, assigned: BTreeMap::new() };
        for (vm, centre) in &table.members {
            if let Some(home) = hubs.homes(vm, centre).into_iter().next() {
                hubs.assigned.entry(home).or_default().push(vm.clone());
            }
        }
        hubs
    }

    /// Whether a VM is a hub.
    pub fn contains(&self, vm: &Vm) -> bool {
        self.all.contains(vm)
    }

    /// All hubs, in the same order on each VM.
    pub fn all(&self) -> &[Vm] {
        &self.all
    }

    /// Members that a hub reports on, in the order of its reports.
    pub fn assigned(&self, hub: &Vm) -> &[Vm] {
        self.assigned.get(hub).map_or(&[], Vec::as_slice)
    }

    /// Hubs that a member beats with, the preferred one first. A hub reports
    /// on itself.
    pub fn homes(&self, vm: &Vm, centre: &DataCentre) -> Vec<Vm> {
        if self.contains(vm) {
            return vec![vm.clone()];
        }
        let mut homes = self.by_centre.get(centre).unwrap_or(&self.all).clone();
        homes.sort_by_key(|hub| hash(hub, vm));
        homes
    }

    /// Hubs that `vm`, a hub itself, calls; each pair has one caller.
    pub fn callees(&self, vm: &Vm) -> Vec<Vm> {
        let Some(own) = self.all.iter().position(|hub| hub == vm) else { return Vec::new() };
        let count = self.all.len();
        let calls = |other: usize| {
            let distance = (other + count - own) % count;
            distance != 0 && (2 * distance < count || (2 * distance == count && own < other))
        };
        (0..count).filter(|other| calls(*other)).map(|other| self.all[other].clone()).collect()
    }
}

fn hash(one: &Vm, other: &Vm) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(one.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(other.as_str().as_bytes());
    hasher.finish()
}
