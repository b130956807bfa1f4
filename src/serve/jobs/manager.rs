//! Jobs that this VM owns: accepting them and storing their results.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prost::Message;
use tokio::sync::Notify;

use super::cache::{Cache, Listing};
use super::directory::Directory;
use super::dispatch::Running;
use super::job::{Job, Snapshot, Status, Times};
use super::record::{
    Head, Item, Pending, Spec, ended_key, head_key, pending_key, result_key, spec_key,
};
use crate::clock::Time;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::serve::configuration::Route;
use crate::serve::context::Context;
use crate::serve::store::{Commit, Expectation, Transaction};

/// Largest chunk of a job's items in one key, in bytes.
const CHUNK_BYTES: usize = 700_000;
/// First pause after a write to the store that failed.
const WRITE_RETRY: Duration = Duration::from_millis(100);
/// Longest pause after writes that failed.
const MAX_WRITE_RETRY: Duration = Duration::from_millis(800);
/// Time after which a job whose acceptance is unknown is left open.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Wait named to callers whose organisation has too many tokens waiting.
const CAP_RETRY: Duration = Duration::from_secs(2);
/// Wait named to callers while the store can't be reached.
const STORE_RETRY: Duration = Duration::from_secs(1);

/// Work that this VM owns.
pub struct Jobs {
    pub(super) fleet: Rc<Context>,
    pub(super) owned: RefCell<HashMap<String, Owned>>,
    pub(super) running: RefCell<Vec<Running>>,
    /// Jobs read from the store.
    pub cache: Cache,
    /// Which VM runs each job.
    pub directory: Rc<RefCell<Directory>>,
    pub(super) taking_over: Cell<bool>,
    /// Told when this VM leaves.
    pub(super) leaving: Notify,
    /// Jobs whose acceptance is under way.
    pub(super) accepting: RefCell<HashSet<String>>,
}

/// A job that this VM owns, and what waits for it.
pub(super) struct Owned {
    pub job: Job,
    pub listed: Rc<Notify>,
    pub flushing: bool,
}

impl Jobs {
    /// No jobs yet.
    pub fn new(fleet: Rc<Context>) -> Rc<Self> {
        let directory = Rc::<RefCell<Directory>>::default();
        Rc::new(Self {
            cache: Cache::new(fleet.clone(), directory.clone()),
            directory,
            fleet,
            owned: RefCell::default(),
            running: RefCell::default(),
            taking_over: Cell::new(false),
            leaving: Notify::new(),
            accepting: RefCell::default(),
        })
    }

    /// Accepts a job and gives its shared entry; none if it was accepted before.
    /// An error of kind `WriteUnknown` leaves open whether it was.
    pub async fn submit(
        self: &Rc<Self>,
        job: &str,
        head: Head,
        items: Vec<Item>,
        route: &Route,
    ) -> Result<Option<Pending>> {
        if self.accepted(job, &head.organisation) {
            emit!(self.fleet.log, Event::JobRepeated, "job" => job);
            return Ok(None);
        }
        let spec = Spec { items };
        self.check_cap(&head, &spec, route)?;
        let pending = self.pending(&head, &spec, route);
        let mut head = head;
        head.total = spec.items.len() as u64;
        let encoded = spec.encode_to_vec();
        let chunks: Vec<&[u8]> = encoded.chunks(CHUNK_BYTES).collect();
        head.chunks = chunks.len() as u64;
        let mut puts = vec![
            (head_key(job), head.encode_to_vec()),
            (pending_key(job), pending.encode_to_vec()),
        ];
        for (index, chunk) in chunks.iter().enumerate() {
            puts.push((spec_key(job, index), chunk.to_vec()));
        }
        let expected = vec![Expectation { key: head_key(job), version: 0 }];
        let transaction = Transaction { expected, puts, deletes: Vec::new() };
        self.accepting.borrow_mut().insert(job.to_owned());
        let accepted = self.commit_acceptance(transaction, &pending, job).await;
        self.accepting.borrow_mut().remove(job);
        let Some(version) = accepted? else {
            emit!(self.fleet.log, Event::JobRepeated, "job" => job);
            return Ok(None);
        };
        self.adopt(job, Snapshot { head, spec, ..Snapshot::default() }, version);
        Ok(Some(pending))
    }

