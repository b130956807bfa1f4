//! Owners of jobs, as far as this VM knows them.
//!
//! A VM that accepts a job announces it, so that others can request its results
//! and count its tokens before their next read of the store shows it. Ended
//! jobs stay in the directory for a while, because their last owner still has
//! the results.

use std::collections::{HashMap, VecDeque};

use super::record::Pending;
use crate::clock::Time;

/// Maximum number of jobs in the directory.
const MAX_JOBS: usize = 4_096;

/// Current or last owner of each job.
#[derive(Debug, Default)]
pub struct Directory {
    owners: HashMap<String, Pending>,
    /// Jobs in the directory, oldest first.
    order: VecDeque<String>,
    /// Announcement time of each job that no read of the store has shown yet.
    announced: HashMap<String, Time>,
}

impl Directory {
    /// Records another VM's announcement that it has accepted a job.
    pub fn announce(&mut self, job: &str, pending: Pending, now: Time) {
        if self.owners.contains_key(job) {
            return;
        }
        self.insert(job, pending);
        self.announced.insert(job.to_owned(), now);
    }

    /// Records the open jobs that a read of the store, sent at `requested`, has shown.
    pub fn update(&mut self, open: &HashMap<String, (Pending, u64)>, requested: Time) {
        for (job, (pending, _)) in open {
            if self.owners.get(job) != Some(pending) {
                self.insert(job, pending.clone());
            }
        }
        self.announced.retain(|_, announced| *announced >= requested);
    }

    /// Pending entry of a job's current or last owner.
    pub fn owner(&self, job: &str) -> Option<&Pending> {
        self.owners.get(job)
    }

    /// Jobs that were announced and that no read of the store has shown yet.
    pub fn announced(&self) -> impl Iterator<Item = (&str, &Pending)> {
        self.announced.keys().filter_map(|job| Some((job.as_str(), self.owners.get(job)?)))
    }

    fn insert(&mut self, job: &str, pending: Pending) {
        if self.owners.insert(job.to_owned(), pending).is_none() {
            self.order.push_back(job.to_owned());
        }
        while self.order.len() > MAX_JOBS {
            let Some(oldest) = self.order.pop_front() else { return };
            self.owners.remove(&oldest);
            self.announced.remove(&oldest);
        }
    }
}
