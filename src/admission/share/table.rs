//! The share table: who holds which slice of each organisation.
//!
//! One value in the platform's service, changed by compare-and-swap. Each
//! change takes two steps: a pending table, from which every VM takes the
//! smaller of its old and new slice, and the same table settled, from which
//! it takes the new one.

use std::collections::BTreeMap;

use super::Slice;
use crate::id::{Organisation, Vm};

value! {
    /// Slices of all VMs.
    #[derive(Default, Eq)]
    pub struct Table {
        /// Rises with each change.
        pub epoch: u64,
        /// Whether no VM can still spend by an older epoch.
        pub settled: bool,
        /// Holders by VM.
        pub holders: BTreeMap<Vm, Allocation>,
        /// Incarnations that the epoch before named.
        pub previous: BTreeMap<Vm, u64>,
    }

    /// What one VM holds.
    #[derive(Default, Eq)]
    pub struct Allocation {
        /// Incarnation that holds it; a later one holds nothing.
        pub incarnation: u64,
        /// Slices by organisation.
        pub slices: BTreeMap<Organisation, Slice>,
    }
}

impl Table {
    /// Slices of one incarnation of a VM.
    pub fn slices(&self, vm: &Vm, incarnation: u64) -> BTreeMap<Organisation, Slice> {
        match self.holders.get(vm) {
            Some(holding) if holding.incarnation == incarnation => holding.slices.clone(),
            _ => BTreeMap::new(),
        }
    }

    /// Epoch and step, in the order in which tables follow each other.
    pub fn step(&self) -> (u64, bool) {
        (self.epoch, self.settled)
    }

    /// How many holders are more than half.
    pub fn majority(&self) -> usize {
        self.holders.len() / 2 + 1
    }

    /// Sum of the slices of an organisation.
    pub fn total(&self, organisation: &Organisation) -> Slice {
        let slices = self.holders.values().filter_map(|one| one.slices.get(organisation));
        slices.fold(Slice::default(), |sum, slice| Slice {
            rate: sum.rate + slice.rate,
            burst: sum.burst + slice.burst,
        })
    }
}
