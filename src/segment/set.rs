//! Replica sets as the platform's service keeps them.

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// Fewest copies with which an entry may be acknowledged.
pub const MIN_COPIES: usize = 2;
/// Copies that a set grows to while enough data centres have stores.
pub const TARGET_COPIES: usize = 3;

/// One copy of a segment: a store's name and its disk's identity.
///
/// A store that lost its disk comes back with another identity and so is no
/// longer a member of any set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The store.
    pub vm: Vm,
    /// Identity of its disk.
    pub disk: u64,
}

/// Who keeps a segment, from one epoch to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSet {
    /// Rises with each change; zero before the set is created.
    pub epoch: u64,
    /// The replicas; the first is the primary.
    pub replicas: Vec<Replica>,
}

impl ReplicaSet {
    /// The replica that numbers entries.
    pub fn primary(&self) -> Option<&Replica> {
        self.replicas.first()
    }

    /// Whether `replica` is one of the set.
    pub fn contains(&self, replica: &Replica) -> bool {
        self.replicas.contains(replica)
    }

    /// The next set, without `lost`.
    pub fn without(&self, lost: &Replica) -> ReplicaSet {
        let replicas = self.replicas.iter().filter(|replica| *replica != lost).cloned().collect();
        ReplicaSet { epoch: self.epoch + 1, replicas }
    }

    /// The next set, with `joined` at its end.
    pub fn with(&self, joined: Replica) -> ReplicaSet {
        let mut replicas = self.replicas.clone();
        replicas.push(joined);
        ReplicaSet { epoch: self.epoch + 1, replicas }
    }
}
