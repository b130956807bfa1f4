//! Owner of an upstream, and each VM's fallback slots there.

use std::collections::BTreeMap;

use crate::admission::rendezvous;
use crate::id::Vm;
use crate::view::{Role, State, Upstream, View};

/// The VM that leases out an upstream's slots.
pub fn owner_of(view: &View, upstream: &Upstream) -> Option<Vm> {
    let entries = view.members.values().filter(|member| member.role == Role::Entry);
    let live = entries.filter(|member| member.state == State::Live);
    rendezvous::order(&upstream.name, live.map(|member| member.vm.clone())).into_iter().next()
}

/// Fallback slots of every entry VM: an even share of the capacity, with the remainder going to
/// the VMs that rank first.
pub fn fallback(view: &View, upstream: &Upstream) -> BTreeMap<Vm, u32> {
    let entries = view.members.values().filter(|member| member.role == Role::Entry);
    let order = rendezvous::order(&upstream.name, entries.map(|member| member.vm.clone()));
    let count = order.len().max(1) as u32;
    let share = |rank: usize| {
        upstream.spec.capacity / count + u32::from((rank as u32) < upstream.spec.capacity % count)
    };
    order.into_iter().enumerate().map(|(rank, vm)| (vm, share(rank))).collect()
}
