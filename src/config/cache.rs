//! What one VM holds of the configuration.
//!
//! A cache is complete up to its version: it knows the last write of every
//! key at or before it. It moves on only by a `Delta` that begins at or before
//! that version and ends after it, so no state is ever skipped or reverted.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use bytes::Bytes;

/// Tombstones that are kept, so that watches can be told of deletions.
const MAX_TOMBSTONES: usize = 4_096;

/// A key's last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Version of the write.
    pub version: u64,
    /// Its value; none once deleted.
    pub value: Option<Bytes>,
}

/// A key with its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key, relative to the configuration's prefix.
    pub key: String,
    /// Its last write.
    pub revision: Revision,
}

/// The last write of each key written after `from`, up to `to`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Version that it builds on; zero makes it a whole state.
    pub from: u64,
    /// Version that it leads to.
    pub to: u64,
    /// Version up to which tombstones may be missing.
    pub floor: u64,
    /// The writes, by version.
    pub items: Vec<Item>,
}

/// What a delta did to a cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// Nothing: the cache holds this version or a later one.
    Known,
    /// It builds on a version that the cache doesn't hold yet.
    Gap,
    /// The cache moved on; these keys changed.
    Changed(Vec<Item>),
}

/// What one VM holds of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    version: u64,
    floor: u64,
    items: BTreeMap<String, Revision>,
    order: BTreeSet<(u64, String)>,
    tombstones: BTreeSet<(u64, String)>,
}

impl Cache {
    /// Version up to which the cache is complete.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A key's last write.
    pub fn get(&self, key: &str) -> Option<&Revision> {
        self.items.get(key)
    }

    /// Every key that exists, in order.
    pub fn live(&self) -> impl Iterator<Item = (&str, u64, &Bytes)> {
        self.items.iter().filter_map(|(key, held)| {
            held.value.as_ref().map(|value| (key.as_str(), held.version, value))
        })
    }

    /// The writes after `version`, or the whole state where that is too old.
    pub fn delta(&self, version: u64) -> Delta {
        let from = if version < self.floor { 0 } else { version };
        Delta { from, to: self.version, floor: self.floor, items: self.after(from) }
    }

    /// The writes after `version`; none when tombstones may be missing.
    pub fn changes(&self, version: u64) -> Option<Vec<Item>> {
        (version >= self.floor).then(|| self.after(version))
    }

    fn after(&self, version: u64) -> Vec<Item> {
        let later = self.order.range((version + 1, String::new())..);
        let item = |key: &String| Item { key: key.clone(), revision: self.items[key].clone() };
        later.map(|(_, key)| item(key)).collect()
    }

    /// Moves on by a delta, if it leads further.
    pub fn adopt(&mut self, delta: Delta) -> Adopted {
        if delta.to <= self.version {
            return Adopted::Known;
        }
        if delta.from > self.version {
            return Adopted::Gap;
        }
        let before = self.version;
        let gone = if delta.from == 0 { self.missing(&delta) } else { Vec::new() };
        self.floor = self.floor.max(delta.floor);
        let mut changed = Vec::new();
        for item in delta.items.into_iter().chain(gone) {
            if self.put(&item) {
                changed.push(item);
            }
        }
        self.version = delta.to;
        self.prune();
        assert!(self.version > before, "a configuration version only rises");
        Adopted::Changed(changed)
    }

    /// Keys that a whole state no longer has, as deleted at its version.
    fn missing(&self, delta: &Delta) -> Vec<Item> {
        let has: HashSet<&str> = delta.items.iter().map(|item| item.key.as_str()).collect();
        let gone = self
            .items
            .iter()
            .filter(|(key, held)| held.value.is_some() && !has.contains(key.as_str()));
        let held = Revision { version: delta.to, value: None };
        gone.map(|(key, _)| Item { key: key.clone(), revision: held.clone() }).collect()
    }

    fn put(&mut self, item: &Item) -> bool {
        let old = self.items.get(&item.key).map(|held| held.version);
        if old.is_some_and(|version| version >= item.revision.version) {
            return false;
        }
        if let Some(version) = old {
            let place = (version, item.key.clone());
            self.order.remove(&place);
            self.tombstones.remove(&place);
        }
        let place = (item.revision.version, item.key.clone());
        self.items.insert(item.key.clone(), item.revision.clone());
        if item.revision.value.is_none() {
            self.tombstones.insert(place.clone());
        }
        self.order.insert(place);
        true
    }

    fn prune(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(place) = self.tombstones.pop_first() else { return };
            self.order.remove(&place);
            self.items.remove(&place.1);
            self.floor = self.floor.max(place.0);
        }
    }
}
