//! Power of two choices, weighed by load, health and cached prefixes.
//!
//! Two upstreams with room are drawn at random, and with them one that holds
//! the prompt's prefix; the least busy is taken, a cached prefix being worth a
//! part of the capacity. Ejected upstreams are taken only when no other has
//! room: a request that is refused there goes elsewhere.

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

/// Upstreams of one target that a VM uses, when more have room.
const SUBSET: usize = 32;
/// Upstreams drawn for each choice.
const CHOICES: usize = 2;
/// Part of an upstream's capacity that a cached prefix is worth, in thousandths.
const AFFINITY_MILLI: u64 = 250;
/// Part of its capacity that another data centre costs, in thousandths.
const DISTANCE_MILLI: u64 = 50;

#[derive(Debug, Default)]
struct Node {
    load: Load,
    health: Health,
}

#[derive(Debug)]
struct State {
    nodes: HashMap<Upstream, Node>,
    affinity: Affinity,
    generator: ChaCha8Rng,
}

/// Chooses upstreams for one VM.
#[derive(Debug)]
pub struct Balancer {
    vm: Vm,
    shared: Shared,
    state: Mutex<State>,
}

impl Balancer {
    /// Knows nothing yet; `seed` steers the draws.
    pub fn new(vm: Vm, shared: Shared, seed: u64) -> Self {
        let generator = ChaCha8Rng::seed_from_u64(seed);
        let state = State { nodes: HashMap::new(), affinity: Affinity::default(), generator };
        Self { vm, shared, state: Mutex::new(state) }
    }

    /// Notes a send.
    pub fn started(&self, upstream: &Upstream) {
        self.state.lock().node(upstream).load.started();
    }

    /// Notes the end of a send.
    pub fn ended(&self, upstream: &Upstream) {
        self.state.lock().node(upstream).load.ended();
    }

    /// Notes a whole answer.
    pub fn succeeded(&self, upstream: &Upstream, now: Time) {
        self.state.lock().node(upstream).health.succeeded(now);
    }

    /// Notes a wrong answer.
    pub fn failed(&self, upstream: &Upstream, now: Time) {
        self.state.lock().node(upstream).health.failed(now);
    }

    /// Notes a refused or broken connection; the upstream's cache is lost too.
    pub fn connection_failed(&self, upstream: &Upstream, now: Time) {
        let mut state = self.state.lock();
        state.node(upstream).health.eject(now);
        state.affinity.forget(upstream);
    }

    /// Takes in a load report.
    pub fn record_load(&self, upstream: &Upstream, report: Report) {
        self.state.lock().node(upstream).load.report(report);
    }

    /// Takes in a cache event.
    pub fn record_cache_event(&self, upstream: &Upstream, event: CacheEvent) {
        self.state.lock().affinity.apply(upstream, event);
    }

    /// Sequence of the last cache event taken in.
    pub fn cache_sequence(&self, upstream: &Upstream) -> u64 {
        self.state.lock().affinity.sequence(upstream)
    }

    /// Drops what is known of upstreams that `keep` doesn't want, but for
    /// those with sends under way.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&Upstream) -> bool,
    {
        let mut state = self.state.lock();
        let now = Time::NEVER;
        let gone: Vec<Upstream> = state
            .nodes
            .iter()
            .filter(|(name, node)| !keep(name) && node.load.milli(now) == 0)
            .map(|(name, _)| name.clone())
            .collect();
        for upstream in gone {
            state.nodes.remove(&upstream);
            state.affinity.forget(&upstream);
        }
    }

    /// Load in millionths of capacity, so that small differences count.
    fn score(&self, state: &State, upstream: &Upstream, ticket: &Ticket, now: Time) -> u64 {
        let view = self.shared.load();
        let spec = view.upstreams.get(upstream).map(|upstream| &upstream.spec);
        let capacity = spec.map_or(1, |spec| u64::from(spec.capacity.max(1)));
        let node = state.nodes.get(upstream);
        let load = node.map_or(0, |node| node.load.milli(now));
        let weight = node.map_or(1_000, |node| node.health.weight_milli(now)).max(1);
        let own = view.members.get(&self.vm).map(|member| &member.data_centre);
        let far = own.is_some() && spec.map(|spec| &spec.data_centre) != own;
        let cached = ticket.prefix.is_some_and(|prefix| state.affinity.holds(upstream, prefix));
        let busy = (load + 1_000) * 1_000 / capacity * 1_000 / weight;
        let distance = if far { DISTANCE_MILLI * 1_000 } else { 0 };
        let saved = if cached { AFFINITY_MILLI * 1_000 } else { 0 };
        (busy + distance + AFFINITY_MILLI * 1_000).saturating_sub(saved)
    }

    fn draw<'a>(
        &self,
        state: &mut State,
        ticket: &Ticket,
        usable: &[&'a Upstream],
    ) -> Vec<&'a Upstream> {
        let mut drawn: Vec<&Upstream> =
            usable.choose_multiple(&mut state.generator, CHOICES).copied().collect();
        let Some(prefix) = ticket.prefix else { return drawn };
        let holder = usable.iter().find(|upstream| state.affinity.holds(upstream, prefix));
        drawn.extend(holder);
        drawn
    }
}

impl State {
    fn node(&mut self, upstream: &Upstream) -> &mut Node {
        self.nodes.entry(upstream.clone()).or_default()
    }

    fn ejected(&self, upstream: &Upstream, now: Time) -> bool {
        self.nodes.get(upstream).is_some_and(|node| node.health.ejected(now))
    }
}

impl Pick for Balancer {
    fn pick(&self, ticket: &Ticket, free: &[Upstream], now: Time) -> Option<Upstream> {
        let mut state = self.state.lock();
        let allowed: Vec<Upstream> =
            free.iter().filter(|upstream| !ticket.excluded.contains(upstream)).cloned().collect();
        let mut usable = subset(&self.vm, &allowed, SUBSET);
        let healthy: Vec<&Upstream> =
            usable.iter().filter(|upstream| !state.ejected(upstream, now)).copied().collect();
        if !healthy.is_empty() {
            usable = healthy;
        }
        let drawn = self.draw(&mut state, ticket, &usable);
        let best = drawn
            .into_iter()
            .min_by_key(|upstream| self.score(&state, upstream, ticket, now))?
            .clone();
        state.node(&best).load.chosen(now);
        assert!(!ticket.excluded.contains(&best), "an excluded upstream was chosen");
        Some(best)
    }
}
