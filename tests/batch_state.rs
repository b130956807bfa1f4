//! State machine of jobs and claims: the effect of each record.

use bytes::Bytes;
use parsleybeam::batch::record::{
    Attempt, AttemptOutcome, Claim, Event, Expire, Finish, Item, Lease, Name, Record, Seal, Settle,
    Settlement, Stage, Sweep,
};
use parsleybeam::batch::{ItemStatus, Job, Outcome, Phase, RETENTION_MS, State};

const TARGET: &str = "model:notes";
const DEADLINE_MS: u64 = 10 * RETENTION_MS;

/// A segment that commits every record immediately.
#[derive(Default)]
struct Log {
    state: State,
    records: Vec<Record>,
    obsolete: Vec<u64>,
    now_ms: u64,
}

impl Log {
    fn apply(&mut self, event: Event) -> Outcome {
        let record = Record::new(self.now_ms, event);
        self.records.push(record.clone());
        let (outcome, obsolete) = self.state.apply(self.records.len() as u64, &record);
        self.obsolete.extend(obsolete);
        outcome
    }

    fn seal(&mut self, organisation: &str, job: &str, total: u32, idempotent: bool) -> Outcome {
        let upload = format!("{organisation}/{job}/{}", self.records.len());
        let item = |_| Item { custom_id: String::new(), body: Bytes::new() };
        let items = (0..total).map(item).collect();
        self.apply(Event::Stage(Stage { upload: upload.clone(), first: 0, items }));
        self.apply(Event::Seal(Seal {
            name: name(organisation, job),
            upload,
            digest: vec![1],
            total,
            path: "/v1/completions".into(),
            target: TARGET.into(),
            idempotent,
            deadline_ms: DEADLINE_MS,
            weight: 1,
        }))
    }

    fn lease(&mut self, limit: usize) -> Vec<Attempt> {
        let attempts = self.state.pick(TARGET, limit, self.now_ms);
        match self.apply(Event::Lease(Lease { worker: "entry".into(), attempts })) {
            Outcome::Leased(grants) => grants.iter().map(|grant| grant.attempt).collect(),
            other => panic!("{other:?}"),
        }
    }

    fn settle(&mut self, attempt: Attempt, outcome: AttemptOutcome) {
        let settlement =
            Settlement { attempt, outcome: outcome.into(), status: 200, body: Bytes::new() };
        self.apply(Event::Settle(Settle { settlements: vec![settlement] }));
    }

    fn job(&self, organisation: &str, job: &str) -> &Job {
        self.state.job(&name(organisation, job)).expect("the job exists")
    }

    fn replay(&self) -> State {
        let mut state = State::default();
        for (index, record) in self.records.iter().enumerate() {
            let seq = index as u64 + 1;
            if !self.obsolete.contains(&seq) {
                state.apply(seq, record);
            }
        }
        state
    }
}

fn name(organisation: &str, job: &str) -> Name {
    Name { organisation: organisation.into(), job: job.into() }
}

fn claim(claimant: &str) -> Claim {
    Claim {
        organisation: "limpa".into(),
        idempotency_key: "k".into(),
        fingerprint: vec![1],
        claimant: claimant.into(),
    }
}

#[test]
fn settle_first_result_wins() {
    let mut log = Log::default();
    log.seal("limpa", "a", 1, true);
    let first = log.lease(1)[0];
    log.apply(Event::Expire(Expire { attempts: vec![first] }));
    log.now_ms = 10_000;
    let second = log.lease(1)[0];
    assert_eq!((first.attempt, second.attempt), (1, 2));
    log.settle(first, AttemptOutcome::Answered);
    let results = log.job("limpa", "a").results().to_vec();
    log.settle(second, AttemptOutcome::Answered);
    assert_eq!(log.job("limpa", "a").results(), results, "a second result is ignored");
    assert_eq!(log.job("limpa", "a").phase(), Phase::Finished);
}

