//! Parsing of resource files, which are JSON with comments.

use serde::Deserialize;
use serde_json::Value;

use super::resource::Kind;
use super::{check_name, read_spec};
use crate::error::{self, Error, Result};

/// A resource as written in a file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
    /// Version that the stored resource must have, if given.
    #[serde(default)]
    pub version: Option<u64>,
    /// Specification of the resource.
    pub spec: Value,
    /// Status reported by the system; accepted in files and ignored.
    #[serde(default, rename = "status")]
    _status: Option<Value>,
}

/// Parses one resource, a list of resources, or an object with `items`. `name` is the file name
/// used in error messages. Fails if any of the resources is invalid.
pub fn read_documents(name: &str, text: &str) -> Result<Vec<Document>> {
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| invalid(name, &error.to_string().replace('\n', " ")))?
        .unwrap_or(Value::Null);
    let items = match value {
        Value::Array(items) => items,
        Value::Object(mut fields) if fields.contains_key("items") => match fields.remove("items") {
            Some(Value::Array(items)) => items,
            _ => return Err(invalid(name, "items: must be a list")),
        },
        one => vec![one],
    };
    items.into_iter().enumerate().map(|(index, item)| read(name, index, item)).collect()
}

fn read(name: &str, index: usize, item: Value) -> Result<Document> {
    let document: Document = serde_path_to_error::deserialize(item).map_err(|error| {
        let path = error.path().to_string();
        invalid(name, &format!("resource {}: {path}: {}", index + 1, error.into_inner()))
    })?;
    let subject = format!("{}/{}", document.kind, document.name);
    let with_subject = |error: Error| invalid(name, &format!("{subject}: {}", error.detail));
    check_name(&document.name).map_err(with_subject)?;
    read_spec(document.kind, document.spec.clone()).map_err(with_subject)?;
    Ok(document)
}

fn invalid(name: &str, reason: &str) -> Error {
    Error::new(error::Kind::Invalid, format!("{name}: {reason}"))
}
