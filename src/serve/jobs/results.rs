//! Stores the results of the jobs that this VM owns.
//!
//! One task a tenure: a job that is lost and taken over again by the same VM has another fence,
//! and another task. A write is conditional on the fence. A write that is refused while the
//! pending entry still has the fence was applied earlier and its answer lost, since nobody else
//! can write then. Once the entry has another version, or is gone, nothing that this VM holds
//! says what the store has: another owner may have stored equal results in another order. The
//! job is dropped then, and read from the store like any other VM's.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::cache::Summary;
use super::job::{Job, Status};
use super::manager::{Jobs, Owned};
use super::record::{pending_key, result_key};
use crate::emit;
use crate::event::Event;
use crate::kv::Entry;
use crate::serve::store::{Commit, Expectation, Transaction};

/// Initial backoff after a failed write to the store.
const MIN_WRITE_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after failed writes to the store.
const MAX_WRITE_BACKOFF: Duration = Duration::from_millis(800);

/// Copies of a write for each of its bytes: the encoded results, those of a call, and its body
/// in base64.
const WRITE_COPIES: usize = 4;

/// A write of results under one tenure of a job.
struct Write {
    transaction: Transaction,
    /// Position of the first result.
    first: usize,
}

impl Write {
    /// Bytes of the encoded results.
    fn bytes(&self) -> usize {
        self.transaction.puts.iter().map(|(_, value)| value.len()).sum()
    }

    /// Whether a write that was refused with these entries had been applied by an earlier call:
    /// the pending entry still has the fence, so that nobody else has written, and the first
    /// position holds this write's result.
    fn was_applied(&self, current: &[Entry]) -> bool {
        let [pending, _] = self.transaction.expected.as_slice() else { return false };
        let is_owned = current
            .iter()
            .any(|entry| entry.key == pending.key && entry.version == pending.version);
        let (key, value) = &self.transaction.puts[0];
        is_owned && current.iter().any(|entry| &entry.key == key && &entry.value == value)
    }
}

impl Jobs {
    /// Starts a task that stores the results of a job until none is left.
    pub(super) fn flush(self: &Rc<Self>, id: &str) {
        let mut owned = self.owned.borrow_mut();
        let Some(entry) = owned.get_mut(id) else { return };
        if entry.flushing {
            if entry.job.has_full_write() {
                entry.write_full.notify_waiters();
            }
            return;
        }
        entry.flushing = true;
        let (jobs, id, fence) = (self.clone(), id.to_owned(), entry.job.fence);
        let pause = entry.job.write_pause(self.context.now());
        let write_full = entry.write_full.clone();
        actix_rt::spawn(async move {
            // A planned stop ends the wait for further results, and so does a full write.
            let _ = tokio::time::timeout(pause, async {
                tokio::select! {
                    () = jobs.leaving.notified() => {}
                    () = write_full.notified() => {}
                }
            })
            .await;
            while jobs.store_results(&id, fence).await {}
            jobs.with_tenure(&id, fence, |entry| entry.flushing = false);
        });
    }

    /// Applies `update` to a job that this VM owns under this fence; none if it doesn't.
    fn with_tenure<U, R>(&self, id: &str, fence: u64, update: U) -> Option<R>
    where
        U: FnOnce(&mut Owned) -> R,
    {
        let mut owned = self.owned.borrow_mut();
        let entry = owned.get_mut(id).filter(|entry| entry.job.fence == fence)?;
        Some(update(entry))
    }

    /// Stores the next batch of results; false if none is left or the job is no longer owned
    /// under this fence.
    async fn store_results(&self, id: &str, fence: u64) -> bool {
        let write = self.with_tenure(id, fence, |entry| next_write(id, &mut entry.job)).flatten();
        let Some(write) = write else { return false };
        let _turn = self.context.held.copies(write.bytes() * WRITE_COPIES).await;
        let mut pause = MIN_WRITE_BACKOFF;
        loop {
            match self.context.store.commit(write.transaction.clone()).await {
                Ok(Commit::Applied(_)) => break,
                Ok(Commit::Refused(current)) => {
                    let was_applied = write.was_applied(&current);
                    self.log_refused(id, fence, &write, &current);
                    if was_applied {
                        break;
                    }
                    if self.with_tenure(id, fence, |_| ()).is_some() {
                        self.drop_job(id, "the pending entry changed");
                    }
                    return false;
                }
                Err(error) => {
                    emit!(self.context.log, Event::StoreCallFailed, "job" => id,
                        "position" => write.first, "reason" => error.detail.as_str());
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_WRITE_BACKOFF);
                }
            }
            if self.with_tenure(id, fence, |_| ()).is_none() {
                return false;
            }
        }
        self.finish_write(id, fence)
    }

    /// Logs a refused write with the versions of the pending entry, expected and found.
    fn log_refused(&self, id: &str, fence: u64, write: &Write, current: &[Entry]) {
        let pending = current.iter().find(|entry| entry.key == pending_key(id));
        emit!(self.context.log, Event::ResultsRefused, "job" => id, "position" => write.first,
            "fence" => fence, "pending" => pending.map_or(0, |entry| entry.version),
            "results" => write.transaction.puts.len(),
            "was_applied" => write.was_applied(current));
    }

    fn finish_write(&self, id: &str, fence: u64) -> bool {
        let confirmed = self.with_tenure(id, fence, |entry| {
            let (position, results) = (entry.job.listed.len(), entry.job.pending_write());
            let status = entry.job.confirm_write();
            entry.charge_output();
            self.cache.insert_stored(id, position, &results);
            entry.results_stored.notify_waiters();
            let stored = results.iter().map(|result| result.item.as_str());
            emit!(self.context.log, Event::ResultsStored, "job" => id, "fence" => fence,
                "position" => position, "items" => stored.collect::<Vec<_>>().join(" "));
            status
        });
        let Some(status) = confirmed else { return false };
        if status == Status::Open {
            return true;
        }
        if let Some(owned) = self.owned.borrow_mut().remove(id) {
            emit!(self.context.log, Event::JobFinished, "job" => id,
                "items" => owned.job.listed.len());
            let Job { head, listed, .. } = owned.job;
            let (organisation, stored) = (head.organisation, listed.len());
            self.cache.insert_complete(id, Summary { organisation, total: stored, stored });
            self.context.work_changed.notify_one();
        }
        false
    }
}

/// The next write of a job's results; none if there are none.
fn next_write(id: &str, job: &mut Job) -> Option<Write> {
    let (first, batch) = job.next_write()?;
    let expected = vec![
        Expectation { key: pending_key(id), version: job.fence },
        Expectation { key: result_key(id, first), version: 0 },
    ];
    let puts = batch
        .iter()
        .enumerate()
        .map(|(index, result)| (result_key(id, first + index), result.encode_to_vec()))
        .collect();
    let deletes = if job.write_is_last() { vec![pending_key(id)] } else { Vec::new() };
    Some(Write { transaction: Transaction { expected, puts, deletes }, first })
}
