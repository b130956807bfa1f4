//! Entry VMs of the fleet, as the store lists them.
//!
//! Each VM has one entry under `MEMBER_PREFIX`, written by itself at its start
//! and removed by a peer that has not heard from it for a while. No lease
//! holds the entry: leases may run out while the store is away, and the whole
//! fleet would seem gone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::id::{DataCentre, Vm};
use crate::kv::Entry;

/// Prefix of the members' keys.
pub const MEMBER_PREFIX: &str = "vm/";

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: Vm,
    /// Random number of this run of its process.
    pub incarnation: u64,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where other VMs send datagrams.
    pub peer: SocketAddr,
    /// Where other VMs make calls that the store turns away from them.
    pub relay: SocketAddr,
    /// What it can carry, relative to others.
    pub weight: f64,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Member {
    /// Key of a VM's entry.
    pub fn key_of(vm: &Vm) -> String {
        format!("{MEMBER_PREFIX}{vm}")
    }

    /// The entry's value.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a member is always valid JSON")
    }

    /// Reads an entry.
    pub fn decode(entry: &Entry) -> Result<Self> {
        serde_json::from_slice(&entry.value)
            .map_err(|error| Error::new(Kind::Invalid, format!("{}: {error}", entry.key)))
    }
}

/// A member with the version of its entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The member.
    pub member: Member,
    /// Version of its entry.
    pub version: u64,
}

/// The member that is responsible for `name`: every VM computes the same one
/// from the same list. Leaving members are passed over.
pub fn owner<'a>(members: &'a [Listed], name: &str) -> Option<&'a Member> {
    members
        .iter()
        .map(|listed| &listed.member)
        .filter(|member| !member.leaving)
        .max_by_key(|member| rank(&member.vm, name))
}

/// Position of a VM in the order for `name`, the same on every VM.
pub fn rank(vm: &Vm, name: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(vm.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(name.as_bytes());
    hasher.finish()
}