    /// Whether this VM knows that a job of an organisation was accepted.
    fn accepted(&self, job: &str, organisation: &str) -> bool {
        let directory = self.directory.borrow();
        self.owned.borrow().contains_key(job)
            || directory.owner(job).is_some_and(|owner| owner.organisation == organisation)
    }

    /// Writes a new job; the version of its pending entry, or none if the job
    /// was accepted before.
    async fn commit_acceptance(
        &self,
        transaction: Transaction,
        pending: &Pending,
        job: &str,
    ) -> Result<Option<u64>> {
        let until = self.fleet.now().after(ACCEPT_TIMEOUT);
        let mut unknown = false;
        loop {
            let error = match self.fleet.store.commit(transaction.clone()).await {
                Ok(Commit::Applied(version)) => return Ok(Some(version)),
                Ok(Commit::Refused(_)) if !unknown => return Ok(None),
                Ok(Commit::Refused(_)) => return Ok(self.own_write(pending, job).await),
                Err(error) => error,
            };
            unknown |= error.kind == Kind::WriteUnknown;
            if !unknown {
                return Err(error.retry_after(STORE_RETRY));
            }
            if until.passed(self.fleet.now()) {
                let detail = format!("job {job}: the store didn't say whether it was accepted");
                return Err(Error::new(Kind::DeadlineExceeded, detail));
            }
            tokio::time::sleep(WRITE_RETRY).await;
        }
    }

    /// Version of the pending entry if it is the one that this VM wrote.
    async fn own_write(&self, pending: &Pending, job: &str) -> Option<u64> {
        match self.fleet.store.get(&pending_key(job)).await {
            Ok(Some(entry)) if entry.value == pending.encode_to_vec() => Some(entry.version),
            // Accepted in any case; `takeover` finds a job that nobody runs.
            Ok(_) | Err(_) => None,
        }
    }

    fn pending(&self, head: &Head, spec: &Spec, route: &Route) -> Pending {
        Pending {
            owner: self.fleet.vm().to_string(),
            incarnation: self.fleet.member.incarnation,
            organisation: head.organisation.clone(),
            route: route.name.clone(),
            tokens: spec.tokens(),
        }
    }

    fn check_cap(&self, head: &Head, spec: &Spec, route: &Route) -> Result<()> {
        if route.max_waiting_tokens == 0 {
            return Ok(());
        }
        let waiting = self.waiting_tokens(&head.organisation, &route.name);
        if waiting + spec.tokens() <= route.max_waiting_tokens {
            return Ok(());
        }
        let detail = format!(
            "{} has {waiting} of at most {} tokens waiting",
            head.organisation, route.max_waiting_tokens
        );
        Err(Error::new(Kind::RateExceeded, detail).retry_after(CAP_RETRY))
    }

    /// Tokens that an organisation has waiting on a route, over all VMs.
    fn waiting_tokens(&self, organisation: &str, route: &str) -> u64 {
        let owned = self.owned.borrow();
        let view = self.fleet.view.borrow();
        let directory = self.directory.borrow();
        let read = view.pending.iter().map(|(job, (pending, _))| (job.as_str(), pending));
        let announced = directory.announced().filter(|(job, _)| !view.pending.contains_key(*job));
        let elsewhere = read.chain(announced).filter(|(job, pending)| {
            pending.organisation == organisation
                && pending.route == route
                && !owned.contains_key(*job)
        });
        let elsewhere: u64 = elsewhere.map(|(_, pending)| pending.tokens).sum();
        let here = owned.values().filter(|owned| owned.job.head.organisation == organisation);
        elsewhere + here.map(|owned| owned.job.remaining_tokens()).sum::<u64>()
    }

