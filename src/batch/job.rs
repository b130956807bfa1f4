//! One job and its items.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::outcome::Grant;
use super::record::{Attempt, AttemptOutcome, Name, Seal, Settlement};

/// Number of failed attempts after which an item fails.
pub(super) const MAX_FAILURES: u8 = 5;
/// Number of upstreams lost while running an item after which the item fails.
pub(super) const MAX_LOSSES: u8 = 2;
/// Backoff after the first failed attempt; it doubles with each further one.
const MIN_BACKOFF_MS: u64 = 200;
/// Number of variants of `ItemStatus`.
const STATUSES: usize = 4;
/// Upper bound on the backoff between attempts.
const MAX_BACKOFF_MS: u64 = 10_000;

key! {
    /// Identifier of a job: the sequence number of the record that created it.
    pub struct JobId(pub u64);

    /// Lifecycle phase of a job.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Phase {
        /// Items are waiting or running.
        Running,
        /// Every item is complete.
        Finished,
        /// The job was cancelled; its remaining items completed as cancelled.
        Cancelled,
        /// The deadline passed; the remaining items completed as failed.
        Expired,
    }

    /// Final status of an item.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum ItemStatus {
        /// An upstream answered with success.
        Succeeded,
        /// The item failed for good.
        Failed,
        /// The item was sent and may have run, but the outcome was lost.
        Unknown,
        /// The job was cancelled before the item completed.
        Cancelled,
    }

    /// Reason for the final status of an item.
    pub enum Reason {
        /// An upstream answered; the record holds the answer.
        Answered,
        /// Several upstreams were lost while running the item.
        Poison,
        /// The maximum number of attempts failed.
        Exhausted,
        /// The worker was lost while the item may have been running.
        WorkerLost,
        /// The upstream was lost while the item may have been running.
        UpstreamLost,
        /// The job was cancelled.
        Cancelled,
        /// The job's deadline passed.
        DeadlinePassed,
    }

    /// Result of a completed item, with the location of its answer in the log.
    pub struct ItemResult {
        /// Index of the item within the job.
        pub item: u32,
        /// Final status of the item.
        pub status: ItemStatus,
        /// Reason for the status.
        pub reason: Reason,
        /// Sequence number of the record that completed the item.
        pub record: u64,
        /// Index of the settlement within that record, if an upstream answered.
        pub index: u32,
    }
}

impl ItemResult {
    /// Whether the record holds an upstream's answer.
    pub fn answered(&self) -> bool {
        self.reason == Reason::Answered
    }
}

impl Reason {
    /// Text of the reason, as shown to the caller in results.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Answered => "the upstream answered",
            Reason::Poison => "it was running on two upstreams when they were lost",
            Reason::Exhausted => "its attempts are used up",
            Reason::WorkerLost => "its worker was lost after it may have been sent",
            Reason::UpstreamLost => "its upstream was lost after it was sent",
            Reason::Cancelled => "the job was cancelled",
            Reason::DeadlinePassed => "the job's deadline passed",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Item {
    /// Number of times the item was leased to a worker.
    lease_count: u32,
    failures: u8,
    losses: u8,
    /// Attempt of the latest reported loss; a repeated report isn't counted.
    lost_attempt: u32,
    complete: bool,
}

/// Location of the items of one `Stage` record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Chunk {
    pub(super) first: u32,
    pub(super) count: u32,
    pub(super) record: u64,
}

/// Counts of a job's items.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// Name of the job.
    pub name: String,
    /// Lifecycle phase of the job.
    pub phase: Phase,
    /// Total number of items.
    pub total: u32,
    /// Items that an upstream answered with success.
    pub succeeded: u32,
    /// Items that failed for good.
    pub failed: u32,
    /// Items that were sent and may have run, but whose outcome was lost.
    pub unknown: u32,
    /// Items that were cancelled.
    pub cancelled: u32,
    /// Items that are leased to a worker.
    pub running: u32,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Time at which incomplete items fail, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

/// State of one job.
#[derive(Clone, Debug)]
pub struct Job {
    pub(super) id: JobId,
    pub(super) seal: Seal,
    pub(super) accepted_ms: u64,
    pub(super) ended_ms: Option<u64>,
    phase: Phase,
    chunks: Vec<Chunk>,
    items: Vec<Item>,
    /// Index of the first item that was never leased.
    next_unleased: u32,
    ready: VecDeque<u32>,
    delayed: BTreeSet<(u64, u32)>,
    /// Current attempt of each leased item.
    leased: BTreeMap<u32, u32>,
    results: Vec<ItemResult>,
    counts: [u32; STATUSES],
    /// Records that may concern other jobs as well.
    shared_records: Vec<u64>,
}

