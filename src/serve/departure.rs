//! Processes of upstreams that said in an answer that they leave.
//!
//! Such a process never stays after all, so its word outweighs any entry of the
//! store that was written before, and stands until the upstream's entry shows
//! another process or this VM restarts. Other VMs are told for a while, as a hint
//! that spares them finding out for themselves.

use std::collections::HashMap;
use std::time::Duration;

use super::datagram::{Leaving, Limited};
use super::repeat::Repeat;
use super::upstream::number;
use crate::clock::Time;
use crate::id::Upstream;

/// Age up to which a process's word is passed on to other VMs, and taken from them.
const MAX_HINT_AGE: Duration = Duration::from_secs(10);
/// Time for which a process is remembered; far longer than one takes to leave.
const RETENTION: Duration = Duration::from_secs(600);

key! {
    /// A process of an upstream.
    pub struct Process {
        /// Number of the upstream, as given by `upstream::number`.
        pub number: u32,
        /// Start time of the process, as a Unix time in milliseconds.
        pub started_unix_ms: u64,
    }
}

impl Process {
    /// The process of `upstream` that started at this time.
    pub fn new(upstream: &Upstream, started_unix_ms: u64) -> Self {
        Self { number: number(upstream), started_unix_ms }
    }
}

impl From<Leaving> for Process {
    fn from(row: Leaving) -> Self {
        Self { number: row.upstream, started_unix_ms: row.started_unix_ms }
    }
}

impl From<Limited> for Process {
    fn from(row: Limited) -> Self {
        Self { number: row.upstream, started_unix_ms: row.started_unix_ms }
    }
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// When this VM learnt of it.
    known_at: Time,
    /// When the process told this VM; none if only another VM was told.
    told_at: Option<Time>,
    /// When this VM tells the others.
    repeat: Repeat,
}

/// Processes that leave.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    processes: HashMap<Process, Departure>,
}

impl Departures {
    /// Records that a process said at `at` that it leaves, to this VM if `own`; whether
    /// it is new here. Too old a word of another VM is ignored.
    pub fn record(&mut self, process: Process, at: Time, own: bool, now: Time) -> bool {
        self.processes.retain(|_, departure| !departure.known_at.after(RETENTION).passed(now));
        if !own && at.after(MAX_HINT_AGE).passed(now) {
            return false;
        }
        let is_new = !self.processes.contains_key(&process);
        let departure = self.processes.entry(process).or_insert(Departure {
            known_at: now,
            told_at: None,
            repeat: Repeat::word(now),
        });
        if own {
            departure.known_at = now;
            if departure.told_at.replace(at).is_none() {
                departure.repeat = Repeat::word(now);
            }
        }
        is_new
    }

    /// Whether a process leaves.
    pub fn contains(&self, process: Process) -> bool {
        self.processes.contains_key(&process)
    }

    /// Processes of which the others are told now, with the time; `most` at once.
    pub fn take_due(&mut self, most: usize, now: Time) -> Vec<(Process, Time)> {
        let due = self.processes.iter_mut().filter_map(|(process, departure)| {
            let at = departure.told_at.filter(|at| !at.after(MAX_HINT_AGE).passed(now))?;
            departure.repeat.is_due(now).then(|| {
                departure.repeat.record_told(now);
                (*process, at)
            })
        });
        due.take(most).collect()
    }

    /// Processes that lately told this VM that they leave, with the time.
    pub fn told(&self, now: Time) -> impl Iterator<Item = (Process, Time)> {
        let told = self
            .processes
            .iter()
            .filter_map(|(process, departure)| Some((*process, departure.told_at?)));
        told.filter(move |(_, at)| !at.after(MAX_HINT_AGE).passed(now))
    }
}