    /// Begins to run a job whose pending entry names this VM.
    pub(super) fn adopt(self: &Rc<Self>, id: &str, stored: Snapshot, fence: u64) {
        if self.owned.borrow().get(id).is_some_and(|owned| owned.job.fence >= fence) {
            return;
        }
        let now = self.fleet.now();
        let route = self.fleet.configuration().and_then(|configuration| {
            configuration.route(&stored.head.host, &stored.head.path).cloned()
        });
        let (due_ms, give_up_ms) =
            route.map_or((0, u64::MAX / 2_000), |route| (route.run_target_ms, route.retention_ms));
        let age_ms = unix_ms().saturating_sub(stored.head.accepted_unix_ms);
        let after = |span_ms: u64| now.after(Duration::from_millis(span_ms.saturating_sub(age_ms)));
        let times = Times { owned_since: now, due: after(due_ms), expires: after(give_up_ms) };
        emit!(self.fleet.log, Event::JobAccepted, "job" => id, "items" => stored.spec.items.len(),
            "listed" => stored.results.len(), "organisation" => &stored.head.organisation,
            "fence" => fence, "age_ms" => age_ms);
        let job = Job::new(id.to_owned(), stored, fence, times);
        let owned = Owned { job, listed: Rc::new(Notify::new()), flushing: false };
        self.owned.borrow_mut().insert(id.to_owned(), owned);
        self.flush(id);
        self.fleet.work_changed.notify_one();
    }

    /// Stores results of a job until none is left to store.
    pub(super) fn flush(self: &Rc<Self>, id: &str) {
        let mut owned = self.owned.borrow_mut();
        let Some(entry) = owned.get_mut(id) else { return };
        if entry.flushing {
            return;
        }
        entry.flushing = true;
        let (jobs, id) = (self.clone(), id.to_owned());
        let pause = entry.job.write_pause(self.fleet.now());
        actix_rt::spawn(async move {
            // A stop doesn't wait for further results.
            let _ = tokio::time::timeout(pause, jobs.leaving.notified()).await;
            while jobs.store_results(&id).await {}
            if let Some(entry) = jobs.owned.borrow_mut().get_mut(&id) {
                entry.flushing = false;
            }
        });
    }

