//! Rendezvous hashing: every VM computes the same owner without communication.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Score of `candidate` for `item`; the candidate with the highest score owns the item.
pub fn score<I, C>(item: &I, candidate: &C) -> u64
where
    I: Hash + ?Sized,
    C: Hash + ?Sized,
{
    let mut hasher = SipHasher13::new();
    item.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// The candidates in descending order of their score for `item`.
pub fn order<I, C, L>(item: &I, candidates: L) -> Vec<C>
where
    I: Hash + ?Sized,
    C: Hash + Ord,
    L: IntoIterator<Item = C>,
{
    let mut ranked: Vec<(u64, C)> =
        candidates.into_iter().map(|candidate| (score(item, &candidate), candidate)).collect();
    ranked.sort_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
