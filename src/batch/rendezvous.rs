//! Rendezvous hashing: assigns each upstream an entry VM that dispatches its
//! batch work.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::id::{Upstream, Vm};
use crate::view::{Role, State, View};

/// Returns the dispatcher of an upstream: the live entry VM with the highest
/// hash. VMs whose views differ may briefly choose two dispatchers, which only
/// makes the bound on batch work less exact.
pub fn dispatcher<'a>(view: &'a View, upstream: &Upstream) -> Option<&'a Vm> {
    let members = view.members.values();
    let live = members.filter(|each| each.role == Role::Entry && each.state == State::Live);
    live.map(|member| &member.vm).max_by_key(|vm| (score(upstream, vm), *vm))
}

fn score(upstream: &Upstream, vm: &Vm) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(upstream.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(vm.as_str().as_bytes());
    hasher.finish()
}