impl Job {
    pub(super) fn new(id: JobId, seal: Seal, chunks: Vec<Chunk>, now_ms: u64) -> Self {
        let items = vec![Item::default(); seal.total as usize];
        let mut job = Self {
            id,
            seal,
            accepted_ms: now_ms,
            ended_ms: None,
            phase: Phase::Running,
            chunks,
            items,
            next_unleased: 0,
            ready: VecDeque::new(),
            delayed: BTreeSet::new(),
            leased: BTreeMap::new(),
            results: Vec::new(),
            counts: [0; STATUSES],
            shared_records: Vec::new(),
        };
        job.finish_if_complete(now_ms);
        job
    }

    /// Identifier of the job.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Parameters that the job was created with.
    pub fn seal(&self) -> &Seal {
        &self.seal
    }

    /// Name of the job, with its organisation.
    pub fn name(&self) -> &Name {
        &self.seal.name
    }

    /// Lifecycle phase of the job.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Attempts that are leased to a worker.
    pub fn running(&self) -> impl Iterator<Item = Attempt> + '_ {
        let job = self.id.0;
        self.leased.iter().map(move |(item, attempt)| Attempt {
            job,
            item: *item,
            attempt: *attempt,
        })
    }

    /// Whether the attempt is the one that its item is currently leased for.
    pub fn is_current(&self, attempt: &Attempt) -> bool {
        self.leased.get(&attempt.item) == Some(&attempt.attempt)
    }

    /// Results in order of completion.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
    }

    /// Sequence number of the record that holds an item, and the item's index
    /// within that record.
    pub fn locate(&self, item: u32) -> (u64, u32) {
        let next_chunk = self.chunks.partition_point(|chunk| chunk.first <= item);
        let chunk = self.chunks[next_chunk - 1];
        (chunk.record, item - chunk.first)
    }

    /// Item counts of the job.
    pub fn progress(&self) -> Progress {
        let count = |status: ItemStatus| self.counts[status as usize];
        Progress {
            name: self.seal.name.job.clone(),
            phase: self.phase,
            total: self.seal.total,
            succeeded: count(ItemStatus::Succeeded),
            failed: count(ItemStatus::Failed),
            unknown: count(ItemStatus::Unknown),
            cancelled: count(ItemStatus::Cancelled),
            running: self.leased.len() as u32,
            accepted_ms: self.accepted_ms,
            deadline_ms: self.seal.deadline_ms,
        }
    }

    pub(super) fn running_count(&self) -> u32 {
        self.leased.len() as u32
    }

    pub(super) fn has_ready(&self, now_ms: u64) -> bool {
        self.phase == Phase::Running
            && (self.next_unleased < self.seal.total
                || !self.ready.is_empty()
                || self.delayed.first().is_some_and(|(due, _)| *due <= now_ms))
    }

    /// Items that can be leased now, in the order in which they should be.
    pub(super) fn available_items(&self, now_ms: u64) -> impl Iterator<Item = Attempt> + '_ {
        let due = self.delayed.iter().take_while(move |(due, _)| *due <= now_ms);
        let unleased = self.next_unleased..self.seal.total;
        let running = self.phase == Phase::Running;
        due.map(|(_, item)| *item)
            .chain(self.ready.iter().copied())
            .chain(unleased)
            .filter(move |_| running)
            .map(|item| self.next_attempt(item))
    }

    fn next_attempt(&self, item: u32) -> Attempt {
        let attempt = self.items[item as usize].lease_count + 1;
        Attempt { job: self.id.0, item, attempt }
    }

    /// Leases an item for an attempt; `None` if the item is no longer available
    /// or the attempt isn't its next one.
    pub(super) fn grant(&mut self, attempt: &Attempt) -> Option<Grant> {
        let item = attempt.item;
        let state = self.items.get(item as usize).copied()?;
        let available = self.phase == Phase::Running && !state.complete;
        if !available || self.leased.contains_key(&item) || state.lease_count + 1 != attempt.attempt
        {
            return None;
        }
        self.remove_waiting(item);
        self.items[item as usize].lease_count += 1;
        self.leased.insert(item, attempt.attempt);
        let (record, index) = self.locate(item);
        Some(Grant { attempt: *attempt, record, index })
    }

    /// Removes an item from those that are waiting.
    fn remove_waiting(&mut self, item: u32) {
        if item >= self.next_unleased {
            self.ready.extend(self.next_unleased..item);
            self.next_unleased = item + 1;
            return;
        }
        self.ready.retain(|waiting| *waiting != item);
        self.delayed.retain(|(_, waiting)| *waiting != item);
    }

    /// Adds a reference to a shared record; false if the job already has it.
    pub(super) fn add_shared_record(&mut self, record: u64) -> bool {
        let first = self.shared_records.last() != Some(&record);
        if first {
            self.shared_records.push(record);
        }
        first
    }

    /// Records that belong to this job alone, and the shared records that it
    /// refers to.
    pub(super) fn into_records(self) -> (Vec<u64>, Vec<u64>) {
        let own = self.chunks.iter().map(|chunk| chunk.record).chain([self.id.0]);
        (own.collect(), self.shared_records)
    }

    /// Applies the settlement at `index` of `record`.
    pub(super) fn settle(&mut self, record: u64, index: u32, ended: &Settlement, now_ms: u64) {
        let item = ended.attempt.item;
        let Some(state) = self.items.get(item as usize).copied() else { return };
        if state.complete {
            return;
        }
        let outcome = AttemptOutcome::try_from(ended.outcome).unwrap_or(AttemptOutcome::Failed);
        let answer = |status| ItemResult { item, status, reason: Reason::Answered, record, index };
        if outcome == AttemptOutcome::Answered {
            // An answer of any attempt is valid; the first committed one wins.
            let succeeded = ended.status < 400;
            let status = if succeeded { ItemStatus::Succeeded } else { ItemStatus::Failed };
            self.complete(answer(status), now_ms);
            return;
        }
        if outcome == AttemptOutcome::UpstreamLost && self.seal.idempotent {
            // The loss counts even if the lease has expired in the meantime.
            let state = &mut self.items[item as usize];
            state.losses += u8::from(state.lost_attempt != ended.attempt.attempt);
            state.lost_attempt = ended.attempt.attempt;
            if state.losses >= MAX_LOSSES {
                let (status, reason) = (ItemStatus::Failed, Reason::Poison);
                return self.complete(ItemResult { item, status, reason, record, index }, now_ms);
            }
        }
        if !self.is_current(&ended.attempt) {
            return;
        }
        self.leased.remove(&item);
        match outcome {
            AttemptOutcome::NotSent => self.ready.push_back(item),
            AttemptOutcome::Preempted if self.seal.idempotent => self.ready.push_back(item),
            AttemptOutcome::Failed if !self.seal.idempotent => {
                self.complete(answer(ItemStatus::Failed), now_ms);
            }
            AttemptOutcome::UpstreamLost | AttemptOutcome::Preempted if !self.seal.idempotent => {
                let reason = Reason::UpstreamLost;
                let status = ItemStatus::Unknown;
                self.complete(ItemResult { item, status, reason, record, index }, now_ms);
            }
            _ => self.retry(item, record, now_ms),
        }
    }

    /// Expires the lease of a worker that stopped renewing it.
    pub(super) fn expire(&mut self, record: u64, attempt: &Attempt, now_ms: u64) {
        if !self.is_current(attempt) {
            return;
        }
        self.leased.remove(&attempt.item);
        if self.seal.idempotent {
            self.retry(attempt.item, record, now_ms);
            return;
        }
        let reason = Reason::WorkerLost;
        let result = ItemResult {
            item: attempt.item,
            status: ItemStatus::Unknown,
            reason,
            record,
            index: 0,
        };
        self.complete(result, now_ms);
    }

    fn retry(&mut self, item: u32, record: u64, now_ms: u64) {
        let state = &mut self.items[item as usize];
        state.failures += 1;
        if state.failures >= MAX_FAILURES {
            let reason = Reason::Exhausted;
            let result = ItemResult { item, status: ItemStatus::Failed, reason, record, index: 0 };
            self.complete(result, now_ms);
            return;
        }
        let backoff = MIN_BACKOFF_MS << (state.failures - 1);
        self.delayed.insert((now_ms + backoff.min(MAX_BACKOFF_MS), item));
    }

    /// Ends the job in `phase`: completes all remaining items and leases no
    /// more.
    pub(super) fn close(&mut self, record: u64, phase: Phase, now_ms: u64) {
        if self.phase != Phase::Running {
            return;
        }
        let (status, reason) = match phase {
            Phase::Cancelled => (ItemStatus::Cancelled, Reason::Cancelled),
            _ => (ItemStatus::Failed, Reason::DeadlinePassed),
        };
        self.ready.clear();
        self.delayed.clear();
        self.next_unleased = self.seal.total;
        for item in 0..self.seal.total {
            if self.items[item as usize].complete {
                continue;
            }
            // A leased item that isn't idempotent may be running, so its
            // outcome is unknown.
            let may_be_running = !self.seal.idempotent && self.leased.contains_key(&item);
            let status = if may_be_running { ItemStatus::Unknown } else { status };
            self.complete(ItemResult { item, status, reason, record, index: 0 }, now_ms);
        }
        self.phase = phase;
        self.ended_ms = Some(now_ms);
    }

    fn complete(&mut self, result: ItemResult, now_ms: u64) {
        let state = &mut self.items[result.item as usize];
        assert!(!state.complete, "an item must complete only once");
        state.complete = true;
        if self.leased.remove(&result.item).is_none() {
            // A late answer to an attempt whose lease had expired.
            self.remove_waiting(result.item);
        }
        self.counts[result.status as usize] += 1;
        self.results.push(result);
        self.finish_if_complete(now_ms);
    }

    fn finish_if_complete(&mut self, now_ms: u64) {
        if self.results.len() == self.items.len() {
            self.phase = Phase::Finished;
            self.ended_ms = Some(now_ms);
        }
    }
}
