//! Representation of resources in the platform's key-value service.

use serde::{Deserialize, Serialize};

use super::resource::{Kind, Spec};

/// Identifier of a resource: its kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl Id {
    /// The resource's key, relative to the configuration's prefix.
    pub fn key(&self) -> String {
        format!("{}/{}", self.kind, self.name)
    }

    /// Parses a key relative to the configuration's prefix; `None` if it isn't a resource's.
    pub fn from_key(key: &str) -> Option<Self> {
        let (kind, name) = key.split_once('/')?;
        let kind = Kind::ALL.into_iter().find(|known| known.to_string() == kind)?;
        Some(Self { kind, name: name.to_owned() })
    }
}

/// The stored value of a resource: its spec, or a tombstone once deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Unique identifier of the write, which shows whether a write was applied when its reply was
    /// lost.
    pub write: String,
    /// Specification written by the operator; `None` once deleted.
    pub spec: Option<Spec>,
}

impl Record {
    /// Serializes the record to JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("record serializes to JSON")
    }

    /// Deserializes a stored value; `None` if it isn't a resource's record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
