//! Requests and answers of the key-value service.

use serde::{Deserialize, Serialize};

use super::json::{Bytes, Int};

/// Stamp of every answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Header {
    /// Version of the whole state.
    pub revision: Int,
}

/// A stored key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct KeyValue {
    /// Its name.
    pub key: Bytes,
    /// Revision at which it was created.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub create_revision: Int,
    /// Revision at which it was last written.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub mod_revision: Int,
    /// Writes since it was created.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub version: Int,
    /// Its value.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// Lease that it lives with.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub lease: Int,
}

/// Keys to read or delete.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Keys {
    /// First key.
    pub key: Bytes,
    /// End, not included; empty: just the key; one zero byte: no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Most keys to return; zero: all.
    pub limit: Int,
}

/// A key to write.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    /// Its name.
    pub key: Bytes,
    /// Its value.
    pub value: Bytes,
    /// Lease that it is to live with.
    pub lease: Int,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Operation {
    /// Reads keys.
    #[serde(alias = "requestRange")]
    pub request_range: Option<Keys>,
    /// Writes a key.
    #[serde(alias = "requestPut")]
    pub request_put: Option<Put>,
    /// Deletes keys.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<Keys>,
}

/// Field that a comparison looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Writes since it was created.
    #[default]
    Version,
    /// Revision at which it was created.
    Create,
    /// Revision at which it was last written.
    Mod,
    /// The value.
    Value,
}

/// Outcome that a comparison asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Wanted {
    /// Both are the same.
    #[default]
    Equal,
    /// The stored one is greater.
    Greater,
    /// The stored one is less.
    Less,
    /// They differ.
    NotEqual,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key that is looked at.
    pub key: Bytes,
    /// Field that is looked at.
    pub target: Target,
    /// Outcome that is asked for.
    pub result: Wanted,
    /// Value for `Version`.
    pub version: Int,
    /// Value for `Create`.
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    /// Value for `Mod`.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
    /// Value for `Value`.
    pub value: Bytes,
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// Run if they do.
    pub success: Vec<Operation>,
    /// Run if they don't.
    pub failure: Vec<Operation>,
}

/// Keys found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Found {
    /// Stamp.
    pub header: Header,
    /// The keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// How many there are.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub count: Int,
    /// Whether the limit cut some off.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}

/// A key was written.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Written {
    /// Stamp.
    pub header: Header,
}

/// Keys were deleted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Deleted {
    /// Stamp.
    pub header: Header,
    /// How many.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub deleted: Int,
}

/// Answer of one operation.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Of a read.
    ResponseRange(Found),
    /// Of a write.
    ResponsePut(Written),
    /// Of a deletion.
    ResponseDeleteRange(Deleted),
}

/// Answer of a transaction.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Done {
    /// Stamp.
    pub header: Header,
    /// Whether all comparisons held.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// Answers of the operations that ran.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<Answer>,
}

/// A lease to grant, renew or revoke.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseCall {
    /// Identifier.
    #[serde(rename = "ID")]
    pub id: Int,
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// A lease as granted or renewed; without a time to live it has ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Lease {
    /// Stamp.
    pub header: Header,
    /// Identifier.
    #[serde(rename = "ID", skip_serializing_if = "Int::is_zero")]
    pub id: Int,
    /// Time to live, in seconds.
    #[serde(rename = "TTL", skip_serializing_if = "Int::is_zero")]
    pub ttl: Int,
}

/// A watch to open.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCall {
    /// The only kind that the gateway can serve.
    #[serde(alias = "createRequest")]
    pub create_request: Watch,
}

/// Keys to watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// First key.
    pub key: Bytes,
    /// End, as in `Keys`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    /// First revision that is wanted; zero: from now on.
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
    /// Whether to report progress without changes.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// A change as a watch reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// `DELETE` for a deletion; the gateway leaves `PUT` out.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    /// The key as it now is.
    pub kv: KeyValue,
}

/// What a watch delivers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Notice {
    /// Stamp.
    pub header: Header,
    /// Whether this is the first answer.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the watch has ended.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// Oldest revision that is still kept, if the wanted one is older.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub compact_revision: Int,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// A line of a stream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Line<T> {
    /// The answer.
    pub result: T,
}
