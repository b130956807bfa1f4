//! Publishing share tables: decrease first, increase after.
//!
//! Any VM may publish: the compare-and-swap lets one change through, and what
//! lets a table settle stays true once it is. So two publishers cost a refused
//! write and nothing else, and no lease is needed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::buckets::LENDER_LOAN_TTL;
use super::holder::{Report, VALIDITY};
use super::{Allocation, Slice, Table};
use crate::admission::home;
use crate::clock::Time;
use crate::id::{Organisation, Vm};
use crate::view::{Member, Role, State, View};

/// Margin for clocks that run at different speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// What must be true before a table settles.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    epoch: u64,
    adopted: BTreeSet<Vm>,
    majority_since: Option<Time>,
    all_since: Option<Time>,
}

impl Publisher {
    /// Learns the table that the platform's service holds.
    pub fn observe_table(&mut self, table: &Table) {
        if table.epoch != self.epoch {
            *self = Self { epoch: table.epoch, ..Self::default() };
        }
    }

    /// Holders of the epoch before that haven't adopted the pending one.
    pub fn missing<'a>(&'a self, table: &'a Table) -> impl Iterator<Item = &'a Vm> {
        table.previous.keys().filter(|vm| !self.adopted.contains(*vm))
    }

    /// Takes in a VM's report.
    pub fn observe_report(&mut self, table: &Table, vm: &Vm, report: &Report, now: Time) {
        let Some(incarnation) = table.previous.get(vm) else { return };
        // A later incarnation never held the old slice, and the earlier one
        // has ended.
        let restarted = report.incarnation > *incarnation;
        if table.epoch != self.epoch || !(restarted || report.adopted >= table.epoch) {
            return;
        }
        self.count(table, vm, now);
    }

    /// The platform's VM list no longer names a VM: it has ended.
    pub fn mark_gone(&mut self, table: &Table, vm: &Vm, now: Time) {
        if table.epoch == self.epoch && table.previous.contains_key(vm) {
            self.count(table, vm, now);
        }
    }

    fn count(&mut self, table: &Table, vm: &Vm, now: Time) {
        self.adopted.insert(vm.clone());
        if self.adopted.len() > table.previous.len() / 2 {
            self.majority_since.get_or_insert(now);
        }
        if self.adopted.len() == table.previous.len() {
            self.all_since.get_or_insert(now);
        }
    }

    /// Whether no VM can spend by an older epoch any more.
    ///
    /// Loans of a holder that has ended live on for a while. A holder that
    /// isn't heard was last confirmed before a majority had adopted the table.
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

/// The table that should follow `current`, or none if it may stay.
pub fn next_table(current: &Table, holders: BTreeMap<Vm, Allocation>) -> Option<Table> {
    if !current.settled && current.epoch > 0 || current.holders == holders {
        return None;
    }
    let previous = current.holders.iter().map(|(vm, one)| (vm.clone(), one.incarnation)).collect();
    Some(Table { epoch: current.epoch + 1, settled: false, holders, previous })
}

/// Slices for the members and organisations of a view.
pub fn allocate(view: &View) -> BTreeMap<Vm, Allocation> {
    allocate_per_home(view, home::RATE_PER_HOME)
}

/// Slices of which each covers `rate_per_home` requests a second at most.
pub fn allocate_per_home(view: &View, rate_per_home: f64) -> BTreeMap<Vm, Allocation> {
    let entries: Vec<&Member> = view.members.values().filter(|one| holds(one)).collect();
    let mut holders: BTreeMap<Vm, Allocation> = entries
        .iter()
        .map(|one| {
            let holding = Allocation { incarnation: one.incarnation, slices: BTreeMap::new() };
            (one.vm.clone(), holding)
        })
        .collect();
    for (name, spec) in &view.organisations {
        let count = home::slice_count(spec.rate, rate_per_home);
        let homes = home::select(name, entries.iter().copied(), count);
        spread(&mut holders, name, &homes, super::quota(spec));
    }
    holders
}

fn holds(member: &Member) -> bool {
    member.role == Role::Entry && member.state == State::Live
}

fn spread(
    holders: &mut BTreeMap<Vm, Allocation>,
    organisation: &Organisation,
    homes: &[Vm],
    whole: Slice,
) {
    let parts = homes.len() as u64;
    for (place, vm) in homes.iter().enumerate() {
        let part = |total: u64| total / parts + u64::from((place as u64) < total % parts);
        let slice = Slice { rate: part(whole.rate), burst: part(whole.burst) };
        if let Some(holding) = holders.get_mut(vm) {
            holding.slices.insert(organisation.clone(), slice);
        }
    }
}
