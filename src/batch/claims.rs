//! Replicated state of claims on requests that run at most once.

use std::collections::{BTreeMap, HashMap};

use super::outcome::Outcome;
use super::record;

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Vec<u8>,
    claimant: String,
    created_ms: u64,
    claim_record: u64,
    finish_record: Option<u64>,
}

/// The claims of a segment.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    entries: HashMap<(String, String), Entry>,
    /// Key of each claim by the record that made it, oldest first.
    by_record: BTreeMap<u64, (String, String)>,
}

impl Claims {
    pub(super) fn claim(
        &mut self,
        seq: u64,
        claim: &record::Claim,
        now_ms: u64,
    ) -> (Outcome, Vec<u64>) {
        let Some(entry) = self.entries.get(&claim_key(claim)) else {
            let entry = Entry {
                fingerprint: claim.fingerprint.clone(),
                claimant: claim.claimant.clone(),
                created_ms: now_ms,
                claim_record: seq,
                finish_record: None,
            };
            self.entries.insert(claim_key(claim), entry);
            self.by_record.insert(seq, claim_key(claim));
            return (Outcome::Granted, Vec::new());
        };
        if entry.fingerprint != claim.fingerprint {
            return (Outcome::Conflict, vec![seq]);
        }
        let outcome = match entry.finish_record {
            Some(record) => Outcome::Finished(record),
            None if entry.claimant == claim.claimant => Outcome::Granted,
            None => Outcome::Claimed,
        };
        (outcome, vec![seq])
    }

    pub(super) fn finish(&mut self, seq: u64, claim: &record::Claim) -> (Outcome, Vec<u64>) {
        let Some(entry) = self.entries.get_mut(&claim_key(claim)) else {
            return (Outcome::NotFound, vec![seq]);
        };
        if entry.claimant != claim.claimant || entry.finish_record.is_some() {
            return (Outcome::Done, vec![seq]);
        }
        entry.finish_record = Some(seq);
        (Outcome::Done, Vec::new())
    }

    /// Removes a claim whose request its claimant did not send.
    pub(super) fn release(&mut self, claim: &record::Claim) -> (Outcome, Vec<u64>) {
        let Some(entry) = self.entries.get(&claim_key(claim)) else {
            return (Outcome::Done, Vec::new());
        };
        if entry.claimant != claim.claimant || entry.finish_record.is_some() {
            return (Outcome::Done, Vec::new());
        }
        let record = entry.claim_record;
        self.entries.remove(&claim_key(claim));
        self.by_record.remove(&record);
        (Outcome::Done, vec![record])
    }

    /// Removes claims made before `before_ms`; returns the records that
    /// made and finished them.
    pub(super) fn sweep(&mut self, before_ms: u64) -> Vec<u64> {
        let mut obsolete = Vec::new();
        while self.oldest_ms().is_some_and(|created_ms| created_ms < before_ms) {
            let Some((record, key)) = self.by_record.pop_first() else { break };
            obsolete.push(record);
            obsolete.extend(self.entries.remove(&key).and_then(|entry| entry.finish_record));
        }
        obsolete
    }

    pub(super) fn oldest_ms(&self) -> Option<u64> {
        let (_, key) = self.by_record.first_key_value()?;
        self.entries.get(key).map(|entry| entry.created_ms)
    }
}

fn claim_key(claim: &record::Claim) -> (String, String) {
    (claim.organisation.clone(), claim.idempotency_key.clone())
}
