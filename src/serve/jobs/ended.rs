//! Jobs that callers have cancelled.
//!
//! The owner of a job may be unable to read the store when the job is cancelled elsewhere,
//! and another VM may be about to take the job over. So the VM that cancels a job tells all
//! others, repeatedly, and each one remembers it for longer than outages last.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::serve::repeat::Repeat;

/// Time for which a cancelled job is remembered.
const RETENTION: Duration = Duration::from_secs(120);
/// Time for which the VM that cancelled a job tells the others.
const TOLD_FOR: Duration = Duration::from_secs(30);
/// Maximum number of jobs that are remembered.
const MAX_JOBS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct State {
    known_at: Time,
    repeat: Repeat,
}

/// Cancelled jobs.
#[derive(Debug, Default)]
pub struct Ended {
    jobs: HashMap<String, State>,
}

impl Ended {
    /// Records that a job was cancelled, by this VM if `own`; whether it is new here.
    pub fn record(&mut self, job: &str, own: bool, now: Time) -> bool {
        if self.jobs.contains_key(job) {
            return false;
        }
        self.jobs.retain(|_, state| !state.known_at.after(RETENTION).passed(now));
        if self.jobs.len() >= MAX_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, state)| state.known_at);
            let oldest = oldest.map(|(job, _)| job.clone());
            oldest.map(|job| self.jobs.remove(&job));
        }
        let repeat = if own { Repeat::word(now) } else { Repeat::heard(now) };
        self.jobs.insert(job.to_owned(), State { known_at: now, repeat });
        true
    }

    /// Whether a job is known to be cancelled.
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Jobs of which the others are told now, `most` at once.
    pub fn take_due(&mut self, most: usize, now: Time) -> Vec<String> {
        let due = self.jobs.iter_mut().filter_map(|(job, state)| {
            let is_told = !state.known_at.after(TOLD_FOR).passed(now);
            (is_told && state.repeat.is_due(now)).then(|| {
                state.repeat.record_told(now);
                job.clone()
            })
        });
        due.take(most).collect()
    }

    /// Jobs of which a VM is told that may have missed it.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &str> {
        let told =
            self.jobs.iter().filter(move |(_, state)| !state.known_at.after(TOLD_FOR).passed(now));
        told.map(|(job, _)| job.as_str())
    }
}
