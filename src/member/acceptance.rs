//! Configuration versions that members have acknowledged.
//!
//! A change is accepted once a majority of the members holds it and a majority of the previous
//! member table knows the current table. An acknowledgement is valid only for a short time,
//! because a VM that restarts loses its in-memory state; other VMs don't count a restarted VM
//! until that time has passed.

use std::collections::HashMap;
use std::time::Duration;

use super::Table;
use crate::clock::Time;
use crate::id::Vm;

/// How long an acknowledgement is valid, counted from when the request for it was sent.
pub const ACK_VALIDITY: Duration = Duration::from_secs(2);

/// The latest acknowledgement of each member.
#[derive(Clone, Debug, Default)]
pub struct Acknowledgements {
    latest: HashMap<Vm, (u64, Time)>,
}

impl Acknowledgements {
    /// Records that `vm` holds `version`, in answer to a request sent at `requested_at`.
    pub fn record(&mut self, vm: &Vm, version: u64, requested_at: Time) {
        let ack = self.latest.entry(vm.clone()).or_insert((0, Time(0)));
        if requested_at >= ack.1 {
            *ack = (version, requested_at);
        }
    }

    /// The version that `vm` last acknowledged, or `None` if it never answered.
    pub fn known_version(&self, vm: &Vm) -> Option<u64> {
        self.latest.get(vm).map(|ack| ack.0)
    }

    /// The version that `vm` last acknowledged, or 0 if it never answered.
    pub fn version(&self, vm: &Vm) -> u64 {
        self.known_version(vm).unwrap_or(0)
    }

    /// Whether `vm` has a valid acknowledgement of `version` or a later one at `now`.
    pub fn holds(&self, vm: &Vm, version: u64, now: Time) -> bool {
        let ack = self.latest.get(vm);
        ack.is_some_and(|(acked, requested_at)| {
            *acked >= version && !requested_at.after(ACK_VALIDITY).passed(now)
        })
    }

    /// Removes the VMs for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Vm) -> bool,
    {
        self.latest.retain(|vm, _| keep(vm));
    }

    /// Whether a majority of the members in `table` holds `version`.
    pub fn has_majority(&self, table: &Table, version: u64, now: Time) -> bool {
        let count = table.members.keys().filter(|vm| self.holds(vm, version, now)).count();
        !table.members.is_empty() && count >= table.quorum()
    }

    /// Whether a majority of the previous table's members knows `table`. Members that are
    /// `terminated` count as knowing it, since they can't act on an older table.
    pub fn previous_majority<F>(&self, table: &Table, now: Time, terminated: F) -> bool
    where
        F: Fn(&Vm) -> bool,
    {
        let knows = |vm: &&Vm| self.holds(vm, table.version, now) || terminated(vm);
        let count = table.previous.iter().filter(knows).count();
        table.previous.is_empty() || count > table.previous.len() / 2
    }
}
