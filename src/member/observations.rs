//! Observations that show this VM's configuration to be current.
//!
//! A VM may act on its configuration if either the key-value service confirmed the version that
//! it holds, or a majority of the members answered and none of them held a later version. Each
//! observation is valid for `CONTACT_VALIDITY` from when it was requested. An accepted change is
//! held by a majority, so observations requested after its acceptance always reflect it.

use std::collections::HashMap;
use std::time::Duration;

use super::Table;
use crate::clock::Time;
use crate::id::Vm;

/// How long an observation is valid. A withdrawn API key must stop working within 3 s of
/// acceptance; the remaining 200 ms are for closing streams.
pub const CONTACT_VALIDITY: Duration = Duration::from_millis(2_800);

key! {
    /// A configuration version that was the latest known to its source when requested.
    #[derive(Default)]
    pub struct Observation {
        /// The latest version known to the source.
        pub version: u64,
        /// When the observation expires.
        pub expires_at: Time,
    }
}

/// Observations from one source: the longest-lived one that counts now, and the longest-lived one
/// that counts once this VM holds a later version.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    current: Observation,
    pending: Observation,
}

impl Entry {
    fn add(&mut self, observation: Observation, held_version: u64) {
        let slot =
            if observation.version <= held_version { &mut self.current } else { &mut self.pending };
        if observation.expires_at > slot.expires_at {
            *slot = observation;
        }
    }

    fn promote(&mut self, held_version: u64) {
        if self.pending.version <= held_version && self.pending.expires_at > self.current.expires_at
        {
            self.current = self.pending;
        }
    }
}

/// All observations made by this VM.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    platform: Entry,
    by_member: HashMap<Vm, Entry>,
}

impl Observations {
    /// Adds an observation confirmed by the key-value service.
    pub fn add_platform(&mut self, observation: Observation, held_version: u64) {
        self.platform.add(observation, held_version);
    }

    /// Adds an observation from a voting member.
    pub fn add_member(&mut self, vm: &Vm, observation: Observation, held_version: u64) {
        self.by_member.entry(vm.clone()).or_default().add(observation, held_version);
    }

    /// Updates the observations after this VM moved to the version `held_version`.
    pub fn advance(&mut self, held_version: u64) {
        self.platform.promote(held_version);
        self.by_member.values_mut().for_each(|entry| entry.promote(held_version));
    }

    /// Removes VMs that aren't members of `table`.
    pub fn retain(&mut self, table: &Table) {
        self.by_member.retain(|vm, _| table.members.contains_key(vm));
    }

    /// The longest-lived confirmation of a version that this VM holds.
    pub fn platform(&self) -> Observation {
        self.platform.current
    }

    /// When the observation from a member expires.
    pub fn member_deadline(&self, vm: &Vm) -> Time {
        self.by_member.get(vm).map_or(Time(0), |entry| entry.current.expires_at)
    }

    /// When the observations stop covering a majority of the table's members; the deadline of
    /// `own` itself is `own_deadline`.
    pub fn majority_deadline(&self, table: &Table, own: &Vm, own_deadline: Time) -> Time {
        if table.members.is_empty() {
            return Time(0);
        }
        let expires_at = |vm: &Vm| if vm == own { own_deadline } else { self.member_deadline(vm) };
        let mut deadlines: Vec<Time> = table.members.keys().map(expires_at).collect();
        let index = table.quorum() - 1;
        *deadlines.select_nth_unstable_by(index, |first, second| second.cmp(first)).1
    }
}
