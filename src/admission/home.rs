//! Home VMs: the few that hold an organisation's rate.
//!
//! Two for a small organisation, in different data centres where there are
//! several, and more with its rate. Every VM computes the same ones from its
//! view. Callers are steered to all of them; of a small organisation only the
//! first holds a slice, since tokens that lie in two places serve fewer
//! requests than the same tokens in one.

use crate::admission::rendezvous;
use crate::id::{Organisation, Vm};
use crate::view::{Member, Role, State, View};

/// Fewest home VMs, so that callers know another when one fails.
const MIN_HOMES: usize = 2;
/// Requests a second that one home VM holds at most.
pub const RATE_PER_HOME: f64 = 200.0;

/// Home VMs of an organisation, the first one first.
pub fn of(view: &View, organisation: &Organisation) -> Vec<Vm> {
    let Some(spec) = view.organisations.get(organisation) else { return Vec::new() };
    let entries = view
        .members
        .values()
        .filter(|member| member.role == Role::Entry && member.state == State::Live);
    choose(organisation, entries, spec.rate)
}

/// Chooses the home VMs among `entries` for a rate.
pub fn choose<'a, L>(organisation: &Organisation, entries: L, rate: f64) -> Vec<Vm>
where
    L: IntoIterator<Item = &'a Member>,
{
    select(organisation, entries, slice_count(rate, RATE_PER_HOME).max(MIN_HOMES))
}

/// How many home VMs hold slices of a rate, if each holds `rate_per_home` at
/// most.
pub fn slice_count(rate: f64, rate_per_home: f64) -> usize {
    ((rate / rate_per_home).ceil() as usize).max(1)
}

/// The first `count` home VMs among `entries`, or all there are.
pub fn select<'a, L>(organisation: &Organisation, entries: L, count: usize) -> Vec<Vm>
where
    L: IntoIterator<Item = &'a Member>,
{
    let mut entries: Vec<&Member> = entries.into_iter().collect();
    entries.sort_by_key(|member| std::cmp::Reverse(rendezvous::score(organisation, &member.vm)));
    let wanted = count.min(entries.len());
    let mut homes: Vec<&Member> = Vec::new();
    while homes.len() < wanted {
        // Data centres with the fewest homes so far come first.
        let best = entries.iter().enumerate().min_by_key(|(place, member)| {
            (homes.iter().filter(|home| home.data_centre == member.data_centre).count(), *place)
        });
        let Some((place, _)) = best else { break };
        homes.push(entries.remove(place));
    }
    homes.into_iter().map(|member| member.vm.clone()).collect()
}
