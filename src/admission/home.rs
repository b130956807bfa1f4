//! Home VMs: the entry VMs that hold an organisation's rate.
//!
//! A small organisation has two, in different data centres if there are several; the number
//! grows with the rate. Every VM computes the same set from its view. Callers are directed to all
//! home VMs, but only the first one of a small organisation holds a slice, because tokens divided
//! between two VMs admit fewer requests than the same tokens on one.

use crate::admission::rendezvous;
use crate::id::{Organisation, Vm};
use crate::view::{Member, Role, State, View};

/// Minimum number of home VMs, so that callers have an alternative when one fails.
const MIN_HOMES: usize = 2;
/// Maximum rate that one home VM holds, in requests per second.
pub const RATE_PER_HOME: f64 = 200.0;

/// Home VMs of an organisation, in descending order of preference.
pub fn of(view: &View, organisation: &Organisation) -> Vec<Vm> {
    let Some(spec) = view.organisations.get(organisation) else { return Vec::new() };
    let entries = view
        .members
        .values()
        .filter(|member| member.role == Role::Entry && member.state == State::Live);
    choose(organisation, entries, spec.rate)
}

/// Chooses the home VMs among `entries` for a rate in requests per second.
pub fn choose<'a, L>(organisation: &Organisation, entries: L, rate: f64) -> Vec<Vm>
where
    L: IntoIterator<Item = &'a Member>,
{
    select(organisation, entries, slice_count(rate, RATE_PER_HOME).max(MIN_HOMES))
}

/// Number of home VMs that hold slices of a rate, if each holds at most `rate_per_home`.
pub fn slice_count(rate: f64, rate_per_home: f64) -> usize {
    ((rate / rate_per_home).ceil() as usize).max(1)
}

/// The `count` preferred home VMs among `entries`, or all entries if there are fewer.
pub fn select<'a, L>(organisation: &Organisation, entries: L, count: usize) -> Vec<Vm>
where
    L: IntoIterator<Item = &'a Member>,
{
    let mut entries: Vec<&Member> = entries.into_iter().collect();
    entries.sort_by_key(|member| std::cmp::Reverse(rendezvous::score(organisation, &member.vm)));
    let target = count.min(entries.len());
    let mut homes: Vec<&Member> = Vec::new();
    while homes.len() < target {
        // Prefers data centres with the fewest homes so far.
        let best = entries.iter().enumerate().min_by_key(|(index, member)| {
            (homes.iter().filter(|home| home.data_centre == member.data_centre).count(), *index)
        });
        let Some((index, _)) = best else { break };
        homes.push(entries.remove(index));
    }
    homes.into_iter().map(|member| member.vm.clone()).collect()
}
