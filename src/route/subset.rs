//! The upstreams that one VM uses of a large fleet.

use std::hash::Hasher;

use siphasher::sip::SipHasher24;

use crate::id::{Upstream, Vm};

/// Ranks by rendezvous hash, so that a lost upstream moves nobody else's.
fn score(vm: &Vm, upstream: &Upstream) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(vm.as_str().as_bytes());
    hasher.write_u8(0xff);
    hasher.write(upstream.as_str().as_bytes());
    hasher.finish()
}

/// The `size` upstreams that `vm` uses; all when there are no more.
pub fn subset<'a>(vm: &Vm, upstreams: &'a [Upstream], size: usize) -> Vec<&'a Upstream> {
    let mut ranked: Vec<&Upstream> = upstreams.iter().collect();
    if ranked.len() > size {
        ranked.sort_by_key(|upstream| score(vm, upstream));
        ranked.truncate(size);
    }
    ranked
}
