//! Load balancing by the power of two choices, weighted by load, health and
//! prefix affinity.
//!
//! Two upstreams with free slots are sampled at random, plus one that has the
//! prompt's prefix cached. The candidate with the lowest score is chosen; a
//! cached prefix lowers the score by a fraction of the capacity. Ejected
//! upstreams are used only if no other upstream has a free slot: a request
//! that is refused there is retried elsewhere.

use std::collections::HashMap;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::{Affinity, CacheEvent, Health, Load, Report, subset};
use crate::admission::{Pick, Ticket};
use crate::clock::Time;
use crate::id::{Upstream, Vm};
use crate::view::Shared;

/// Maximum number of upstreams with free slots that a VM considers per choice.
const SUBSET: usize = 32;
/// Number of upstreams sampled at random per choice.
const CHOICES: usize = 2;
/// Score bonus of a cached prefix, in thousandths of the upstream's capacity.
const AFFINITY_MILLI: u64 = 250;
/// Score penalty of an upstream in another data centre, in thousandths of its capacity.
const DISTANCE_MILLI: u64 = 50;

#[derive(Debug, Default)]
struct UpstreamState {
    load: Load,
    health: Health,
}

#[derive(Debug)]
struct State {
    upstreams: HashMap<Upstream, UpstreamState>,
    affinity: Affinity,
    rng: ChaCha8Rng,
}

/// Load balancer of one VM.
#[derive(Debug)]
pub struct Balancer {
    vm: Vm,
    shared: Shared,
    state: Mutex<State>,
}

impl Balancer {
    /// Creates a balancer without any upstream state; `seed` seeds the random sampling.
    pub fn new(vm: Vm, shared: Shared, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let state = State { upstreams: HashMap::new(), affinity: Affinity::default(), rng };
        Self { vm, shared, state: Mutex::new(state) }
    }

    /// Records that a request was sent to the upstream.
    pub fn started(&self, upstream: &Upstream) {
        self.state.lock().upstream_state(upstream).load.started();
    }

    /// Records that a request at the upstream ended.
    pub fn ended(&self, upstream: &Upstream) {
        self.state.lock().upstream_state(upstream).load.ended();
    }

    /// Records a complete response.
    pub fn succeeded(&self, upstream: &Upstream, now: Time) {
        self.state.lock().upstream_state(upstream).health.succeeded(now);
    }

    /// Records an invalid response or an error response.
    pub fn failed(&self, upstream: &Upstream, now: Time) {
        self.state.lock().upstream_state(upstream).health.failed(now);
    }

    /// Records a refused or broken connection: ejects the upstream and drops its
    /// cache entries, because a restart empties the cache.
    pub fn connection_failed(&self, upstream: &Upstream, now: Time) {
        let mut state = self.state.lock();
        state.upstream_state(upstream).health.eject(now);
        state.affinity.forget(upstream);
    }

    /// Records a load report of the upstream.
    pub fn record_load(&self, upstream: &Upstream, report: Report) {
        self.state.lock().upstream_state(upstream).load.report(report);
    }

    /// Records a cache event of the upstream.
    pub fn record_cache_event(&self, upstream: &Upstream, event: CacheEvent) {
        self.state.lock().affinity.apply(upstream, event);
    }

    /// Sequence number of the last cache event recorded for the upstream.
    pub fn cache_sequence(&self, upstream: &Upstream) -> u64 {
        self.state.lock().affinity.sequence(upstream)
    }

    /// Drops the state of upstreams for which `keep` returns false, except
    /// those with requests in flight.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&Upstream) -> bool,
    {
        let mut state = self.state.lock();
        let now = Time::NEVER;
        let removed: Vec<Upstream> = state
            .upstreams
            .iter()
            .filter(|(name, upstream_state)| !keep(name) && upstream_state.load.milli(now) == 0)
            .map(|(name, _)| name.clone())
            .collect();
        for upstream in removed {
            state.upstreams.remove(&upstream);
            state.affinity.forget(&upstream);
        }
    }

    /// Load in millionths of the capacity, fine enough to order nearly equal upstreams.
    fn score(&self, state: &State, upstream: &Upstream, ticket: &Ticket, now: Time) -> u64 {
        let view = self.shared.load();
        let spec = view.upstreams.get(upstream).map(|upstream| &upstream.spec);
        let capacity = spec.map_or(1, |spec| u64::from(spec.capacity.max(1)));
        let upstream_state = state.upstreams.get(upstream);
        let load = upstream_state.map_or(0, |upstream_state| upstream_state.load.milli(now));
        let weight = upstream_state
            .map_or(1_000, |upstream_state| upstream_state.health.weight_milli(now))
            .max(1);
        let own_data_centre = view.members.get(&self.vm).map(|member| &member.data_centre);
        let remote =
            own_data_centre.is_some() && spec.map(|spec| &spec.data_centre) != own_data_centre;
        let cached = ticket.prefix.is_some_and(|prefix| state.affinity.holds(upstream, prefix));
        let utilization = (load + 1_000) * 1_000 / capacity * 1_000 / weight;
        let penalty = if remote { DISTANCE_MILLI * 1_000 } else { 0 };
        let bonus = if cached { AFFINITY_MILLI * 1_000 } else { 0 };
        (utilization + penalty + AFFINITY_MILLI * 1_000).saturating_sub(bonus)
    }

    fn sample<'a>(
        &self,
        state: &mut State,
        ticket: &Ticket,
        candidates: &[&'a Upstream],
    ) -> Vec<&'a Upstream> {
        let mut sampled: Vec<&Upstream> =
            candidates.choose_multiple(&mut state.rng, CHOICES).copied().collect();
        let Some(prefix) = ticket.prefix else { return sampled };
        let holder = candidates.iter().find(|upstream| state.affinity.holds(upstream, prefix));
        sampled.extend(holder);
        sampled
    }
}

impl State {
    fn upstream_state(&mut self, upstream: &Upstream) -> &mut UpstreamState {
        self.upstreams.entry(upstream.clone()).or_default()
    }

    fn ejected(&self, upstream: &Upstream, now: Time) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|upstream_state| upstream_state.health.ejected(now))
    }
}

impl Pick for Balancer {
    fn pick(&self, ticket: &Ticket, free: &[Upstream], now: Time) -> Option<Upstream> {
        let mut state = self.state.lock();
        let allowed: Vec<Upstream> =
            free.iter().filter(|upstream| !ticket.excluded.contains(upstream)).cloned().collect();
        let mut candidates = subset(&self.vm, &allowed, SUBSET);
        let healthy: Vec<&Upstream> =
            candidates.iter().filter(|upstream| !state.ejected(upstream, now)).copied().collect();
        if !healthy.is_empty() {
            candidates = healthy;
        }
        let sampled = self.sample(&mut state, ticket, &candidates);
        let best = sampled
            .into_iter()
            .min_by_key(|upstream| self.score(&state, upstream, ticket, now))?
            .clone();
        state.upstream_state(&best).load.chosen(now);
        assert!(!ticket.excluded.contains(&best), "the balancer chose an excluded upstream");
        Some(best)
    }
}
