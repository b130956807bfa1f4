//! Messages that spread the configuration.

use crate::config;

/// A message of this area.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What is said.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// What the message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Nothing; an answer that only confirms.
    #[prost(message, tag = "1")]
    Done(()),
    /// Asks for the writes after a version.
    #[prost(uint64, tag = "2")]
    Fetch(u64),
    /// Writes; as a call, to be adopted.
    #[prost(message, tag = "3")]
    Delta(Delta),
    /// Version that the answering VM holds now.
    #[prost(uint64, tag = "4")]
    Version(u64),
}

/// Writes after one version up to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Version that it builds on; zero makes it a whole state.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version that it leads to.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Version up to which tombstones may be missing.
    #[prost(uint64, tag = "3")]
    pub floor: u64,
    /// The writes, by version.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
}

/// A key's last write.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Item {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version of the write.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its value; none once deleted.
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
