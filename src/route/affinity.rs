//! Which upstreams hold a prompt's prefix in their cache.
//!
//! Cache events come late and with gaps. After a gap an eviction may have
//! been missed, so everything known of that upstream is dropped; a wrong
//! guess costs time, never an answer.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::id::Upstream;

/// Prefixes remembered of one upstream.
const MAX_PREFIXES: usize = 4_096;

key! {
    /// What happened to a prefix.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum CacheKind {
        /// It is cached now.
        Stored,
        /// It is cached no longer.
        Evicted,
    }

    /// One cache event of an upstream.
    pub struct CacheEvent {
        /// Rises by one with each event.
        pub sequence: u64,
        /// What happened.
        pub kind: CacheKind,
        /// Hash of the prefix.
        pub prefix: u64,
    }
}

#[derive(Clone, Debug, Default)]
struct Cache {
    sequence: u64,
    order: VecDeque<u64>,
}

/// Caches of all upstreams, as far as known.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    caches: BTreeMap<Upstream, Cache>,
    holders: HashMap<u64, BTreeSet<Upstream>>,
}

impl Affinity {
    /// Takes in an event.
    pub fn apply(&mut self, upstream: &Upstream, event: CacheEvent) {
        let known = self.sequence(upstream);
        if event.sequence <= known {
            return;
        }
        if known > 0 && event.sequence > known + 1 {
            self.forget(upstream);
        }
        let cache = self.caches.entry(upstream.clone()).or_default();
        cache.sequence = event.sequence;
        self.drop_prefix(upstream, event.prefix);
        if event.kind == CacheKind::Stored {
            self.add(upstream, event.prefix);
        }
    }

    /// Sequence of the last event taken in.
    pub fn sequence(&self, upstream: &Upstream) -> u64 {
        self.caches.get(upstream).map_or(0, |cache| cache.sequence)
    }

    /// Drops all that is known of an upstream.
    pub fn forget(&mut self, upstream: &Upstream) {
        let Some(cache) = self.caches.remove(upstream) else { return };
        for prefix in cache.order {
            self.drop_holder(upstream, prefix);
        }
    }

    /// Whether the upstream is thought to hold the prefix.
    pub fn holds(&self, upstream: &Upstream, prefix: u64) -> bool {
        self.holders.get(&prefix).is_some_and(|holders| holders.contains(upstream))
    }

    fn add(&mut self, upstream: &Upstream, prefix: u64) {
        let Some(cache) = self.caches.get_mut(upstream) else { return };
        cache.order.push_back(prefix);
        let oldest = (cache.order.len() > MAX_PREFIXES).then(|| cache.order.pop_front()).flatten();
        self.holders.entry(prefix).or_default().insert(upstream.clone());
        if let Some(oldest) = oldest {
            self.drop_holder(upstream, oldest);
        }
    }

    fn drop_prefix(&mut self, upstream: &Upstream, prefix: u64) {
        if !self.holds(upstream, prefix) {
            return;
        }
        if let Some(cache) = self.caches.get_mut(upstream) {
            cache.order.retain(|one| *one != prefix);
        }
        self.drop_holder(upstream, prefix);
    }

    fn drop_holder(&mut self, upstream: &Upstream, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.remove(upstream);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}
