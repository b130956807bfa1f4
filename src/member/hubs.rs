//! Heartbeat topology: which members exchange heartbeats.
//!
//! A few hubs per data centre confirm the configuration version at the key-value service and
//! exchange heartbeats with each other; every other member exchanges heartbeats with one hub of
//! its data centre. The control traffic of a node therefore grows with the square root of the
//! fleet size.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::Table;
use crate::id::{DataCentre, Vm};

/// Number of hubs in each data centre.
const HUBS_PER_DATA_CENTRE: usize = 3;

/// The hubs of one member table and the members assigned to each hub.
#[derive(Clone, Debug, Default)]
pub struct Hubs {
    by_data_centre: BTreeMap<DataCentre, Vec<Vm>>,
    all: Vec<Vm>,
    assigned: BTreeMap<Vm, Vec<Vm>>,
}

impl Hubs {
    /// Selects the hubs of a table by hash, so that every VM selects the same ones.
    pub fn new(table: &Table) -> Self {
        let mut by_data_centre: BTreeMap<DataCentre, Vec<Vm>> = BTreeMap::new();
        for (vm, data_centre) in &table.members {
            by_data_centre.entry(data_centre.clone()).or_default().push(vm.clone());
        }
        for vms in by_data_centre.values_mut() {
            vms.sort_by_key(|vm| hash(vm, vm));
            vms.truncate(HUBS_PER_DATA_CENTRE);
        }
        let all: Vec<Vm> = by_data_centre.values().flatten().cloned().collect();
        let mut hubs = Self { by_data_centre, all, assigned: BTreeMap::new() };
        for (vm, data_centre) in &table.members {
            if let Some(preferred) = hubs.candidates(vm, data_centre).into_iter().next() {
                hubs.assigned.entry(preferred).or_default().push(vm.clone());
            }
        }
        hubs
    }

    /// Whether a VM is a hub.
    pub fn contains(&self, vm: &Vm) -> bool {
        self.all.contains(vm)
    }

    /// All hubs, in the same order on every VM.
    pub fn all(&self) -> &[Vm] {
        &self.all
    }

    /// Members assigned to a hub, in the order in which its heartbeats report them.
    pub fn assigned(&self, hub: &Vm) -> &[Vm] {
        self.assigned.get(hub).map_or(&[], Vec::as_slice)
    }

    /// Hubs that a member may exchange heartbeats with, the preferred one first. A hub is
    /// assigned to itself.
    pub fn candidates(&self, vm: &Vm, data_centre: &DataCentre) -> Vec<Vm> {
        if self.contains(vm) {
            return vec![vm.clone()];
        }
        let mut candidates = self.by_data_centre.get(data_centre).unwrap_or(&self.all).clone();
        candidates.sort_by_key(|hub| hash(hub, vm));
        candidates
    }

    /// Hubs that `vm`, itself a hub, sends heartbeats to; each pair of hubs has one sender.
    pub fn callees(&self, vm: &Vm) -> Vec<Vm> {
        let Some(own_index) = self.all.iter().position(|hub| hub == vm) else { return Vec::new() };
        let count = self.all.len();
        let calls = |other: usize| {
            let distance = (other + count - own_index) % count;
            distance != 0 && (2 * distance < count || (2 * distance == count && own_index < other))
        };
        (0..count).filter(|other| calls(*other)).map(|other| self.all[other].clone()).collect()
    }
}

fn hash(first: &Vm, second: &Vm) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(first.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(second.as_str().as_bytes());
    hasher.finish()
}
