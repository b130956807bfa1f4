//! A VM's local copy of the configuration.
//!
//! A cache is complete up to its version: it holds the last write of every key at or before that
//! version. It advances only by a `Delta` that begins at or before its version and ends after it,
//! so no state is ever skipped or reverted.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use bytes::Bytes;

/// Maximum number of tombstones, which are kept so that watches can report deletions.
const MAX_TOMBSTONES: usize = 4_096;

/// The last write of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Configuration version of the write.
    pub version: u64,
    /// Value of the key; `None` once deleted.
    pub value: Option<Bytes>,
}

/// A key and its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Name of the key, relative to the configuration's prefix.
    pub key: String,
    /// The last write of the key.
    pub revision: Revision,
}

/// The last write of each key written after `from`, up to `to`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Version that the delta builds on; 0 for a snapshot of the whole configuration.
    pub from: u64,
    /// Version that the delta leads to.
    pub to: u64,
    /// Version up to which tombstones may have been discarded.
    pub floor: u64,
    /// The writes, in order of version.
    pub items: Vec<Item>,
}

/// Result of applying a delta to a cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The cache already holds the delta's version or a later one.
    Unchanged,
    /// The delta builds on a version that the cache doesn't hold yet.
    Gap,
    /// The delta was applied and changed these keys.
    Changed(Vec<Item>),
}

/// A VM's local copy of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    version: u64,
    floor: u64,
    items: BTreeMap<String, Revision>,
    by_version: BTreeSet<(u64, String)>,
    tombstones: BTreeSet<(u64, String)>,
}

impl Cache {
    /// Version up to which the cache is complete.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The last write of a key.
    pub fn get(&self, key: &str) -> Option<&Revision> {
        self.items.get(key)
    }

    /// All keys that aren't deleted, in order of key.
    pub fn live(&self) -> impl Iterator<Item = (&str, u64, &Bytes)> {
        self.items.iter().filter_map(|(key, revision)| {
            revision.value.as_ref().map(|value| (key.as_str(), revision.version, value))
        })
    }

    /// The writes after `version`, or a snapshot if tombstones since then may have been discarded.
    pub fn delta_since(&self, version: u64) -> Delta {
        let from = if version < self.floor { 0 } else { version };
        Delta { from, to: self.version, floor: self.floor, items: self.items_since(from) }
    }

    /// The writes after `version`; `None` if tombstones since then may have been discarded.
    pub fn changes_since(&self, version: u64) -> Option<Vec<Item>> {
        (version >= self.floor).then(|| self.items_since(version))
    }

    fn items_since(&self, version: u64) -> Vec<Item> {
        let later = self.by_version.range((version + 1, String::new())..);
        let item = |key: &String| Item { key: key.clone(), revision: self.items[key].clone() };
        later.map(|(_, key)| item(key)).collect()
    }

    /// Applies a delta if it leads to a later version.
    pub fn apply(&mut self, delta: Delta) -> Outcome {
        if delta.to <= self.version {
            return Outcome::Unchanged;
        }
        if delta.from > self.version {
            return Outcome::Gap;
        }
        let previous_version = self.version;
        let deleted = if delta.from == 0 { self.deletions(&delta) } else { Vec::new() };
        self.floor = self.floor.max(delta.floor);
        let mut changed = Vec::new();
        for item in delta.items.into_iter().chain(deleted) {
            if self.put(&item) {
                changed.push(item);
            }
        }
        self.version = delta.to;
        self.prune();
        assert!(self.version > previous_version, "configuration version must increase");
        Outcome::Changed(changed)
    }

    /// Keys that a snapshot no longer contains, as deletions at its version.
    fn deletions(&self, delta: &Delta) -> Vec<Item> {
        let present: HashSet<&str> = delta.items.iter().map(|item| item.key.as_str()).collect();
        let deleted = self
            .items
            .iter()
            .filter(|(key, revision)| revision.value.is_some() && !present.contains(key.as_str()));
        let revision = Revision { version: delta.to, value: None };
        deleted.map(|(key, _)| Item { key: key.clone(), revision: revision.clone() }).collect()
    }

    fn put(&mut self, item: &Item) -> bool {
        let old = self.items.get(&item.key).map(|revision| revision.version);
        if old.is_some_and(|version| version >= item.revision.version) {
            return false;
        }
        if let Some(version) = old {
            let entry = (version, item.key.clone());
            self.by_version.remove(&entry);
            self.tombstones.remove(&entry);
        }
        let entry = (item.revision.version, item.key.clone());
        self.items.insert(item.key.clone(), item.revision.clone());
        if item.revision.value.is_none() {
            self.tombstones.insert(entry.clone());
        }
        self.by_version.insert(entry);
        true
    }

    fn prune(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(entry) = self.tombstones.pop_first() else { return };
            self.by_version.remove(&entry);
            self.items.remove(&entry.1);
            self.floor = self.floor.max(entry.0);
        }
    }
}
