//! The replicated state machine of a segment.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use super::claims::Claims;
use super::job::{Chunk, Job, JobId, Phase, Progress};
use super::outcome::Outcome;
use super::record::{Attempt, Event, Lease, Name, Record, Seal, Settle, Stage, Sweep};

/// Retention of ended jobs and claims, in milliseconds: three days.
pub const RETENTION_MS: u64 = 3 * 24 * 60 * 60 * 1_000;
/// Time without a new chunk after which an upload is discarded, in milliseconds.
const UPLOAD_IDLE_MS: u64 = 10 * 60 * 1_000;
/// Maximum number of jobs of each kind, and of uploads, in one sweep record.
const SWEEP_LIMIT: usize = 16;

#[derive(Clone, Debug, Default)]
struct StagedUpload {
    chunks: Vec<Chunk>,
    updated_ms: u64,
}

/// Uploads, jobs and claims of one segment. Every replica derives the same
/// state from the same records.
#[derive(Clone, Debug, Default)]
pub struct State {
    uploads: BTreeMap<String, StagedUpload>,
    jobs: BTreeMap<JobId, Job>,
    names: BTreeMap<Name, JobId>,
    /// Running jobs by target, ordered by deadline.
    open_jobs: BTreeMap<String, BTreeSet<(u64, JobId)>>,
    /// Ended jobs, ordered by the time they ended.
    ended: BTreeSet<(u64, JobId)>,
    claims: Claims,
    /// Number of jobs that still refer to each shared record.
    shared_records: HashMap<u64, u32>,
    /// Time and sequence number of records that removed something. They are
    /// kept for the retention period, so that a replica that copies the log
    /// meanwhile applies them too.
    retained_records: VecDeque<(u64, u64)>,
}

impl State {
    /// Applies the record at `seq`. Returns the outcome and the records that
    /// became obsolete and can be compacted away.
    pub fn apply(&mut self, seq: u64, record: &Record) -> (Outcome, Vec<u64>) {
        let now_ms = record.now_ms;
        let Some(event) = &record.event else { return (Outcome::Done, Vec::new()) };
        match event {
            Event::Stage(stage) => self.stage(seq, stage, now_ms),
            Event::Seal(seal) => self.seal(seq, seal, now_ms),
            Event::Lease(lease) => self.lease(seq, lease),
            Event::Settle(settle) => self.settle(seq, settle, now_ms),
            Event::Cancel(name) => self.cancel(seq, name, now_ms),
            Event::Expire(expire) => self.expire(seq, &expire.attempts, now_ms),
            Event::Sweep(sweep) => (Outcome::Done, self.sweep(seq, sweep, now_ms)),
            Event::Claim(claim) => self.claims.claim(seq, claim, now_ms),
            Event::Finish(finish) => self.claims.finish(seq, &finish.claim),
            Event::Release(claim) => {
                self.retained_records.push_back((now_ms, seq));
                self.claims.release(claim)
            }
        }
    }

    /// Looks up a job by name.
    pub fn job(&self, name: &Name) -> Option<&Job> {
        self.jobs.get(self.names.get(name)?)
    }

    /// Looks up a job by identifier.
    pub fn job_by_id(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Progress of an organisation's jobs, ordered by job name.
    pub fn list(&self, organisation: &str) -> Vec<Progress> {
        let first = Name { organisation: organisation.into(), job: String::new() };
        let own =
            self.names.range(first..).take_while(|(name, _)| name.organisation == organisation);
        own.filter_map(|(_, id)| self.jobs.get(id)).map(Job::progress).collect()
    }

    /// All attempts that are leased to a worker.
    pub fn running(&self) -> impl Iterator<Item = Attempt> + '_ {
        self.jobs.values().flat_map(Job::running)
    }

    /// Whether the attempt is the one that its item is currently leased for.
    pub fn is_current(&self, attempt: &Attempt) -> bool {
        self.jobs.get(&JobId(attempt.job)).is_some_and(|job| job.is_current(attempt))
    }

