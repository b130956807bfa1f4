//! Files of resources, JSON with comments.

use serde::Deserialize;
use serde_json::Value;

use super::resource::Kind;
use super::{check_name, read_spec};
use crate::error::{self, Error, Result};

/// A resource as an operator writes it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Version that it must stand at, if any.
    #[serde(default)]
    pub version: Option<u64>,
    /// What is wanted.
    pub spec: Value,
    /// Ignored: what the system reports.
    #[serde(default, rename = "status")]
    _status: Option<Value>,
}

/// Reads one resource, a list of them, or an object with `items`; `name`
/// stands for the file in messages. Everything is checked before anything is
/// returned.
pub fn read_documents(name: &str, text: &str) -> Result<Vec<Document>> {
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| mistake(name, &error.to_string().replace('\n', " ")))?
        .unwrap_or(Value::Null);
    let items = match value {
        Value::Array(items) => items,
        Value::Object(mut fields) if fields.contains_key("items") => match fields.remove("items") {
            Some(Value::Array(items)) => items,
            _ => return Err(mistake(name, "items: must be a list")),
        },
        one => vec![one],
    };
    items.into_iter().enumerate().map(|(place, item)| read(name, place, item)).collect()
}

fn read(name: &str, place: usize, item: Value) -> Result<Document> {
    let document: Document = serde_path_to_error::deserialize(item).map_err(|error| {
        let path = error.path().to_string();
        mistake(name, &format!("resource {}: {path}: {}", place + 1, error.into_inner()))
    })?;
    let subject = format!("{}/{}", document.kind, document.name);
    let about = |error: Error| mistake(name, &format!("{subject}: {}", error.detail));
    check_name(&document.name).map_err(about)?;
    read_spec(document.kind, document.spec.clone()).map_err(about)?;
    Ok(document)
}

fn mistake(name: &str, reason: &str) -> Error {
    Error::new(error::Kind::Invalid, format!("{name}: {reason}"))
}
