//! One job and its items.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::outcome::Grant;
use super::record::{Attempt, AttemptOutcome, Name, Seal, Settlement};

/// Attempts at an item before it fails.
pub(super) const MAX_FAILURES: u8 = 5;
/// Upstreams that an item may take down before it fails.
pub(super) const MAX_LOSSES: u8 = 2;
/// Wait after the first failed attempt; it doubles with each.
const FIRST_BACKOFF_MS: u64 = 200;
/// Ways in which an item completes.
const STATUSES: usize = 4;
/// Longest wait between attempts.
const MAX_BACKOFF_MS: u64 = 10_000;

key! {
    /// A job: the sequence number of the record that sealed it.
    pub struct JobId(pub u64);

    /// What a job is doing.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Phase {
        /// Items wait or run.
        Running,
        /// Every item is complete.
        Finished,
        /// It was cancelled; its other items are complete as cancelled.
        Cancelled,
        /// Its deadline passed; its other items are complete as failed.
        Expired,
    }

    /// How an item completed.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum ItemStatus {
        /// An upstream answered it.
        Succeeded,
        /// It can't be done.
        Failed,
        /// It was sent once and may have run.
        Unknown,
        /// Its job was cancelled first.
        Cancelled,
    }

    /// Why an item completed as it did.
    pub enum Reason {
        /// The settlement in the record says so.
        Answered,
        /// It took down upstreams.
        Poison,
        /// Its attempts are used up.
        Exhausted,
        /// Its worker was lost while it may have been running.
        WorkerLost,
        /// Its upstream was lost while it may have been running.
        UpstreamLost,
        /// Its job was cancelled.
        Cancelled,
        /// Its job's deadline passed.
        DeadlinePassed,
    }

    /// Where a completed item's result stands.
    pub struct ItemResult {
        /// Place of the item in the job.
        pub item: u32,
        /// How it completed.
        pub status: ItemStatus,
        /// Why.
        pub reason: Reason,
        /// Record that completed it.
        pub record: u64,
        /// Place in that record, for answers.
        pub index: u32,
    }
}

impl ItemResult {
    /// Whether an upstream's answer stands in its record.
    pub fn answered(&self) -> bool {
        self.reason == Reason::Answered
    }
}

impl Reason {
    /// The reason in words.
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
    /// Times it was given to a worker.
    grants: u32,
    failures: u8,
    losses: u8,
    /// Attempt that the latest loss was told of; it counts once.
    lost_attempt: u32,
    complete: bool,
}