    /// Builds the sweep of everything that is past its deadline, retention or
    /// idle time; `None` if there is nothing to sweep.
    pub fn due_sweep(&self, now_ms: u64) -> Option<Sweep> {
        let overdue = self.open_jobs.values().flat_map(|open| {
            open.iter().take_while(|(deadline, _)| *deadline <= now_ms).map(|(_, id)| id.0)
        });
        let retained_until = |ended: u64| ended.saturating_add(RETENTION_MS);
        let past_retention =
            self.ended.iter().take_while(|(ended, _)| retained_until(*ended) <= now_ms);
        let idle =
            self.uploads.iter().filter(|(_, upload)| upload.updated_ms + UPLOAD_IDLE_MS <= now_ms);
        let before = now_ms.saturating_sub(RETENTION_MS);
        let claims = self.claims.oldest_ms().is_some_and(|oldest| oldest < before);
        let sweep = Sweep {
            overdue: overdue.take(SWEEP_LIMIT).collect(),
            past_retention: past_retention.map(|(_, id)| id.0).take(SWEEP_LIMIT).collect(),
            uploads: idle.map(|(name, _)| name.clone()).take(SWEEP_LIMIT).collect(),
            claims_before_ms: if claims { before } else { 0 },
        };
        (sweep != Sweep::default()).then_some(sweep)
    }

    /// Selects up to `limit` items for a worker by weighted fair sharing: the
    /// organisation with the fewest running items for its weight comes first,
    /// and within it the job with the earliest deadline.
    pub fn pick(&self, target: &str, limit: usize, now_ms: u64) -> Vec<Attempt> {
        let mut queues: BTreeMap<&str, Queue<'_>> = BTreeMap::new();
        let open = self.open_jobs.get(target).into_iter().flatten();
        for job in open.map(|(_, id)| &self.jobs[id]) {
            let queue = queues.entry(job.seal.name.organisation.as_str()).or_default();
            queue.running += u64::from(job.running_count());
            queue.weight = u64::from(job.seal.weight.max(1));
            if job.has_ready(now_ms) {
                queue.items.push(Box::new(job.available_items(now_ms)));
            }
        }
        let mut queues: Vec<Queue<'_>> = queues.into_values().collect();
        let mut picked = Vec::new();
        while picked.len() < limit {
            let next = queues.iter().enumerate().min_by_key(|(_, queue)| queue.weighted_load());
            let Some(index) = next.map(|(index, _)| index) else { break };
            match queues[index].next() {
                Some(attempt) => picked.push(attempt),
                None => {
                    queues.remove(index);
                }
            }
        }
        picked
    }

    fn stage(&mut self, seq: u64, stage: &Stage, now_ms: u64) -> (Outcome, Vec<u64>) {
        let upload = self.uploads.entry(stage.upload.clone()).or_default();
        upload.updated_ms = now_ms;
        let next = upload.chunks.last().map_or(0, |chunk| chunk.first + chunk.count);
        let count = stage.items.len() as u32;
        if stage.first + count <= next {
            return (Outcome::Done, vec![seq]); // these items are already staged
        }
        if stage.first != next {
            return (Outcome::Incomplete, vec![seq]);
        }
        upload.chunks.push(Chunk { first: stage.first, count, record: seq });
        (Outcome::Done, Vec::new())
    }

    fn seal(&mut self, seq: u64, seal: &Seal, now_ms: u64) -> (Outcome, Vec<u64>) {
        let upload = self.uploads.remove(&seal.upload);
        let chunks = upload.map(|upload| upload.chunks).unwrap_or_default();
        let obsolete = || chunks.iter().map(|chunk| chunk.record).chain([seq]).collect();
        if let Some(job) = self.job(&seal.name) {
            if job.seal.digest != seal.digest {
                return (Outcome::Conflict, obsolete());
            }
            return (Outcome::Accepted { created: false, total: job.seal.total }, obsolete());
        }
        let staged = chunks.last().map_or(0, |chunk| chunk.first + chunk.count);
        if staged != seal.total {
            return (Outcome::Incomplete, obsolete());
        }
        let id = JobId(seq);
        self.jobs.insert(id, Job::new(id, seal.clone(), chunks, now_ms));
        self.names.insert(seal.name.clone(), id);
        let due = (seal.deadline_ms, id);
        self.open_jobs.entry(seal.target.clone()).or_default().insert(due);
        self.move_if_ended(id);
        (Outcome::Accepted { created: true, total: seal.total }, Vec::new())
    }

    fn lease(&mut self, seq: u64, lease: &Lease) -> (Outcome, Vec<u64>) {
        let mut grants = Vec::new();
        for attempt in &lease.attempts {
            let job = self.jobs.get_mut(&JobId(attempt.job));
            let Some(grant) = job.and_then(|job| job.grant(attempt)) else { continue };
            grants.push(grant);
            self.add_shared_record(JobId(attempt.job), seq);
        }
        let obsolete = if grants.is_empty() { vec![seq] } else { Vec::new() };
        (Outcome::Leased(grants), obsolete)
    }

