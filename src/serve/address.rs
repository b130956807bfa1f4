//! Chooses the entry VMs that an answer to a request for addresses names.
//!
//! Callers pick one of the named addresses at random, so a VM's part of the callers is the
//! probability that an answer names it, divided by the number of names. Each answer draws
//! its own sample, with probabilities in proportion to weight. The sample is as large as
//! these probabilities allow: the heaviest VM is named always, or the sample has the
//! maximum size. Where that would name too few VMs for callers to find another one, the
//! heavy VMs are named always and their part is smaller than their weight.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

/// Maximum number of addresses in one response.
pub const MAX_ADDRESSES: usize = 64;
/// Number of addresses below which weights count less, so that callers have alternatives.
const MIN_ADDRESSES: usize = 4;
/// Weight of a VM whose entry holds none that is valid.
const MIN_WEIGHT: f64 = 0.01;

/// An entry VM that accepts callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Address for callers.
    pub address: SocketAddr,
    /// Capacity relative to other VMs.
    pub weight: f64,
}

impl Candidate {
    fn weight(&self) -> f64 {
        if self.weight.is_finite() { self.weight.max(MIN_WEIGHT) } else { MIN_WEIGHT }
    }
}

/// The addresses to name in one answer, each once; all of them if the weights are equal and
/// there are at most `MAX_ADDRESSES`.
pub fn choose<R>(candidates: &[Candidate], random: &mut R) -> Vec<SocketAddr>
where
    R: Rng,
{
    let mut candidates = candidates.to_vec();
    candidates.shuffle(random);
    let weights: Vec<f64> = candidates.iter().map(Candidate::weight).collect();
    let probabilities = probabilities(&weights, size(&weights));
    // Systematic sampling: the names are the candidates in whose stretch of the sum of
    // probabilities one of the points start, start + 1, start + 2 ... lies.
    let mut point: f64 = random.random();
    let mut sum = 0.0;
    let mut named = Vec::new();
    for (candidate, probability) in candidates.iter().zip(probabilities) {
        sum += probability;
        if probability >= 1.0 || point < sum {
            named.push(candidate.address);
            point += 1.0;
        }
    }
    named
}

/// Number of addresses in an answer.
fn size(weights: &[f64]) -> usize {
    let heaviest = weights.iter().copied().fold(MIN_WEIGHT, f64::max);
    // The sum of equal weights may be rounded to just below a multiple.
    let proportional = (weights.iter().sum::<f64>() / heaviest + 1e-6).floor() as usize;
    proportional.max(MIN_ADDRESSES).min(weights.len()).min(MAX_ADDRESSES)
}

/// Probability with which each candidate is named: in proportion to weight, at most one,
/// with the sum `size`.
fn probabilities(weights: &[f64], size: usize) -> Vec<f64> {
    let mut certain = vec![false; weights.len()];
    loop {
        let left = size.saturating_sub(certain.iter().filter(|certain| **certain).count());
        let open = weights.iter().zip(&certain).filter(|(_, certain)| !**certain);
        let sum: f64 = open.map(|(weight, _)| weight).sum();
        let factor = if sum > 0.0 { left as f64 / sum } else { 0.0 };
        let is_new = |index: usize| !certain[index] && weights[index] * factor >= 1.0 - 1e-9;
        let new: Vec<usize> = (0..weights.len()).filter(|index| is_new(*index)).collect();
        if new.is_empty() {
            let probability = |(weight, certain): (&f64, &bool)| {
                if *certain { 1.0 } else { weight * factor }
            };
            return weights.iter().zip(&certain).map(probability).collect();
        }
        new.into_iter().for_each(|index| certain[index] = true);
    }
}
