//! The member table, stored as one key of the configuration.
//!
//! A table lists the members over which majorities are counted. It also lists the names that it
//! added and removed, so that the previous table can be derived from it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::config::Cache;
use crate::id::{DataCentre, Vm};
use crate::view::Member;

/// Key of the member table, relative to the configuration's prefix.
pub const TABLE_KEY: &str = "members";
/// Prefix of the keys that each hold the description of one VM.
const VM_PREFIX: &str = "vm/";

/// Key of a VM's description, relative to the configuration's prefix.
pub fn vm_key(vm: &Vm) -> String {
    format!("{VM_PREFIX}{vm}")
}

/// The member table as stored in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique identifier of the write.
    pub write: String,
    /// Members with their data centre.
    pub members: BTreeMap<Vm, DataCentre>,
    /// Members that this table added.
    #[serde(default)]
    pub joined: BTreeSet<Vm>,
    /// Members that this table removed.
    #[serde(default)]
    pub left: BTreeSet<Vm>,
}

/// The member table as used in memory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Configuration version at which the table was written; 0 before the first table.
    pub version: u64,
    /// Members with their data centre.
    pub members: BTreeMap<Vm, DataCentre>,
    /// Members of the previous table.
    pub previous: BTreeSet<Vm>,
}

impl Table {
    /// Reads the table from a cache; an unreadable or missing table is empty.
    pub fn from_cache(cache: &Cache) -> Self {
        let Some(revision) = cache.get(TABLE_KEY) else { return Self::default() };
        let value = revision.value.as_deref().unwrap_or_default();
        let Ok(record) = serde_json::from_slice::<Record>(value) else { return Self::default() };
        let retained = record.members.keys().filter(|vm| !record.joined.contains(vm));
        let previous = retained.chain(&record.left).cloned().collect();
        Self { version: revision.version, members: record.members, previous }
    }

    /// The next table, or `None` if `members` is unchanged.
    pub fn next(&self, members: BTreeMap<Vm, DataCentre>, write: String) -> Option<Record> {
        if members.keys().eq(self.members.keys()) {
            return None;
        }
        let joined = members.keys().filter(|vm| !self.members.contains_key(*vm)).cloned();
        let left = self.members.keys().filter(|vm| !members.contains_key(*vm)).cloned();
        let (joined, left) = (joined.collect(), left.collect());
        Some(Record { write, members, joined, left })
    }

    /// Number of members that form a majority.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// The members of a table with their descriptions from the configuration.
pub fn read_members(cache: &Cache, table: &Table) -> BTreeMap<Vm, Member> {
    let read = |vm: &Vm| {
        let revision = cache.get(&vm_key(vm))?;
        serde_json::from_slice::<Description>(revision.value.as_deref()?).ok()
    };
    let described = table.members.keys().filter_map(|vm| Some((vm.clone(), read(vm)?.member)));
    described.collect()
}

/// Whether a VM has deregistered, which leaves a tombstone in place of its description.
pub fn is_deregistered(cache: &Cache, vm: &Vm) -> bool {
    cache.get(&vm_key(vm)).is_some_and(|revision| revision.value.is_none())
}

/// The stored description of one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Description {
    /// Unique identifier of the write.
    pub write: String,
    /// Address, role and state of the VM.
    pub member: Member,
}
