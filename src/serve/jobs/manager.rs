//! Manages the jobs that this VM owns: accepts them, cancels them, and tells what they hold.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prost::Message;
use tokio::sync::Notify;

use super::cache::{Cache, Summary};
use super::directory::Directory;
use super::dispatch::RunningItem;
use super::job::{Cause, Job, Snapshot, Times};
use super::record::{Head, Item, Pending, Spec, ended_key, head_key, pending_key, spec_key};
use crate::clock::Time;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::serve::configuration::Route;
use crate::serve::context::Context;
use crate::serve::held::{self, Charge};
use crate::serve::refusal::retry_after;
use crate::serve::store::{Commit, Expectation, Transaction};

/// Maximum size of a chunk of a job's items in one key, in bytes.
const CHUNK_BYTES: usize = 700_000;
/// Copies of a submission for each byte of its items: the encoded items, their chunks, those
/// of a call, and its body in base64.
const SUBMISSION_COPIES: usize = 5;
/// Pause before an acceptance with an unknown outcome is sent again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time for which an acceptance with an unknown outcome is retried.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// `Retry-After` for callers whose organisation has too many tokens waiting.
const CAP_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` for callers while the store can't be reached.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Jobs that this VM owns, and access to those of other VMs.
pub struct Jobs {
    pub(super) context: Rc<Context>,
    pub(super) owned: RefCell<HashMap<String, Owned>>,
    pub(super) running: RefCell<Vec<RunningItem>>,
    /// Cache of jobs read from the store or from their owners.
    pub cache: Cache,
    /// Owner of each known job.
    pub directory: Rc<RefCell<Directory>>,
    /// Mean size of the outputs of late, in bytes.
    pub(super) output_bytes: Cell<usize>,
    pub(super) taking_over: Cell<bool>,
    /// Notified when this VM begins a planned stop.
    pub(super) leaving: Notify,
    /// Jobs whose acceptance is in progress.
    pub(super) accepting: RefCell<HashSet<String>>,
}

/// A job that this VM owns, with the notification of further stored results.
pub(super) struct Owned {
    pub job: Job,
    pub results_stored: Rc<Notify>,
    /// Notified when a write of results needn't wait for further ones.
    pub write_full: Rc<Notify>,
    pub flushing: bool,
    /// What the job's items hold.
    pub _items: Charge,
    /// What outputs that aren't stored hold.
    pub output: Charge,
}

impl Owned {
    /// Charges what outputs that aren't stored hold now.
    pub fn charge_output(&mut self) {
        self.output.set(self.job.output_bytes());
    }
}

impl Jobs {
    /// Creates a manager without jobs.
    pub fn new(context: Rc<Context>) -> Rc<Self> {
        let directory = Rc::<RefCell<Directory>>::default();
        Rc::new(Self {
            cache: Cache::new(context.clone(), directory.clone()),
            directory,
            context,
            owned: RefCell::default(),
            running: RefCell::default(),
            output_bytes: Cell::new(0),
            taking_over: Cell::new(false),
            leaving: Notify::new(),
            accepting: RefCell::default(),
        })
    }

    /// Accepts a job and returns its pending entry; `None` if it was accepted
    /// before. After an error of kind `DeadlineExceeded` it is unknown whether
    /// the job was accepted.
    pub async fn submit(
        self: &Rc<Self>,
        job: &str,
        head: Head,
        items: Vec<Item>,
        route: &Route,
    ) -> Result<Option<Pending>> {
        if self.is_accepted(job, &head.organisation) {
            emit!(self.context.log, Event::JobRepeated, "job" => job);
            return Ok(None);
        }
        let spec = Spec { items };
        self.check_waiting_cap(&head, &spec, route)?;
        let bytes = spec.encoded_len();
        let items = self.charge_items(bytes)?;
        let _turn = self.context.held.copies(bytes * SUBMISSION_COPIES).await;
        let pending = self.new_pending(&head, &spec, route);
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
            emit!(self.context.log, Event::JobRepeated, "job" => job);
            return Ok(None);
        };
        drop(items);
        self.adopt(job, Snapshot { head, spec, ..Snapshot::default() }, version);
        Ok(Some(pending))
    }

    /// Whether this VM knows of an accepted job of this organisation.
    fn is_accepted(&self, job: &str, organisation: &str) -> bool {
        let directory = self.directory.borrow();
        self.owned.borrow().contains_key(job)
            || directory.owner(job).is_some_and(|owner| owner.organisation == organisation)
    }

    /// Writes a new job; returns the version of its pending entry, or `None` if
    /// the job was accepted before.
    async fn commit_acceptance(
        &self,
        transaction: Transaction,
        pending: &Pending,
        job: &str,
    ) -> Result<Option<u64>> {
        let until = self.context.now().after(ACCEPT_TIMEOUT);
        let mut unknown = false;
        loop {
            let error = match self.context.store.commit(transaction.clone()).await {
                Ok(Commit::Applied(version)) => return Ok(Some(version)),
                Ok(Commit::Refused(_)) if !unknown => return Ok(None),
                Ok(Commit::Refused(_)) => return Ok(self.own_pending_version(pending, job).await),
                Err(error) => error,
            };
            unknown |= error.kind == Kind::WriteUnknown;
            if !unknown {
                return Err(error.retry_after(STORE_RETRY_AFTER));
            }
            if until.passed(self.context.now()) {
                let detail = format!("job {job}: the store didn't say whether it was accepted");
                return Err(Error::new(Kind::DeadlineExceeded, detail));
            }
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Version of the pending entry, if this VM wrote it.
    async fn own_pending_version(&self, pending: &Pending, job: &str) -> Option<u64> {
        match self.context.store.get(&pending_key(job)).await {
            Ok(Some(entry)) if entry.value == pending.encode_to_vec() => Some(entry.version),
            // The job is accepted in any case; `takeover` finds it if no VM runs it.
            Ok(_) | Err(_) => None,
        }
    }

    /// Charges the items of a job, or refuses it while no memory is left for them.
    fn charge_items(&self, bytes: usize) -> Result<Charge> {
        let charge = self.context.held.try_charge(held::Kind::Item, bytes);
        charge.ok_or_else(|| {
            metrics::counter!("serve_answers_cut_total", "cause" => "refused").increment(1);
            let detail = "open jobs hold this VM's memory; use another one";
            Error::new(Kind::Overloaded, detail).retry_after(retry_after(&self.context, 0))
        })
    }

    fn new_pending(&self, head: &Head, spec: &Spec, route: &Route) -> Pending {
        Pending {
            owner: self.context.vm().to_string(),
            incarnation: self.context.member.incarnation,
            organisation: head.organisation.clone(),
            route: route.name.clone(),
            tokens: spec.tokens(),
        }
    }

    fn check_waiting_cap(&self, head: &Head, spec: &Spec, route: &Route) -> Result<()> {
        if route.max_waiting_tokens == 0 {
            return Ok(());
        }
        let waiting = self.waiting_tokens(&head.organisation, &route.name);
        if waiting.saturating_add(spec.tokens()) <= route.max_waiting_tokens {
            return Ok(());
        }
        let detail = format!(
            "{} has {waiting} of at most {} tokens waiting",
            head.organisation, route.max_waiting_tokens
        );
        Err(Error::new(Kind::RateExceeded, detail).retry_after(CAP_RETRY_AFTER))
    }

    /// Tokens that an organisation has waiting on a route, summed over all VMs.
    fn waiting_tokens(&self, organisation: &str, route: &str) -> u64 {
        let owned = self.owned.borrow();
        let view = self.context.view.borrow();
        let directory = self.directory.borrow();
        let known = view.pending.iter().map(|(job, (pending, _))| (job.as_str(), pending));
        let announced = directory.announced().filter(|(job, _)| !view.pending.contains_key(*job));
        let elsewhere = known.chain(announced).filter(|(job, pending)| {
            pending.organisation == organisation
                && pending.route == route
                && !owned.contains_key(*job)
        });
        let elsewhere = elsewhere.map(|(_, pending)| pending.tokens);
        let here = owned.values().filter(|owned| owned.job.head.organisation == organisation);
        let here = here.map(|owned| owned.job.remaining_tokens());
        elsewhere.chain(here).fold(0, u64::saturating_add)
    }

    /// Starts to run a job whose pending entry names this VM as the owner.
    pub(super) fn adopt(self: &Rc<Self>, id: &str, snapshot: Snapshot, fence: u64) {
        if self.owned.borrow().get(id).is_some_and(|owned| owned.job.fence >= fence) {
            return;
        }
        // It may have been cancelled while its items were read.
        if self.context.ended.borrow().contains(id) {
            return;
        }
        let now = self.context.now();
        let route = self.context.configuration().and_then(|configuration| {
            configuration.route(&snapshot.head.host, &snapshot.head.path).cloned()
        });
        let (due_ms, expires_ms) =
            route.map_or((0, u64::MAX / 2_000), |route| (route.run_target_ms, route.retention_ms));
        let age_ms = unix_ms().saturating_sub(snapshot.head.accepted_unix_ms);
        let after =
            |duration_ms: u64| now.after(Duration::from_millis(duration_ms.saturating_sub(age_ms)));
        let times = Times { owned_since: now, due: after(due_ms), expires: after(expires_ms) };
        emit!(self.context.log, Event::JobAccepted, "job" => id, "items" => snapshot.spec.items.len(),
            "listed" => snapshot.listed.len(), "organisation" => &snapshot.head.organisation,
            "fence" => fence, "age_ms" => age_ms);
        let mut items = self.context.held.charge(held::Kind::Item);
        items.set(snapshot.spec.encoded_len());
        let job = Job::new(id.to_owned(), snapshot, fence, times);
        let mut owned = Owned {
            job,
            results_stored: Rc::new(Notify::new()),
            write_full: Rc::new(Notify::new()),
            flushing: false,
            _items: items,
            output: self.context.held.charge(held::Kind::Output),
        };
        owned.charge_output();
        self.owned.borrow_mut().insert(id.to_owned(), owned);
        self.flush(id);
        self.context.work_changed.notify_one();
    }

    /// Stops running a job that was cancelled or is now owned by another VM.
    pub fn drop_job(&self, id: &str, reason: &str) {
        let Some(owned) = self.owned.borrow_mut().remove(id) else { return };
        owned.results_stored.notify_waiters();
        for running in self.running.borrow().iter().filter(|running| running.job == id) {
            running.interrupt.notify_one();
        }
        emit!(self.context.log, Event::JobLost, "job" => id, "reason" => reason,
            "items_left" => owned.job.remaining());
    }

    /// Applies another VM's word that a job was cancelled.
    pub fn record_ended(&self, id: &str) {
        if self.context.ended.borrow_mut().record(id, false, self.context.now()) {
            self.drop_job(id, "another VM cancelled the job");
        }
    }

    /// Cancels a job; false if no such job was ever accepted.
    pub async fn cancel(&self, id: &str) -> Result<bool> {
        if self.cache.complete(id).is_some() {
            return Ok(true);
        }
        let seen = self.context.view.borrow().pending.get(id).map(|(_, version)| *version);
        if let Some(version) = seen
            && self.commit_end(id, version).await?
        {
            return Ok(true);
        }
        loop {
            let Some(pending) = self.context.store.get(&pending_key(id)).await? else {
                return Ok(self.cache.organisation(id).await?.is_some());
            };
            if self.commit_end(id, pending.version).await? {
                return Ok(true);
            }
        }
    }

    /// Cancels a job if its pending entry has this version; false if it differs.
    async fn commit_end(&self, id: &str, version: u64) -> Result<bool> {
        let transaction = Transaction {
            expected: vec![Expectation { key: pending_key(id), version }],
            puts: vec![(ended_key(id), Vec::new())],
            deletes: vec![pending_key(id)],
        };
        let Commit::Applied(_) = self.context.store.commit(transaction).await? else {
            return Ok(false);
        };
        emit!(self.context.log, Event::JobCancelled, "job" => id);
        self.context.ended.borrow_mut().record(id, true, self.context.now());
        self.context.load_changed.notify_one();
        self.drop_job(id, "the caller cancelled the job");
        Ok(true)
    }

    /// Summary of a job that this VM owns.
    pub fn owned_summary(&self, id: &str) -> Option<Summary> {
        let owned = self.owned.borrow();
        let Job { head, spec, listed, .. } = &owned.get(id)?.job;
        let (organisation, total) = (head.organisation.clone(), spec.items.len());
        Some(Summary { organisation, total, stored: listed.len() })
    }

    /// Notification of further stored results of a job that this VM owns.
    pub fn owned_change(&self, id: &str) -> Option<Rc<Notify>> {
        self.owned.borrow().get(id).map(|owned| owned.results_stored.clone())
    }

    /// Organisation that submitted a job that this VM owns.
    pub fn owned_organisation(&self, id: &str) -> Option<String> {
        self.owned.borrow().get(id).map(|owned| owned.job.head.organisation.clone())
    }

    /// Request body of an item of a job that this VM owns.
    pub fn owned_body(&self, id: &str, item: &str) -> Option<bytes::Bytes> {
        let owned = self.owned.borrow();
        owned.get(id)?.job.item(item).map(|item| item.body.clone())
    }

    /// Number of jobs that this VM owns, and of their items without a stored
    /// result.
    pub fn open_counts(&self) -> (usize, usize) {
        let owned = self.owned.borrow();
        (owned.len(), owned.values().map(|owned| owned.job.remaining()).sum())
    }

    /// Number of waiting items by what they wait for.
    pub fn waiting_counts(&self) -> BTreeMap<Cause, usize> {
        let now = self.context.now();
        let mut counts: BTreeMap<Cause, usize> = Cause::ALL.map(|cause| (cause, 0)).into();
        for owned in self.owned.borrow().values() {
            for cause in owned.job.waiting(now) {
                *counts.entry(cause).or_default() += 1;
            }
        }
        counts
    }

    /// Jobs that this VM has owned since before `requested`, but no longer owns
    /// according to the store.
    pub(super) fn no_longer_owned(&self, requested: Time) -> Vec<String> {
        let view = self.context.view.borrow();
        let owned = self.owned.borrow();
        let lost = owned.values().filter(|owned| {
            let fence = view.pending.get(&owned.job.id).map(|(_, version)| *version);
            owned.job.owned_since < requested && !owned.flushing && fence != Some(owned.job.fence)
        });
        lost.map(|owned| owned.job.id.clone()).collect()
    }
}

/// Wall-clock time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