/// Items of one staged record.
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
    /// What it is doing.
    pub phase: Phase,
    /// Items in all.
    pub total: u32,
    /// Items that an upstream answered.
    pub succeeded: u32,
    /// Items that can't be done.
    pub failed: u32,
    /// Items that may have run.
    pub unknown: u32,
    /// Items that were cancelled.
    pub cancelled: u32,
    /// Items that are with a worker.
    pub running: u32,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// When the rest fails, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    pub(super) id: JobId,
    pub(super) seal: Seal,
    pub(super) accepted_ms: u64,
    pub(super) ended_ms: Option<u64>,
    phase: Phase,
    chunks: Vec<Chunk>,
    items: Vec<Item>,
    /// Items from here on were never given out.
    fresh: u32,
    ready: VecDeque<u32>,
    delayed: BTreeSet<(u64, u32)>,
    /// Attempt that each running item is at.
    leased: BTreeMap<u32, u32>,
    results: Vec<ItemResult>,
    counts: [u32; STATUSES],
    /// Records shared with other jobs.
    touched: Vec<u64>,
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
            fresh: 0,
            ready: VecDeque::new(),
            delayed: BTreeSet::new(),
            leased: BTreeMap::new(),
            results: Vec::new(),
            counts: [0; STATUSES],
            touched: Vec::new(),
        };
        job.finish_if_complete(now_ms);
        job
    }

    /// Its identity.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// What it was accepted with.
    pub fn seal(&self) -> &Seal {
        &self.seal
    }

    /// Its name.
    pub fn name(&self) -> &Name {
        &self.seal.name
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Running attempts.
    pub fn running(&self) -> impl Iterator<Item = Attempt> + '_ {
        let job = self.id.0;
        self.leased.iter().map(move |(item, attempt)| Attempt {
            job,
            item: *item,
            attempt: *attempt,
        })
    }

    /// Whether this attempt is the one that its item is at.
    pub fn is_current(&self, attempt: &Attempt) -> bool {
        self.leased.get(&attempt.item) == Some(&attempt.attempt)
    }

    /// Results in the order of completion.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
    }

    /// Record and place in it that hold an item.
    pub fn locate(&self, item: u32) -> (u64, u32) {
        let after = self.chunks.partition_point(|chunk| chunk.first <= item);
        let chunk = self.chunks[after - 1];
        (chunk.record, item - chunk.first)
    }

    /// Counts of its items.
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
            && (self.fresh < self.seal.total
                || !self.ready.is_empty()
                || self.delayed.first().is_some_and(|(due, _)| *due <= now_ms))
    }

    /// Items that could be given out now, in order.
    pub(super) fn free_items(&self, now_ms: u64) -> impl Iterator<Item = Attempt> + '_ {
        let due = self.delayed.iter().take_while(move |(due, _)| *due <= now_ms);
        let fresh = self.fresh..self.seal.total;
        let running = self.phase == Phase::Running;
        due.map(|(_, item)| *item)
            .chain(self.ready.iter().copied())
            .chain(fresh)
            .filter(move |_| running)
            .map(|item| self.next_attempt(item))
    }

    fn next_attempt(&self, item: u32) -> Attempt {
        let attempt = self.items[item as usize].grants + 1;
        Attempt { job: self.id.0, item, attempt }
    }

    /// Begins an attempt, unless its item isn't free for it any more.
    pub(super) fn grant(&mut self, attempt: &Attempt) -> Option<Grant> {
        let item = attempt.item;
        let state = self.items.get(item as usize).copied()?;
        let free = self.phase == Phase::Running && !state.complete;
        if !free || self.leased.contains_key(&item) || state.grants + 1 != attempt.attempt {
            return None;
        }
        self.take_item(item);
        self.items[item as usize].grants += 1;
        self.leased.insert(item, attempt.attempt);
        let (record, index) = self.locate(item);
        Some(Grant { attempt: *attempt, record, index })
    }

    /// Removes an item from those that wait.
    fn take_item(&mut self, item: u32) {
        if item >= self.fresh {
            self.ready.extend(self.fresh..item);
            self.fresh = item + 1;
            return;
        }
        self.ready.retain(|ready| *ready != item);
        self.delayed.retain(|(_, delayed)| *delayed != item);
    }

    /// Notes that a shared record concerns this job; false if it did before.
    pub(super) fn touch(&mut self, record: u64) -> bool {
        let first = self.touched.last() != Some(&record);
        if first {
            self.touched.push(record);
        }
        first
    }

    /// Its own records and the shared ones that concern it.
    pub(super) fn into_records(self) -> (Vec<u64>, Vec<u64>) {
        let own = self.chunks.iter().map(|chunk| chunk.record).chain([self.id.0]);
        (own.collect(), self.touched)
    }

    /// Applies an ended attempt that stands at `index` of `record`.
    pub(super) fn settle(&mut self, record: u64, index: u32, ended: &Settlement, now_ms: u64) {
        let item = ended.attempt.item;
        let Some(state) = self.items.get(item as usize).copied() else { return };
        if state.complete {
            return;
        }
        let outcome = AttemptOutcome::try_from(ended.outcome).unwrap_or(AttemptOutcome::Failed);
        let answer = |status| ItemResult { item, status, reason: Reason::Answered, record, index };
        if outcome == AttemptOutcome::Answered {
            // Any attempt's answer will do; the first committed one stays.
            let succeeded = ended.status < 400;
            let status = if succeeded { ItemStatus::Succeeded } else { ItemStatus::Failed };
            self.complete(answer(status), now_ms);
            return;
        }
        if outcome == AttemptOutcome::UpstreamLost && self.seal.idempotent {
            // Counts also when the lease had expired meanwhile.
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

    /// Voids a lease whose worker is gone.
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
        let backoff = FIRST_BACKOFF_MS << (state.failures - 1);
        self.delayed.insert((now_ms + backoff.min(MAX_BACKOFF_MS), item));
    }

    /// Completes every item that isn't yet, and gives nothing out any more.
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
        self.fresh = self.seal.total;
        for item in 0..self.seal.total {
            if self.items[item as usize].complete {
                continue;
            }
            // An item that may be running can't be called undone.
            let sent = !self.seal.idempotent && self.leased.contains_key(&item);
            let status = if sent { ItemStatus::Unknown } else { status };
            self.complete(ItemResult { item, status, reason, record, index: 0 }, now_ms);
        }
        self.phase = phase;
        self.ended_ms = Some(now_ms);
    }

    fn complete(&mut self, result: ItemResult, now_ms: u64) {
        let state = &mut self.items[result.item as usize];
        assert!(!state.complete, "an item completes once");
        state.complete = true;
        if self.leased.remove(&result.item).is_none() {
            // A late answer to an attempt that had been given up.
            self.take_item(result.item);
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
