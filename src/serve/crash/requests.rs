//! Requests suspected of crashing the upstreams that run them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::parts::{Crash, Run};
use crate::clock::Time;
use crate::route::Fingerprint;

/// Suspected crashes after which a request is quarantined.
pub const LIMIT: usize = 3;
/// Time for which a request is remembered after its last crash.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Number of remembered requests at which those below `LIMIT` are dropped.
const MAX_REQUESTS: usize = 4_096;

#[derive(Debug, Default)]
struct Suspect {
    crashes: BTreeSet<Crash>,
    last: Time,
}

impl Suspect {
    fn quarantined(&self) -> bool {
        self.crashes.len() >= LIMIT
    }
}

/// Requests suspected of having crashed upstreams.
#[derive(Debug, Default)]
pub struct Requests {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Requests {
    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(Suspect::quarantined)
    }

    /// Whether a request is suspected of a crash.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Whether no request is suspected; callers then need no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records a crash; true if it is the one that quarantines the request.
    pub fn record(&mut self, fingerprint: Fingerprint, crash: Crash, at: Time, now: Time) -> bool {
        self.expire(now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        let before = suspect.quarantined();
        if suspect.crashes.insert(crash) {
            suspect.last = suspect.last.max(at);
        }
        suspect.quarantined() && !before
    }

    /// The crashes of all quarantined requests, with the time of the last one.
    pub fn quarantined(&self) -> impl Iterator<Item = (Run, Time)> {
        let quarantined = self.suspects.iter().filter(|(_, suspect)| suspect.quarantined());
        quarantined.flat_map(|(fingerprint, suspect)| {
            suspect.crashes.iter().map(|crash| {
                let run =
                    Run { crash: *crash, fingerprint: *fingerprint, shared_parts: Vec::new() };
                (run, suspect.last)
            })
        })
    }

    /// Forgets the crashes that turn out to have another cause.
    pub fn forgive<F>(&mut self, is_explained: F)
    where
        F: Fn(Crash) -> bool,
    {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| !is_explained(*crash));
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
    }

    fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, suspect| !suspect.last.after(RETENTION).passed(now));
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        self.suspects.retain(|_, suspect| suspect.quarantined());
    }
}
