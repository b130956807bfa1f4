//! Resources as the platform's service keeps them.

use serde::{Deserialize, Serialize};

use super::resource::{Kind, Spec};

/// Identifies a resource: its kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Its kind.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: String,
}

impl Id {
    /// The key under the configuration's prefix.
    pub fn key(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }

    /// Reads a key under the configuration's prefix.
    pub fn from_key(key: &str) -> Option<Self> {
        let (kind, name) = key.split_once('/')?;
        let kind = Kind::ALL.into_iter().find(|known| known.to_string() == kind)?;
        Some(Self { kind, name: name.to_owned() })
    }
}

/// A stored value: the spec, or a tombstone once deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Identifies the write, to settle one whose reply was lost.
    pub write: String,
    /// What the operator wants; none once deleted.
    pub spec: Option<Spec>,
}

impl Record {
    /// The value's bytes.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data becomes JSON")
    }

    /// Reads a value's bytes.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
