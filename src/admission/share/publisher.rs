//! Publishing of share tables: decreases take effect before increases.
//!
//! Any VM may publish. Compare-and-swap lets only one change through, and the condition for
//! settling a table stays true once it holds. Two concurrent publishers therefore cost one
//! rejected write and nothing else, and no lease is needed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::buckets::LENDER_LOAN_TTL;
use super::holder::{Report, VALIDITY};
use super::{Allocation, Slice, Table};
use crate::admission::home;
use crate::clock::Time;
use crate::id::{Organisation, Vm};
use crate::view::{Member, Role, State, View};

/// Margin for clock rates that differ between VMs.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// Tracks which holders have adopted a pending table, to decide when it may settle.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    epoch: u64,
    adopted: BTreeSet<Vm>,
    majority_since: Option<Time>,
    all_since: Option<Time>,
}

impl Publisher {
    /// Records the current table; a new epoch resets the state.
    pub fn observe_table(&mut self, table: &Table) {
        if table.epoch != self.epoch {
            *self = Self { epoch: table.epoch, ..Self::default() };
        }
    }

    /// Holders of the previous epoch that haven't adopted the pending one.
    pub fn missing<'a>(&'a self, table: &'a Table) -> impl Iterator<Item = &'a Vm> {
        table.previous.keys().filter(|vm| !self.adopted.contains(*vm))
    }

    /// Records a VM's report.
    pub fn observe_report(&mut self, table: &Table, vm: &Vm, report: &Report, now: Time) {
        let Some(incarnation) = table.previous.get(vm) else { return };
        // A later incarnation never held the old slice, and the earlier one has terminated.
        let restarted = report.incarnation > *incarnation;
        if table.epoch != self.epoch || !(restarted || report.adopted >= table.epoch) {
            return;
        }
        self.record_adoption(table, vm, now);
    }

    /// Records that a VM has terminated, as the platform's VM list no longer contains it.
    pub fn mark_gone(&mut self, table: &Table, vm: &Vm, now: Time) {
        if table.epoch == self.epoch && table.previous.contains_key(vm) {
            self.record_adoption(table, vm, now);
        }
    }

    fn record_adoption(&mut self, table: &Table, vm: &Vm, now: Time) {
        self.adopted.insert(vm.clone());
        if self.adopted.len() > table.previous.len() / 2 {
            self.majority_since.get_or_insert(now);
        }
        if self.adopted.len() == table.previous.len() {
            self.all_since.get_or_insert(now);
        }
    }

    /// Whether no VM can spend slices of an older epoch any more.
    ///
    /// Loans of a terminated holder stay valid until they expire. A holder that doesn't report
    /// was last confirmed before a majority had adopted the table.
    pub fn may_settle(&self, table: &Table, now: Time) -> bool {
        if table.epoch != self.epoch {
            return false;
        }
        let loans = LENDER_LOAN_TTL + CLOCK_MARGIN;
        let passed = |since: Time, span| since.after(span).passed(now);
        table.previous.is_empty()
            || self.all_since.is_some_and(|since| passed(since, loans))
            || self.majority_since.is_some_and(|since| passed(since, VALIDITY + loans))
    }
}

/// The table that replaces `current`, or `None` if it is pending or up to date.
pub fn next_table(current: &Table, holders: BTreeMap<Vm, Allocation>) -> Option<Table> {
    if !current.settled && current.epoch > 0 || current.holders == holders {
        return None;
    }
    let previous = current
        .holders
        .iter()
        .map(|(vm, allocation)| (vm.clone(), allocation.incarnation))
        .collect();
    Some(Table { epoch: current.epoch + 1, settled: false, holders, previous })
}

/// Allocates slices for the members and organisations of a view.
pub fn allocate(view: &View) -> BTreeMap<Vm, Allocation> {
    allocate_per_home(view, home::RATE_PER_HOME)
}

/// Allocates slices of at most `rate_per_home` requests per second each.
pub fn allocate_per_home(view: &View, rate_per_home: f64) -> BTreeMap<Vm, Allocation> {
    let entries: Vec<&Member> =
        view.members.values().filter(|member| is_eligible(member)).collect();
    let mut holders: BTreeMap<Vm, Allocation> = entries
        .iter()
        .map(|member| {
            let allocation =
                Allocation { incarnation: member.incarnation, slices: BTreeMap::new() };
            (member.vm.clone(), allocation)
        })
        .collect();
    for (name, spec) in &view.organisations {
        let count = home::slice_count(spec.rate, rate_per_home);
        let homes = home::select(name, entries.iter().copied(), count);
        assign(&mut holders, name, &homes, super::quota(spec));
    }
    holders
}

fn is_eligible(member: &Member) -> bool {
    member.role == Role::Entry && member.state == State::Live
}

fn assign(
    holders: &mut BTreeMap<Vm, Allocation>,
    organisation: &Organisation,
    homes: &[Vm],
    quota: Slice,
) {
    let parts = homes.len() as u64;
    for (index, vm) in homes.iter().enumerate() {
        let part = |total: u64| total / parts + u64::from((index as u64) < total % parts);
        let slice = Slice { rate: part(quota.rate), burst: part(quota.burst) };
        if let Some(allocation) = holders.get_mut(vm) {
            allocation.slices.insert(organisation.clone(), slice);
        }
    }
}
