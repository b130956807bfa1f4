//! Messages of etcd's JSON gateway, with bytes as base64 and 64-bit integers as strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::Entry;

/// Bytes encoded as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Base64(pub(super) Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        STANDARD.decode(text.as_bytes()).map(Base64).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit integer written as a string and read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Int(pub(super) i64);

impl Serialize for Int {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum NumberOrText {
            Number(i64),
            Text(String),
        }
        match NumberOrText::deserialize(deserializer)? {
            NumberOrText::Number(number) => Ok(Int(number)),
            NumberOrText::Text(text) => text.parse().map(Int).map_err(serde::de::Error::custom),
        }
    }
}

impl Int {
    pub(super) fn version(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }
}

impl From<u64> for Int {
    fn from(version: u64) -> Self {
        Int(i64::try_from(version).unwrap_or(i64::MAX))
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    pub(super) revision: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Kv {
    pub(super) key: Base64,
    pub(super) value: Base64,
    pub(super) mod_revision: Int,
}

impl From<Kv> for Entry {
    fn from(kv: Kv) -> Self {
        Entry {
            key: String::from_utf8_lossy(&kv.key.0).into_owned(),
            value: kv.value.0,
            version: kv.mod_revision.version(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Base64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) min_mod_revision: Option<Int>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: Header,
    pub(super) kvs: Vec<Kv>,
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    pub(super) key: Base64,
    pub(super) value: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) lease: Option<Int>,
}

#[derive(Debug, Serialize)]
pub(super) struct Compare {
    pub(super) key: Base64,
    pub(super) target: &'static str,
    pub(super) result: &'static str,
    pub(super) mod_revision: Int,
}

#[derive(Debug, Serialize)]
pub(super) enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Operation>,
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct OperationResponse {
    pub(super) response_range: Option<RangeResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<OperationResponse>,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    pub(super) ttl: Option<Int>,
    #[serde(rename = "ID", skip_serializing_if = "Option::is_none")]
    pub(super) id: Option<Int>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(super) id: Int,
    #[serde(rename = "TTL")]
    pub(super) ttl: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeepAliveResponse {
    pub(super) result: LeaseResponse,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    pub(super) key: Base64,
    pub(super) range_end: Base64,
    pub(super) start_revision: Int,
    pub(super) progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchLine {
    pub(super) result: WatchResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) header: Header,
    pub(super) created: bool,
    pub(super) canceled: bool,
    pub(super) compact_revision: Int,
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchEvent {
    #[serde(rename = "type")]
    pub(super) kind: String,
    pub(super) kv: Kv,
}
