//! Which members are known to hold which version.
//!
//! A change is accepted once a majority of the members holds it and a majority
//! of the table before knows the present table. Answers count for a short time
//! only: a VM that restarts loses its memory, and isn't counted by others
//! before that time has passed.

use std::collections::HashMap;
use std::time::Duration;

use super::Table;
use crate::clock::Time;
use crate::id::Vm;

/// How long an answer counts, from the moment at which it was asked for.
pub const ANSWER_BOUND: Duration = Duration::from_secs(2);

/// What members answered last.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    answers: HashMap<Vm, (u64, Time)>,
}

impl Holders {
    /// Notes that `vm` holds `version`, asked for at `asked`.
    pub fn note(&mut self, vm: &Vm, version: u64, asked: Time) {
        let answer = self.answers.entry(vm.clone()).or_insert((0, Time(0)));
        if asked >= answer.1 {
            *answer = (version, asked);
        }
    }

    /// Version that `vm` was last known to hold, if it ever answered.
    pub fn known(&self, vm: &Vm) -> Option<u64> {
        self.answers.get(vm).map(|answer| answer.0)
    }

    /// Version that `vm` was last known to hold.
    pub fn version(&self, vm: &Vm) -> u64 {
        self.known(vm).unwrap_or(0)
    }

    /// Whether `vm` is known to hold `version` at `now`.
    pub fn holds(&self, vm: &Vm, version: u64, now: Time) -> bool {
        let answer = self.answers.get(vm);
        answer
            .is_some_and(|(held, asked)| *held >= version && !asked.after(ANSWER_BOUND).passed(now))
    }

    /// Forgets VMs that `keep` doesn't want.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Vm) -> bool,
    {
        self.answers.retain(|vm, _| keep(vm));
    }

    /// Whether a majority of the table holds `version`.
    pub fn majority(&self, table: &Table, version: u64, now: Time) -> bool {
        let count = table.members.keys().filter(|vm| self.holds(vm, version, now)).count();
        !table.members.is_empty() && count >= table.majority()
    }

    /// Whether a majority of the table before knows this table; members that
    /// are `gone` can't act on an older one.
    pub fn established<F>(&self, table: &Table, now: Time, gone: F) -> bool
    where
        F: Fn(&Vm) -> bool,
    {
        let knows = |vm: &&Vm| self.holds(vm, table.version, now) || gone(vm);
        let count = table.previous.iter().filter(knows).count();
        table.previous.is_empty() || count > table.previous.len() / 2
    }
}
