//! Members of the fleet: the entry VMs listed in the store.
//!
//! Each VM writes one entry under `MEMBER_PREFIX` at its start; a peer that has
//! not heard from it for a while removes the entry. Entries aren't bound to
//! leases: leases may expire during an outage of the store, and the whole fleet
//! would appear to be gone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::id::{DataCentre, Vm};
use crate::kv::Entry;

/// Key prefix of member entries.
pub const MEMBER_PREFIX: &str = "vm/";

/// An entry VM, as stored in its member entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: Vm,
    /// Random number that identifies this run of its process.
    pub incarnation: u64,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address to which peers send datagrams.
    pub peer: SocketAddr,
    /// Address of the internal server, which relays peers' calls to the store.
    pub relay: SocketAddr,
    /// Address at which it serves tunnels to upstreams; none in entries of older versions.
    #[serde(default)]
    pub tunnel: Option<SocketAddr>,
    /// What its rate limiter does; none in entries of older versions.
    #[serde(default)]
    pub rates: Option<Rates>,
    /// Capacity relative to other VMs.
    pub weight: f64,
    /// Whether the VM is shutting down gracefully.
    pub leaving: bool,
}

/// What the rate limiter of a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Whether it hands buckets over.
    pub hands_over: bool,
    /// Whether it keeps a part of each limit as a deputy; older versions don't.
    #[serde(default)]
    pub keeps_part: bool,
    /// When it last began with a credit after a crash, as a Unix time in milliseconds.
    pub credited_unix_ms: u64,
}

impl Member {
    /// Store key of a VM's entry.
    pub fn key_of(vm: &Vm) -> String {
        format!("{MEMBER_PREFIX}{vm}")
    }

    /// Encodes the value of the entry.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a member serializes to JSON")
    }

    /// Decodes an entry.
    pub fn decode(entry: &Entry) -> Result<Self> {
        serde_json::from_slice(&entry.value)
            .map_err(|error| Error::new(Kind::Invalid, format!("{}: {error}", entry.key)))
    }
}

/// A member with the version of its entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The decoded entry.
    pub member: Member,
    /// Version of the entry in the store.
    pub version: u64,
}

/// The member responsible for `name`, by rendezvous hashing: every VM computes
/// the same owner from the same list. Leaving members are skipped.
pub fn owner<'a>(members: &'a [Listed], name: &str) -> Option<&'a Member> {
    members
        .iter()
        .map(|listed| &listed.member)
        .filter(|member| !member.leaving)
        .max_by_key(|member| rank(&member.vm, name))
}

/// The `count` members that rank highest for `name` by rendezvous hashing; the first one is
/// the owner. Leaving members are skipped.
pub fn ranked<'a>(members: &'a [Listed], name: &str, count: usize) -> Vec<&'a Member> {
    let mut highest: Vec<(u64, &Member)> = Vec::with_capacity(count + 1);
    for member in members.iter().map(|listed| &listed.member).filter(|member| !member.leaving) {
        let rank = rank(&member.vm, name);
        let position = highest.partition_point(|(other, _)| *other > rank);
        highest.insert(position, (rank, member));
        highest.truncate(count);
    }
    highest.into_iter().map(|(_, member)| member).collect()
}

/// The members other than `own` that keep a copy of what belongs to `name`: the
/// `count` highest by rendezvous hashing. Leaving members are skipped.
pub fn replicas<'a>(members: &'a [Listed], own: &Vm, name: &str, count: usize) -> Vec<&'a Member> {
    let others = members.iter().map(|listed| &listed.member);
    let mut others: Vec<&Member> =
        others.filter(|member| !member.leaving && &member.vm != own).collect();
    others.sort_by_key(|member| std::cmp::Reverse(rank(&member.vm, name)));
    others.truncate(count);
    others
}

/// Rendezvous hash of a VM for `name`; the highest one owns the name.
pub fn rank(vm: &Vm, name: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(vm.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(name.as_bytes());
    hasher.finish()
}
