//! Pushes of the current configuration version to members that don't hold it.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// Time after which an unanswered push may be sent again.
const PUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Pushes sent by one VM, at most one in flight to each member.
#[derive(Clone, Debug, Default)]
pub(super) struct Pushes {
    target: u64,
    base: u64,
    deadline: Time,
    majority_version: u64,
    in_flight: HashMap<Vm, Time>,
}

impl Pushes {
    /// Requests pushes of `version` to every member until `deadline`; members most likely hold
    /// `base` already.
    pub(super) fn request(&mut self, version: u64, base: u64, deadline: Time) {
        self.target = self.target.max(version);
        self.base = base;
        self.deadline = self.deadline.max(deadline);
    }

    /// Version that members which never answered are assumed to hold. A member with an earlier
    /// version answers with that version.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    /// Version to push, until the deadline passes.
    pub(super) fn target(&self, now: Time) -> Option<u64> {
        (!self.deadline.passed(now)).then_some(self.target)
    }

    /// Whether a majority was already found to hold `version`.
    pub(super) fn majority_holds(&self, version: u64) -> bool {
        self.majority_version >= version
    }

    /// Records that a majority holds `version`.
    pub(super) fn set_majority_holds(&mut self, version: u64) {
        self.majority_version = version;
    }

    /// Begins a push to `vm`; returns false while another one is in flight.
    pub(super) fn try_begin(&mut self, vm: &Vm, now: Time) -> bool {
        let free = self.in_flight.get(vm).is_none_or(|deadline| deadline.passed(now));
        if free {
            self.in_flight.insert(vm.clone(), now.after(PUSH_TIMEOUT));
        }
        free
    }

    /// Records that a push was answered or failed.
    pub(super) fn finish(&mut self, vm: &Vm) {
        self.in_flight.remove(vm);
    }
}
