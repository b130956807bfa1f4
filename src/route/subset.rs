//! Deterministic subsetting: each VM uses a fixed part of a large set of upstreams.

use std::hash::Hasher;

use siphasher::sip::SipHasher24;

use crate::id::{Upstream, Vm};

/// Rendezvous hash score: the loss of an upstream doesn't change which other
/// upstreams a VM uses.
fn score(vm: &Vm, upstream: &Upstream) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(vm.as_str().as_bytes());
    hasher.write_u8(0xff);
    hasher.write(upstream.as_str().as_bytes());
    hasher.finish()
}

/// Returns the `size` upstreams that `vm` uses, or all if there are not more than `size`.
pub fn subset<'a>(vm: &Vm, upstreams: &'a [Upstream], size: usize) -> Vec<&'a Upstream> {
    let mut ranked: Vec<&Upstream> = upstreams.iter().collect();
    if ranked.len() > size {
        ranked.sort_by_key(|upstream| score(vm, upstream));
        ranked.truncate(size);
    }
    ranked
}