#[test]
fn settle_max_losses() {
    let mut log = Log::default();
    log.seal("limpa", "a", 1, true);
    for losses in 1..=2 {
        let attempts = log.lease(1);
        assert_eq!(attempts.len(), 1, "loss {losses}");
        log.settle(attempts[0], AttemptOutcome::UpstreamLost);
        log.now_ms += 60_000;
    }
    assert!(log.lease(1).is_empty(), "the item must not run on a third upstream");
    assert_eq!(log.job("limpa", "a").results()[0].status, ItemStatus::Failed);
}

#[test]
fn settle_not_idempotent() {
    let mut log = Log::default();
    log.seal("limpa", "a", 3, false);
    let attempts = log.lease(3);
    log.settle(attempts[0], AttemptOutcome::UpstreamLost);
    log.apply(Event::Expire(Expire { attempts: vec![attempts[1]] }));
    log.settle(attempts[2], AttemptOutcome::NotSent);
    let statuses: Vec<_> =
        log.job("limpa", "a").results().iter().map(|result| result.status).collect();
    assert_eq!(statuses, [ItemStatus::Unknown, ItemStatus::Unknown]);
    let again = log.lease(3);
    assert_eq!(again.len(), 1, "only the item that was never sent is leased again");
    assert_eq!(again[0].item, attempts[2].item);
}

#[test]
fn settle_backoff() {
    let mut log = Log::default();
    log.seal("limpa", "a", 1, true);
    let first = log.lease(1)[0];
    log.settle(first, AttemptOutcome::Failed);
    assert!(log.lease(1).is_empty(), "the item is in backoff");
    log.now_ms += 200;
    let mut attempts = log.lease(1);
    while let Some(attempt) = attempts.pop() {
        log.settle(attempt, AttemptOutcome::Failed);
        log.now_ms += 60_000;
        attempts = log.lease(1);
    }
    let job = log.job("limpa", "a");
    assert_eq!((job.phase(), job.results()[0].status), (Phase::Finished, ItemStatus::Failed));
}

#[test]
fn cancel_ends_items() {
    let mut log = Log::default();
    log.seal("limpa", "a", 4, true);
    let attempts = log.lease(2);
    log.settle(attempts[0], AttemptOutcome::Answered);
    log.apply(Event::Cancel(name("limpa", "a")));
    log.settle(attempts[1], AttemptOutcome::Answered);
    assert!(log.lease(4).is_empty());
    let progress = log.job("limpa", "a").progress();
    assert_eq!((progress.succeeded, progress.cancelled, progress.running), (1, 3, 0));
    assert_eq!(log.apply(Event::Cancel(name("jadranka", "a"))), Outcome::NotFound);
}

#[test]
fn pick_fair_share() {
    let mut log = Log::default();
    log.seal("limpa", "large", 100, true);
    log.seal("jadranka", "small", 3, true);
    let attempts = log.lease(6);
    let small = log.job("jadranka", "small").id().0;
    let count = attempts.iter().filter(|attempt| attempt.job == small).count();
    assert_eq!(count, 3, "each organisation gets half of the leases: {attempts:?}");
}

#[test]
fn sweep_past_deadline() {
    let mut log = Log::default();
    log.seal("limpa", "a", 2, true);
    log.now_ms = DEADLINE_MS;
    let sweep = log.state.due_sweep(log.now_ms).expect("the job is past its deadline");
    log.apply(Event::Sweep(sweep));
    let job = log.job("limpa", "a");
    assert_eq!((job.phase(), job.progress().failed), (Phase::Expired, 2));
}