    fn settle(&mut self, seq: u64, settle: &Settle, now_ms: u64) -> (Outcome, Vec<u64>) {
        for (index, ended) in settle.settlements.iter().enumerate() {
            let id = JobId(ended.attempt.job);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.settle(seq, index as u32, ended, now_ms);
                self.add_shared_record(id, seq);
                self.move_if_ended(id);
            }
        }
        (Outcome::Done, self.obsolete_unless_shared(seq))
    }

    fn cancel(&mut self, seq: u64, name: &Name, now_ms: u64) -> (Outcome, Vec<u64>) {
        let Some(id) = self.names.get(name).copied() else {
            return (Outcome::NotFound, vec![seq]);
        };
        let job = self.jobs.get_mut(&id).expect("every name maps to an existing job");
        job.close(seq, Phase::Cancelled, now_ms);
        let total = job.seal.total;
        self.add_shared_record(id, seq);
        self.move_if_ended(id);
        (Outcome::Accepted { created: false, total }, Vec::new())
    }

    fn expire(&mut self, seq: u64, attempts: &[Attempt], now_ms: u64) -> (Outcome, Vec<u64>) {
        for attempt in attempts {
            let id = JobId(attempt.job);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.expire(seq, attempt, now_ms);
                self.add_shared_record(id, seq);
                self.move_if_ended(id);
            }
        }
        (Outcome::Done, self.obsolete_unless_shared(seq))
    }

    fn sweep(&mut self, seq: u64, sweep: &Sweep, now_ms: u64) -> Vec<u64> {
        let mut obsolete = self.claims.sweep(sweep.claims_before_ms);
        for id in &sweep.overdue {
            if let Some(job) = self.jobs.get_mut(&JobId(*id)) {
                job.close(seq, Phase::Expired, now_ms);
                self.add_shared_record(JobId(*id), seq);
                self.move_if_ended(JobId(*id));
            }
        }
        for id in &sweep.past_retention {
            let Some(job) = self.jobs.remove(&JobId(*id)) else { continue };
            self.names.remove(job.name());
            self.ended.retain(|(_, ended)| *ended != job.id);
            let (own, shared) = job.into_records();
            obsolete.extend(own);
            obsolete.extend(shared.into_iter().filter(|record| self.remove_shared_record(*record)));
        }
        for name in &sweep.uploads {
            let upload = self.uploads.remove(name).unwrap_or_default();
            obsolete.extend(upload.chunks.iter().map(|chunk| chunk.record));
        }
        let expired = |made_ms: u64| made_ms.saturating_add(RETENTION_MS) <= now_ms;
        while self.retained_records.front().is_some_and(|(made_ms, _)| expired(*made_ms)) {
            obsolete.extend(self.retained_records.pop_front().map(|(_, record)| record));
        }
        if !self.shared_records.contains_key(&seq) {
            self.retained_records.push_back((now_ms, seq));
        }
        obsolete
    }

    /// Moves a job that has ended from the index of running jobs to that of
    /// ended jobs.
    fn move_if_ended(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        let Some(ended_ms) = job.ended_ms else { return };
        if !self.ended.insert((ended_ms, id)) {
            return;
        }
        if let Some(open) = self.open_jobs.get_mut(&job.seal.target) {
            open.remove(&(job.seal.deadline_ms, id));
            if open.is_empty() {
                self.open_jobs.remove(&job.seal.target);
            }
        }
    }

    fn add_shared_record(&mut self, id: JobId, record: u64) {
        if self.jobs.get_mut(&id).is_some_and(|job| job.add_shared_record(record)) {
            *self.shared_records.entry(record).or_default() += 1;
        }
    }

    /// Drops one job's reference to a shared record; true if it was the last.
    fn remove_shared_record(&mut self, record: u64) -> bool {
        let Some(jobs) = self.shared_records.get_mut(&record) else { return false };
        *jobs -= 1;
        if *jobs > 0 {
            return false;
        }
        self.shared_records.remove(&record);
        true
    }

    fn obsolete_unless_shared(&self, record: u64) -> Vec<u64> {
        if self.shared_records.contains_key(&record) { Vec::new() } else { vec![record] }
    }
}

/// Candidate items of one organisation.
#[derive(Default)]
struct Queue<'a> {
    running: u64,
    weight: u64,
    items: Vec<Box<dyn Iterator<Item = Attempt> + 'a>>,
}

impl Queue<'_> {
    fn weighted_load(&self) -> u64 {
        self.running * 1_000 / self.weight
    }

    fn next(&mut self) -> Option<Attempt> {
        let attempt = self.items.iter_mut().find_map(|items| items.next())?;
        self.running += 1;
        Some(attempt)
    }
}
