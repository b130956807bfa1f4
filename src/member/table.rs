//! The table of members, one key of the configuration.
//!
//! A table names the members that majorities are counted over. It says which
//! names it added and removed, so that the one before it is known as well.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::config::Cache;
use crate::id::{DataCentre, Vm};
use crate::view::Member;

/// Key of the table, relative to the configuration's prefix.
pub const TABLE_KEY: &str = "members";
/// Prefix of the keys that describe one VM each.
const VM_PREFIX: &str = "vm/";

/// Key that describes a VM.
pub fn vm_key(vm: &Vm) -> String {
    format!("{VM_PREFIX}{vm}")
}

/// The table as stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Identifies the write.
    pub write: String,
    /// Members with their data centre.
    pub members: BTreeMap<Vm, DataCentre>,
    /// Names that this table added.
    #[serde(default)]
    pub joined: BTreeSet<Vm>,
    /// Names that this table removed.
    #[serde(default)]
    pub left: BTreeSet<Vm>,
}

/// The table as held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Version of the configuration that wrote it; zero before the first.
    pub version: u64,
    /// Members with their data centre.
    pub members: BTreeMap<Vm, DataCentre>,
    /// Names in the table before this one.
    pub previous: BTreeSet<Vm>,
}

impl Table {
    /// Reads the table that a cache holds.
    pub fn read(cache: &Cache) -> Self {
        let Some(held) = cache.get(TABLE_KEY) else { return Self::default() };
        let value = held.value.as_deref().unwrap_or_default();
        let Ok(stored) = serde_json::from_slice::<Stored>(value) else { return Self::default() };
        let kept = stored.members.keys().filter(|vm| !stored.joined.contains(vm));
        let previous = kept.chain(&stored.left).cloned().collect();
        Self { version: held.version, members: stored.members, previous }
    }

    /// The table that follows this one, if `members` differs.
    pub fn next(&self, members: BTreeMap<Vm, DataCentre>, write: String) -> Option<Stored> {
        if members.keys().eq(self.members.keys()) {
            return None;
        }
        let joined = members.keys().filter(|vm| !self.members.contains_key(*vm)).cloned();
        let left = self.members.keys().filter(|vm| !members.contains_key(*vm)).cloned();
        let (joined, left) = (joined.collect(), left.collect());
        Some(Stored { write, members, joined, left })
    }

    /// Members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// The members of a table with what the configuration says about each.
pub fn describe(cache: &Cache, table: &Table) -> BTreeMap<Vm, Member> {
    let read = |vm: &Vm| {
        let held = cache.get(&vm_key(vm))?;
        serde_json::from_slice::<Description>(held.value.as_deref()?).ok()
    };
    let described = table.members.keys().filter_map(|vm| Some((vm.clone(), read(vm)?.member)));
    described.collect()
}

/// Whether a VM has declared that it is gone for good.
pub fn has_departed(cache: &Cache, vm: &Vm) -> bool {
    cache.get(&vm_key(vm)).is_some_and(|held| held.value.is_none())
}

/// What is stored about one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Description {
    /// Identifies the write.
    pub write: String,
    /// The VM.
    pub member: Member,
}
