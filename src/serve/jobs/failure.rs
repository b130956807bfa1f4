//! Stores the number of failed attempts of an item before its next attempt.
//!
//! An item that fails at each run may only run a bounded number of times, whoever runs it. A
//! VM that takes a job over knows the failures that are in the store; so an item that an
//! upstream failed waits until its count is there. At most the failure of the attempt during
//! which a VM is lost is unknown to the next one.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::manager::Jobs;
use super::record::{Partial, partial_key, pending_key};
use crate::emit;
use crate::event::Event;
use crate::serve::store::{Commit, Expectation, Transaction};

/// Initial pause after a failed write.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum pause after failed writes.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

impl Jobs {
    /// Holds an item back until the number of its failed attempts is stored.
    pub(super) fn store_failures(self: &Rc<Self>, job: &str, index: usize) {
        let mut owned = self.owned.borrow_mut();
        let Some(entry) = owned.get_mut(job) else { return };
        let Some(partial) = entry.job.hold(index) else { return };
        let (item, failures) = (partial.item.clone(), partial.failures);
        let fence = entry.job.fence;
        let transaction = write(job, fence, index, &partial);
        let (jobs, id) = (self.clone(), job.to_owned());
        actix_rt::spawn(async move {
            if !jobs.commit_failures(&id, fence, transaction).await {
                return;
            }
            if let Some(entry) = jobs.owned.borrow_mut().get_mut(&id)
                && entry.job.fence == fence
            {
                entry.job.unhold(index);
            }
            emit!(jobs.context.log, Event::ItemFailureStored, "job" => id.as_str(),
                "item" => item.as_str(), "failures" => failures);
            metrics::counter!("serve_item_failures_stored_total").increment(1);
            jobs.context.work_changed.notify_one();
        });
    }

    /// Commits a write until its outcome is known; whether this VM still owns the job.
    async fn commit_failures(&self, job: &str, fence: u64, transaction: Transaction) -> bool {
        let mut pause = MIN_BACKOFF;
        // The job may be lost and taken over again meanwhile, with another fence.
        let is_owned =
            || self.owned.borrow().get(job).is_some_and(|owned| owned.job.fence == fence);
        while is_owned() {
            match self.context.store.commit(transaction.clone()).await {
                Ok(Commit::Applied(_)) => return true,
                Ok(Commit::Refused(_)) => {
                    if is_owned() {
                        self.drop_job(job, "the pending entry changed");
                    }
                    return false;
                }
                Err(error) => {
                    emit!(self.context.log, Event::StoreCallFailed, "job" => job,
                        "reason" => error.detail.as_str());
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_BACKOFF);
                }
            }
        }
        false
    }
}

/// A write of an item's progress, on the condition that this VM still owns the job.
fn write(job: &str, fence: u64, index: usize, partial: &Partial) -> Transaction {
    let expected = vec![Expectation { key: pending_key(job), version: fence }];
    let puts = vec![(partial_key(job, index), partial.encode_to_vec())];
    Transaction { expected, puts, deletes: Vec::new() }
}
