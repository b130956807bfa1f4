//! Claims on requests that run at most once.

use std::collections::HashMap;

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
        (Outcome::Done, vec![record])
    }

    /// Drops claims made before `before_ms`; gives the records that held them.
    pub(super) fn sweep(&mut self, before_ms: u64) -> Vec<u64> {
        let mut dead = Vec::new();
        self.held.retain(|_, held| {
            if held.made_ms >= before_ms {
                return true;
            }
            dead.push(held.claimed);
            dead.extend(held.finished);
            false
        });
        dead.sort_unstable();
        dead
    }

    pub(super) fn oldest_ms(&self) -> Option<u64> {
        self.held.values().map(|held| held.made_ms).min()
    }
}

fn place(claim: &record::Claim) -> (String, String) {
    (claim.organisation.clone(), claim.idempotency_key.clone())
}
