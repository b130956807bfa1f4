//! Which VM runs each job, as far as this VM knows.
//!
//! A VM that accepts a job announces it, so that others can ask for its
//! results and count its tokens before their next read of the store shows it.
//! Jobs that have ended stay listed for a while: their last owner still has
//! the results.

use std::collections::{HashMap, VecDeque};

use super::record::Pending;
use crate::clock::Time;

/// Most jobs that are listed.
const MAX_JOBS: usize = 4_096;

/// Where jobs are or were run.
#[derive(Debug, Default)]
pub struct Directory {
    owners: HashMap<String, Pending>,
    /// The listed jobs, oldest first.
    order: VecDeque<String>,
    /// When each job that no read of the store has shown yet was announced.
    announced: HashMap<String, Time>,
}

impl Directory {
    /// Takes another VM's announcement that it has accepted a job.
    pub fn announce(&mut self, job: &str, pending: Pending, now: Time) {
        if self.owners.contains_key(job) {
            return;
        }
        self.insert(job, pending);
        self.announced.insert(job.to_owned(), now);
    }

    /// Takes the open jobs that a read of the store, sent at `asked`, has shown.
    pub fn update(&mut self, open: &HashMap<String, (Pending, u64)>, asked: Time) {
        for (job, (pending, _)) in open {
            if self.owners.get(job) != Some(pending) {
                self.insert(job, pending.clone());
            }
        }
        self.announced.retain(|_, announced| *announced >= asked);
    }

    /// Who runs or ran a job.
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