    /// Stores the next results; false when none is left or the job is gone.
    async fn store_results(self: &Rc<Self>, id: &str) -> bool {
        let Some((transaction, first)) = self.next_write(id) else { return false };
        let mut pause = WRITE_RETRY;
        loop {
            match self.fleet.store.commit(transaction.clone()).await {
                Ok(Commit::Applied(_)) => break,
                Ok(Commit::Refused(current)) => {
                    let (key, value) = &transaction.puts[0];
                    let ours =
                        current.iter().any(|entry| &entry.key == key && &entry.value == value);
                    if !ours {
                        self.drop_job(id, "its pending entry changed");
                        return false;
                    }
                    break;
                }
                Err(error) => {
                    emit!(self.fleet.log, Event::StoreCallFailed, "job" => id,
                        "position" => first, "reason" => error.detail.as_str());
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_WRITE_RETRY);
                }
            }
            if !self.owned.borrow().contains_key(id) {
                return false;
            }
        }
        self.note_stored(id)
    }

    fn next_write(&self, id: &str) -> Option<(Transaction, usize)> {
        let mut owned = self.owned.borrow_mut();
        let job = &mut owned.get_mut(id)?.job;
        let (first, batch) = job.next_write()?;
        let expected = vec![
            Expectation { key: pending_key(id), version: job.fence },
            Expectation { key: result_key(id, first), version: 0 },
        ];
        let puts = batch
            .iter()
            .enumerate()
            .map(|(index, listed)| (result_key(id, first + index), listed.encode_to_vec()))
            .collect();
        let deletes = if job.write_is_last() { vec![pending_key(id)] } else { Vec::new() };
        Some((Transaction { expected, puts, deletes }, first))
    }

    fn note_stored(&self, id: &str) -> bool {
        let mut all = self.owned.borrow_mut();
        let Some(entry) = all.get_mut(id) else { return false };
        let settled = entry.job.confirm_write();
        entry.listed.notify_waiters();
        if settled == Status::Open {
            return true;
        }
        if let Some(owned) = all.remove(id) {
            emit!(self.fleet.log, Event::JobFinished, "job" => id,
                "items" => owned.job.results.len());
            let Job { head, results, .. } = owned.job;
            let (organisation, total) = (head.organisation, results.len());
            self.cache.insert(id, Listing { organisation, total, results });
        }
        false
    }

    /// Stops running a job that was ended or that another VM runs now.
    pub fn drop_job(&self, id: &str, reason: &str) {
        let Some(owned) = self.owned.borrow_mut().remove(id) else { return };
        owned.listed.notify_waiters();
        for running in self.running.borrow().iter().filter(|running| running.job == id) {
            running.interrupt.notify_one();
        }
        emit!(self.fleet.log, Event::JobLost, "job" => id, "reason" => reason,
            "items_left" => owned.job.remaining());
    }

    /// Ends a job; false if no such job was ever accepted.
    pub async fn cancel(&self, id: &str) -> Result<bool> {
        if self.cache.complete_listing(id).is_some() {
            return Ok(true);
        }
        let seen = self.fleet.view.borrow().pending.get(id).map(|(_, version)| *version);
        if let Some(version) = seen
            && self.commit_end(id, version).await?
        {
            return Ok(true);
        }
        loop {
            let Some(pending) = self.fleet.store.get(&pending_key(id)).await? else {
                return Ok(self.cache.listing(id).await?.is_some());
            };
            if self.commit_end(id, pending.version).await? {
                return Ok(true);
            }
        }
    }

    /// Ends a job whose pending entry has a version; false if it has another one.
    async fn commit_end(&self, id: &str, version: u64) -> Result<bool> {
        let transaction = Transaction {
            expected: vec![Expectation { key: pending_key(id), version }],
            puts: vec![(ended_key(id), Vec::new())],
            deletes: vec![pending_key(id)],
        };
        let Commit::Applied(_) = self.fleet.store.commit(transaction).await? else {
            return Ok(false);
        };
        emit!(self.fleet.log, Event::JobCancelled, "job" => id);
        self.drop_job(id, "its caller ended it");
        Ok(true)
    }

    /// A job that this VM owns, as far as its results are stored.
    pub fn owned_listing(&self, id: &str) -> Option<Listing> {
        let owned = self.owned.borrow();
        let Job { head, spec, results, .. } = &owned.get(id)?.job;
        let (organisation, total) = (head.organisation.clone(), spec.items.len());
        Some(Listing { organisation, total, results: results.clone() })
    }

    /// Told when more results of a job that this VM owns are stored.
    pub fn owned_change(&self, id: &str) -> Option<Rc<Notify>> {
        self.owned.borrow().get(id).map(|owned| owned.listed.clone())
    }

    /// Organisation of a job that this VM owns.
    pub fn owned_organisation(&self, id: &str) -> Option<String> {
        self.owned.borrow().get(id).map(|owned| owned.job.head.organisation.clone())
    }

    /// Body of an item of a job that this VM owns.
    pub fn owned_body(&self, id: &str, item: &str) -> Option<bytes::Bytes> {
        let owned = self.owned.borrow();
        owned.get(id)?.job.item(item).map(|item| item.body.clone())
    }

    /// Number of jobs that this VM owns, and of their items whose results aren't stored.
    pub fn open_counts(&self) -> (usize, usize) {
        let owned = self.owned.borrow();
        (owned.len(), owned.values().map(|owned| owned.job.remaining()).sum())
    }

    /// Jobs that this VM held before `asked` but that the store no longer names.
    pub(super) fn vanished(&self, asked: Time) -> Vec<String> {
        let view = self.fleet.view.borrow();
        let owned = self.owned.borrow();
        let gone = owned.values().filter(|owned| {
            let fence = view.pending.get(&owned.job.id).map(|(_, version)| *version);
            owned.job.owned_since < asked && !owned.flushing && fence != Some(owned.job.fence)
        });
        gone.map(|owned| owned.job.id.clone()).collect()
    }
}

/// The time of day, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
