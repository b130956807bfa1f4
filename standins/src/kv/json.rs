//! JSON scalars of etcd's gateway: bytes in base64, 64-bit integers as strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes, in base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub Vec<u8>);

/// An integer, accepted as a JSON number or string and written as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int(pub i64);

impl Bytes {
    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Int {
    /// Returns whether it is zero; the gateway omits zero fields.
    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes).map_err(de::Error::custom)
    }
}

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(i64),
            Text(String),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(number) => Ok(Int(number)),
            Either::Text(text) => text.parse().map(Int).map_err(de::Error::custom),
        }
    }
}
