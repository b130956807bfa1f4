//! Requests and responses of the key-value service.

use serde::{Deserialize, Serialize};

use super::json::{Bytes, Int};

/// Header of every response.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Header {
    /// Revision of the store.
    pub revision: Int,
}

/// A stored key-value pair.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct KeyValue {
    /// Key, as raw bytes.
    pub key: Bytes,
    /// Revision at which it was created.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub create_revision: Int,
    /// Revision at which it was last written.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub mod_revision: Int,
    /// Number of writes since it was created.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub version: Int,
    /// Value, as raw bytes.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// Lease whose end deletes the key; zero for none.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub lease: Int,
}

/// Range of keys to read or delete.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Keys {
    /// First key.
    pub key: Bytes,
    /// End of the range, exclusive; empty for a single key, one zero byte for no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    /// Maximum number of keys to return; zero for all.
    pub limit: Int,
}

/// Request to write a key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    /// Key, as raw bytes.
    pub key: Bytes,
    /// Value, as raw bytes.
    pub value: Bytes,
    /// Lease whose end deletes the key; zero for none.
    pub lease: Int,
}

/// One operation of a transaction, with one of the fields set.
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

/// Field of a key that is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Number of writes since it was created.
    #[default]
    Version,
    /// Revision at which it was created.
    Create,
    /// Revision at which it was last written.
    Mod,
    /// Value.
    Value,
}

/// Relation of the stored field to the given one for which a comparison succeeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The stored field equals the given one.
    #[default]
    Equal,
    /// The stored field is greater.
    Greater,
    /// The stored field is less.
    Less,
    /// The fields differ.
    NotEqual,
}

/// One comparison of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key to compare.
    pub key: Bytes,
    /// Field to compare.
    pub target: Target,
    /// Relation for which the comparison succeeds.
    pub result: CompareResult,
    /// Operand for `Target::Version`.
    pub version: Int,
    /// Operand for `Target::Create`.
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    /// Operand for `Target::Mod`.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
    /// Operand for `Target::Value`.
    pub value: Bytes,
}

/// Transaction request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// Comparisons, all of which must succeed.
    pub compare: Vec<Compare>,
    /// Operations to run if all comparisons succeed.
    pub success: Vec<Operation>,
    /// Operations to run if a comparison fails.
    pub failure: Vec<Operation>,
}

/// Response to a read.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeResponse {
    /// Header with the store's revision.
    pub header: Header,
    /// Keys and their values, in key order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Number of keys in the range, whatever the limit is.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub count: Int,
    /// Whether keys were left out because of the limit.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}

/// Response to a write.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutResponse {
    /// Header with the store's revision.
    pub header: Header,
}

/// Response to a deletion.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteRangeResponse {
    /// Header with the store's revision.
    pub header: Header,
    /// Number of deleted keys.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub deleted: Int,
}

/// Response to one operation of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// Response to a read.
    ResponseRange(RangeResponse),
    /// Response to a write.
    ResponsePut(PutResponse),
    /// Response to a deletion.
    ResponseDeleteRange(DeleteRangeResponse),
}

/// Response to a transaction.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnResponse {
    /// Header with the store's revision.
    pub header: Header,
    /// Whether all comparisons succeeded.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// Responses of the operations that ran.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Request to grant, renew or revoke a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseCall {
    /// Lease ID; zero in a grant for one chosen by the service.
    #[serde(rename = "ID")]
    pub id: Int,
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// State of a lease; its TTL is zero once the lease has expired.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseResponse {
    /// Header with the store's revision.
    pub header: Header,
    /// Lease ID; absent when the lease was revoked.
    #[serde(rename = "ID", skip_serializing_if = "Int::is_zero")]
    pub id: Int,
    /// Time to live, in seconds.
    #[serde(rename = "TTL", skip_serializing_if = "Int::is_zero")]
    pub ttl: Int,
}

/// Request on a watch stream.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCall {
    /// Watch to create; other kinds can't be sent through the gateway.
    #[serde(alias = "createRequest")]
    pub create_request: Watch,
}

/// Range of keys to watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// First key.
    pub key: Bytes,
    /// End of the range, as in `Keys`.
    #[serde(alias = "rangeEnd")]
    pub range_end: Bytes,
    /// First revision to report; zero for the next one.
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
    /// Whether to send progress notifications when there are no events.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// A change of a key, as reported to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// `DELETE` for a deletion; absent for a write, as the gateway omits `PUT`.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    /// State of the key after the change.
    pub kv: KeyValue,
}

/// Message of a watch stream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchResponse {
    /// Header with the store's revision.
    pub header: Header,
    /// Whether this message confirms that the watch was created.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the watch was cancelled.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// Oldest revision still kept, set if the watch asked for an older one.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub compact_revision: Int,
    /// Changes, oldest first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// One line of a streamed response.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StreamResponse<T> {
    /// Message of the line.
    pub result: T,
}
