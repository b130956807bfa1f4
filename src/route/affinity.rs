//! Tracks which upstreams have a prompt's prefix in their cache.
//!
//! Cache events can arrive late and with gaps. A gap may hide an eviction, so
//! all entries of that upstream are dropped when a gap is detected. A stale
//! entry makes a request slower but never changes its answer.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::id::Upstream;

/// Maximum number of prefixes tracked per upstream; the oldest is evicted first.
const MAX_PREFIXES: usize = 4_096;

key! {
    /// Kind of a cache event.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum CacheKind {
        /// The prefix was added to the cache.
        Stored,
        /// The prefix was evicted from the cache.
        Evicted,
    }

    /// A cache event reported by an upstream.
    pub struct CacheEvent {
        /// Sequence number, incremented by one for each event of the upstream.
        pub sequence: u64,
        /// Whether the prefix was stored or evicted.
        pub kind: CacheKind,
        /// Hash of the prompt prefix.
        pub prefix: u64,
    }
}

#[derive(Clone, Debug, Default)]
struct Cache {
    sequence: u64,
    order: VecDeque<u64>,
}

/// Known cache contents of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    caches: BTreeMap<Upstream, Cache>,
    holders: HashMap<u64, BTreeSet<Upstream>>,
}

impl Affinity {
    /// Applies a cache event; events that are not newer than the last one are ignored.
    pub fn apply(&mut self, upstream: &Upstream, event: CacheEvent) {
        let last_sequence = self.sequence(upstream);
        if event.sequence <= last_sequence {
            return;
        }
        if last_sequence > 0 && event.sequence > last_sequence + 1 {
            self.forget(upstream);
        }
        let cache = self.caches.entry(upstream.clone()).or_default();
        cache.sequence = event.sequence;
        self.remove_prefix(upstream, event.prefix);
        if event.kind == CacheKind::Stored {
            self.add(upstream, event.prefix);
        }
    }

    /// Sequence number of the last event applied, or 0 if there is none.
    pub fn sequence(&self, upstream: &Upstream) -> u64 {
        self.caches.get(upstream).map_or(0, |cache| cache.sequence)
    }

    /// Drops all entries of an upstream.
    pub fn forget(&mut self, upstream: &Upstream) {
        let Some(cache) = self.caches.remove(upstream) else { return };
        for prefix in cache.order {
            self.remove_holder(upstream, prefix);
        }
    }

    /// Whether the upstream is believed to have the prefix cached.
    pub fn holds(&self, upstream: &Upstream, prefix: u64) -> bool {
        self.holders.get(&prefix).is_some_and(|holders| holders.contains(upstream))
    }

    fn add(&mut self, upstream: &Upstream, prefix: u64) {
        let Some(cache) = self.caches.get_mut(upstream) else { return };
        cache.order.push_back(prefix);
        let oldest = (cache.order.len() > MAX_PREFIXES).then(|| cache.order.pop_front()).flatten();
        self.holders.entry(prefix).or_default().insert(upstream.clone());
        if let Some(oldest) = oldest {
            self.remove_holder(upstream, oldest);
        }
    }

    fn remove_prefix(&mut self, upstream: &Upstream, prefix: u64) {
        if !self.holds(upstream, prefix) {
            return;
        }
        if let Some(cache) = self.caches.get_mut(upstream) {
            cache.order.retain(|cached| *cached != prefix);
        }
        self.remove_holder(upstream, prefix);
    }

    fn remove_holder(&mut self, upstream: &Upstream, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.remove(upstream);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}
