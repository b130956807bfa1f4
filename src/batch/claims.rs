//! Claims on requests that run at most once.

use std::collections::{BTreeMap, HashMap};

use super::outcome::Outcome;
use super::record;

#[derive(Clone, Debug)]
struct Held {
    fingerprint: Vec<u8>,
    claimant: String,
    made_ms: u64,
    claimed: u64,
    finished: Option<u64>,
}

/// The claims of a segment.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    held: HashMap<(String, String), Held>,
    /// The same by the record that made each, the oldest first.
    order: BTreeMap<u64, (String, String)>,
}

impl Claims {
    pub(super) fn claim(
        &mut self,
        seq: u64,
        claim: &record::Claim,
        now_ms: u64,
    ) -> (Outcome, Vec<u64>) {
        let Some(held) = self.held.get(&place(claim)) else {
            let held = Held {
                fingerprint: claim.fingerprint.clone(),
                claimant: claim.claimant.clone(),
                made_ms: now_ms,
                claimed: seq,
                finished: None,
            };
            self.held.insert(place(claim), held);
            self.order.insert(seq, place(claim));
            return (Outcome::Granted, Vec::new());
        };
        if held.fingerprint != claim.fingerprint {
            return (Outcome::Conflict, vec![seq]);
        }
        let outcome = match held.finished {
            Some(record) => Outcome::Finished(record),
            None if held.claimant == claim.claimant => Outcome::Granted,
            None => Outcome::Claimed,
        };
        (outcome, vec![seq])
    }

    pub(super) fn finish(&mut self, seq: u64, claim: &record::Claim) -> (Outcome, Vec<u64>) {
        let Some(held) = self.held.get_mut(&place(claim)) else {
            return (Outcome::NotFound, vec![seq]);
        };
        if held.claimant != claim.claimant || held.finished.is_some() {
            return (Outcome::Done, vec![seq]);
        }
        held.finished = Some(seq);
        (Outcome::Done, Vec::new())
    }

    /// Drops a claim that its claimant never used.
    pub(super) fn release(&mut self, claim: &record::Claim) -> (Outcome, Vec<u64>) {
        let Some(held) = self.held.get(&place(claim)) else { return (Outcome::Done, Vec::new()) };
        if held.claimant != claim.claimant || held.finished.is_some() {
            return (Outcome::Done, Vec::new());
        }
        let record = held.claimed;
        self.held.remove(&place(claim));
        self.order.remove(&record);
        (Outcome::Done, vec![record])
    }

    /// Drops claims made before `before_ms`; gives the records that held them.
    pub(super) fn sweep(&mut self, before_ms: u64) -> Vec<u64> {
        let mut dead = Vec::new();
        while self.oldest_ms().is_some_and(|made| made < before_ms) {
            let Some((record, place)) = self.order.pop_first() else { break };
            dead.push(record);
            dead.extend(self.held.remove(&place).and_then(|held| held.finished));
        }
        dead
    }

    pub(super) fn oldest_ms(&self) -> Option<u64> {
        let (_, place) = self.order.first_key_value()?;
        self.held.get(place).map(|held| held.made_ms)
    }
}

fn place(claim: &record::Claim) -> (String, String) {
    (claim.organisation.clone(), claim.idempotency_key.clone())
}
