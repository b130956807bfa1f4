//! What allows this VM to act on its configuration.
//!
//! Either the key-value service confirmed the version that this VM holds, or a
//! majority of the members was heard and none of them held a later one. Each
//! piece of evidence counts from the moment at which it was asked for and ends
//! after `CONTACT_BOUND`. An accepted change is held by a majority, so
//! evidence asked for after its acceptance can't leave it out.

use std::collections::HashMap;
use std::time::Duration;

use super::Table;
use crate::clock::Time;
use crate::id::Vm;

/// How long evidence holds: a withdrawn key must stop working within 3 s of
/// acceptance, less the time it takes to end streams.
pub const CONTACT_BOUND: Duration = Duration::from_millis(2_800);

key! {
    /// Something that was true when it was asked for.
    #[derive(Default)]
    pub struct Proof {
        /// Highest version that it speaks of.
        pub version: u64,
        /// Until when it holds.
        pub until: Time,
    }
}

/// Evidence for one subject: the best that counts now, and the best that will
/// count once a later version is adopted.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    counted: Proof,
    ahead: Proof,
}

impl Record {
    fn add(&mut self, proof: Proof, held: u64) {
        let slot = if proof.version <= held { &mut self.counted } else { &mut self.ahead };
        if proof.until > slot.until {
            *slot = proof;
        }
    }

    fn catch_up(&mut self, held: u64) {
        if self.ahead.version <= held && self.ahead.until > self.counted.until {
            self.counted = self.ahead;
        }
    }
}

/// All evidence that this VM has.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    confirmed: Record,
    heard: HashMap<Vm, Record>,
}

impl Evidence {
    /// Adds a confirmation by the key-value service.
    pub fn confirm(&mut self, proof: Proof, held: u64) {
        self.confirmed.add(proof, held);
    }

    /// Adds that a voting member was heard.
    pub fn hear(&mut self, vm: &Vm, proof: Proof, held: u64) {
        self.heard.entry(vm.clone()).or_default().add(proof, held);
    }

    /// Takes in that this VM now holds a later version.
    pub fn adopt(&mut self, held: u64) {
        self.confirmed.catch_up(held);
        self.heard.values_mut().for_each(|record| record.catch_up(held));
    }

    /// Forgets VMs that aren't members.
    pub fn retain(&mut self, table: &Table) {
        self.heard.retain(|vm, _| table.members.contains_key(vm));
    }

    /// The best confirmation of a version that this VM holds.
    pub fn confirmed(&self) -> Proof {
        self.confirmed.counted
    }

    /// Until when a member counts as heard.
    pub fn heard(&self, vm: &Vm) -> Time {
        self.heard.get(vm).map_or(Time(0), |record| record.counted.until)
    }

    /// Until when a majority of the table's members counts as heard; `own`
    /// counts until `own_until`.
    pub fn majority(&self, table: &Table, own: &Vm, own_until: Time) -> Time {
        if table.members.is_empty() {
            return Time(0);
        }
        let until = |vm: &Vm| if vm == own { own_until } else { self.heard(vm) };
        let mut ends: Vec<Time> = table.members.keys().map(until).collect();
        let place = table.majority() - 1;
        *ends.select_nth_unstable_by(place, |one, other| other.cmp(one)).1
    }
}
