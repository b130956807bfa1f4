//! Which members still have to be told of the present version.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// Bound on one push.
const PUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Pushes of one VM, at most one under way to each member.
#[derive(Clone, Debug, Default)]
pub(super) struct Pushes {
    wanted: u64,
    base: u64,
    until: Time,
    settled: u64,
    under_way: HashMap<Vm, Time>,
}

impl Pushes {
    /// Wants every member to hold `version`, trying until `until`; the members
    /// most likely hold `base` already.
    pub(super) fn want(&mut self, version: u64, base: u64, until: Time) {
        self.wanted = self.wanted.max(version);
        self.base = base;
        self.until = self.until.max(until);
    }

    /// Version that members which never answered are taken to hold. One that
    /// holds less answers with what it holds.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    /// Version that members must hold, while there is one.
    pub(super) fn wanted(&self, now: Time) -> Option<u64> {
        (!self.until.passed(now)).then_some(self.wanted)
    }

    /// Whether a majority was seen to hold `version`.
    pub(super) fn settled(&self, version: u64) -> bool {
        self.settled >= version
    }

    /// Notes that a majority holds `version`.
    pub(super) fn settle(&mut self, version: u64) {
        self.settled = version;
    }

    /// Begins a push, unless one is under way.
    pub(super) fn begin(&mut self, vm: &Vm, now: Time) -> bool {
        let free = self.under_way.get(vm).is_none_or(|until| until.passed(now));
        if free {
            self.under_way.insert(vm.clone(), now.after(PUSH_TIMEOUT));
        }
        free
    }

    /// A push was answered or failed.
    pub(super) fn end(&mut self, vm: &Vm) {
        self.under_way.remove(vm);
    }
}
