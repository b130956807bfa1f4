//! Limits that processes of upstreams name in their answers: requests per second
//! from all VMs together.
//!
//! A limit stands until a later answer of the process names another one or none,
//! or the upstream's entry shows another process.

use std::collections::HashMap;
use std::time::Duration;

use super::departure::Process;
use crate::clock::Time;

/// Time after the last word of a process for which it is remembered.
const RETENTION: Duration = Duration::from_secs(600);

/// What an answer said of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// Requests per second; none if the answer named no limit.
    pub per_s: Option<f64>,
    /// When a VM read the answer.
    pub at: Time,
}

/// Limits of processes.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    processes: HashMap<Process, Word>,
}

impl Limits {
    /// Records what a process said, to this VM if `own`; whether this changes its limit.
    /// A word older than the last one is ignored.
    pub fn record(&mut self, process: Process, word: Word, _own: bool, now: Time) -> bool {
        let before = self.processes.get(&process).copied();
        if before.is_some_and(|before| before.at > word.at) {
            return false;
        }
        let per_s = before.and_then(|before| before.per_s);
        if before.is_none() && word.per_s.is_none() {
            return false;
        }
        self.processes.retain(|_, word| !word.at.after(RETENTION).passed(now));
        self.processes.insert(process, word);
        per_s != word.per_s
    }

    /// Limit of a process, in requests per second; none if it names none.
    pub fn per_s(&self, process: Process) -> Option<f64> {
        self.processes.get(&process)?.per_s
    }
}
