//! Messages that replicate the configuration.

use crate::config;

/// A message about the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// Payload of a configuration message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Acknowledgement without data.
    #[prost(message, tag = "1")]
    Done(()),
    /// Request for the writes after a version.
    #[prost(uint64, tag = "2")]
    Fetch(u64),
    /// Writes after a version. As a call, the receiver is to adopt them.
    #[prost(message, tag = "3")]
    Delta(Delta),
    /// Version that the responding VM holds. As a call, a request for that version.
    #[prost(uint64, tag = "4")]
    Version(u64),
}

/// Writes after version `from` up to version `to`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Version that the delta applies to; zero for a full snapshot.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version after applying the delta.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Version up to which tombstones may have been discarded.
    #[prost(uint64, tag = "3")]
    pub floor: u64,
    /// Writes, ordered by version.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
}

/// The last write of a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Item {
    /// Key, relative to the configuration's prefix.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version of the write.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Value; none if the key was deleted.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
}

impl From<config::Delta> for Delta {
    fn from(delta: config::Delta) -> Self {
        let item = |item: config::Item| Item {
            key: item.key,
            version: item.revision.version,
            value: item.revision.value,
        };
        let items = delta.items.into_iter().map(item).collect();
        Self { from: delta.from, to: delta.to, floor: delta.floor, items }
    }
}

impl From<Delta> for config::Delta {
    fn from(delta: Delta) -> Self {
        let item = |item: Item| config::Item {
            key: item.key,
            revision: config::Revision { version: item.version, value: item.value },
        };
        let items = delta.items.into_iter().map(item).collect();
        Self { from: delta.from, to: delta.to, floor: delta.floor, items }
    }
}
