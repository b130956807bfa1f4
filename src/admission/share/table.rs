//! The share table: which VM holds which slice of each organisation.
//!
//! The table is one value in the platform's key-value service and changes by compare-and-swap.
//! Each change takes two steps: while the table is pending, every VM uses the smaller of its old
//! and new slice; once the same table is settled, it uses the new one.

use std::collections::BTreeMap;

use super::Slice;
use crate::id::{Organisation, Vm};

value! {
    /// Slices of all VMs, in one version of the table.
    #[derive(Default, Eq)]
    pub struct Table {
        /// Number of the table, which increases with each change.
        pub epoch: u64,
        /// Whether no VM can still spend slices of an older epoch.
        pub settled: bool,
        /// Allocations by VM.
        pub holders: BTreeMap<Vm, Allocation>,
        /// Incarnations of the holders in the previous epoch.
        pub previous: BTreeMap<Vm, u64>,
    }

    /// Slices allocated to one VM.
    #[derive(Default, Eq)]
    pub struct Allocation {
        /// Incarnation that holds the slices; a later one holds nothing.
        pub incarnation: u64,
        /// Slices by organisation.
        pub slices: BTreeMap<Organisation, Slice>,
    }
}

impl Table {
    /// Slices of a VM, empty for any other incarnation than the one in the table.
    pub fn slices(&self, vm: &Vm, incarnation: u64) -> BTreeMap<Organisation, Slice> {
        match self.holders.get(vm) {
            Some(allocation) if allocation.incarnation == incarnation => allocation.slices.clone(),
            _ => BTreeMap::new(),
        }
    }

    /// Epoch and settled flag; tuples compare in the order of table versions.
    pub fn step(&self) -> (u64, bool) {
        (self.epoch, self.settled)
    }

    /// Number of holders that make a majority.
    pub fn majority(&self) -> usize {
        self.holders.len() / 2 + 1
    }

    /// Sum of the slices of an organisation.
    pub fn total(&self, organisation: &Organisation) -> Slice {
        let slices =
            self.holders.values().filter_map(|allocation| allocation.slices.get(organisation));
        slices.fold(Slice::default(), |sum, slice| Slice {
            rate: sum.rate + slice.rate,
            burst: sum.burst + slice.burst,
        })
    }
}
