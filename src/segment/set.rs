//! Replica sets, in the form stored in the platform's service.

use serde::{Deserialize, Serialize};

use crate::id::Vm;

/// Minimum number of replicas for entries to be acknowledged.
pub const MIN_COPIES: usize = 2;
/// Number of replicas that a set grows to while enough data centres have stores.
pub const TARGET_COPIES: usize = 3;

/// One copy of a segment, identified by the store's name and its disk.
///
/// A store that lost its disk restarts with a new disk identity and is
/// therefore no longer a member of any replica set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Name of the store's VM.
    pub vm: Vm,
    /// Random identity of the store's disk.
    pub disk: u64,
}

/// The replicas of a segment during one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSet {
    /// Incremented with each change; 0 before the set is created.
    pub epoch: u64,
    /// Members of the set; the first is the primary.
    pub replicas: Vec<Replica>,
}

impl ReplicaSet {
    /// Returns the primary, which assigns sequence numbers.
    pub fn primary(&self) -> Option<&Replica> {
        self.replicas.first()
    }

    /// Whether `replica` is a member of the set.
    pub fn contains(&self, replica: &Replica) -> bool {
        self.replicas.contains(replica)
    }

    /// Returns the set of the next epoch, without `lost`.
    pub fn without(&self, lost: &Replica) -> ReplicaSet {
        let replicas = self.replicas.iter().filter(|replica| *replica != lost).cloned().collect();
        ReplicaSet { epoch: self.epoch + 1, replicas }
    }

    /// Returns the set of the next epoch, with `joined` as last member.
    pub fn with(&self, joined: Replica) -> ReplicaSet {
        let mut replicas = self.replicas.clone();
        replicas.push(joined);
        ReplicaSet { epoch: self.epoch + 1, replicas }
    }
}