#[test]
fn sweep_removes_past_retention() {
    let mut log = Log::default();
    log.seal("limpa", "old", 2, true);
    let attempts = log.lease(2);
    attempts.iter().for_each(|attempt| log.settle(*attempt, AttemptOutcome::Answered));
    log.apply(Event::Claim(claim("one")));
    log.now_ms = RETENTION_MS / 2;
    log.seal("limpa", "new", 3, true);
    let attempts = log.lease(2);
    log.settle(attempts[0], AttemptOutcome::Answered);
    log.now_ms = RETENTION_MS + 1;
    let before = log.job("limpa", "new").results().to_vec();
    let sweep: Sweep = log.state.due_sweep(log.now_ms).expect("the old job is past its retention");
    log.apply(Event::Sweep(sweep));
    assert!(log.state.job(&name("limpa", "old")).is_none());
    for seq in 1..=6 {
        assert!(log.obsolete.contains(&seq), "record {seq} is obsolete: {:?}", log.obsolete);
    }
    let replayed = log.replay();
    let job = replayed.job(&name("limpa", "new")).expect("the new job exists");
    assert_eq!(job.results(), before);
    assert_eq!(job.running().collect::<Vec<_>>(), attempts[1..]);
    assert_eq!(
        log.apply(Event::Claim(claim("two"))),
        Outcome::Granted,
        "the old claim was removed"
    );
}

#[test]
fn claim_once() {
    let mut log = Log::default();
    assert_eq!(log.apply(Event::Claim(claim("one"))), Outcome::Granted);
    assert_eq!(
        log.apply(Event::Claim(claim("one"))),
        Outcome::Granted,
        "the claimant's own retry is granted"
    );
    assert_eq!(log.apply(Event::Claim(claim("two"))), Outcome::Claimed);
    let other = Claim { fingerprint: vec![2], ..claim("two") };
    assert_eq!(log.apply(Event::Claim(other)), Outcome::Conflict);
    let finish = Finish { claim: claim("one"), status: 200, ..Finish::default() };
    log.apply(Event::Finish(finish));
    let record = log.records.len() as u64;
    assert_eq!(log.apply(Event::Claim(claim("two"))), Outcome::Finished(record));
    log.apply(Event::Release(claim("one")));
    assert_eq!(log.apply(Event::Claim(claim("two"))), Outcome::Finished(record));
}

#[test]
fn claim_released() {
    let mut log = Log::default();
    log.apply(Event::Claim(claim("one")));
    log.apply(Event::Release(claim("two")));
    assert_eq!(
        log.apply(Event::Claim(claim("two"))),
        Outcome::Claimed,
        "only the claimant can release its claim"
    );
    log.apply(Event::Release(claim("one")));
    assert_eq!(log.apply(Event::Claim(claim("two"))), Outcome::Granted);
}

#[test]
fn settle_loss_after_expiry() {
    let mut log = Log::default();
    log.seal("limpa", "a", 1, true);
    let first = log.lease(1)[0];
    log.apply(Event::Expire(Expire { attempts: vec![first] }));
    log.settle(first, AttemptOutcome::UpstreamLost);
    log.settle(first, AttemptOutcome::UpstreamLost);
    log.now_ms += 60_000;
    let second = log.lease(1);
    assert_eq!(second.len(), 1, "a loss that is reported twice counts once");
    log.settle(second[0], AttemptOutcome::UpstreamLost);
    log.now_ms += 60_000;
    assert!(log.lease(1).is_empty(), "a loss reported after the lease expired counts");
}

#[test]
fn lease_repeated_record() {
    let mut log = Log::default();
    log.seal("limpa", "a", 1, true);
    let attempts = log.state.pick(TARGET, 1, 0);
    let lease = Lease { worker: "entry".into(), attempts };
    assert!(
        matches!(log.apply(Event::Lease(lease.clone())), Outcome::Leased(grants) if grants.len() == 1)
    );
    let first = lease.attempts[0];
    log.settle(first, AttemptOutcome::NotSent);
    assert_eq!(
        log.apply(Event::Lease(lease)),
        Outcome::Leased(Vec::new()),
        "a repeated lease record grants nothing"
    );
}
