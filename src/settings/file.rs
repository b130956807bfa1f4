//! Reading and validation of settings files.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::{Error, Kind, Result};

/// Validation beyond what the types express.
pub trait Check {
    /// Returns the first invalid field and the reason.
    fn check(&self) -> std::result::Result<(), (&'static str, String)>;
}

/// Reads and validates a settings file.
pub fn load<S>(path: &Path) -> Result<S>
where
    S: DeserializeOwned + Check,
{
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::new(Kind::Settings, format!("{name}: can't be read: {error}")))?;
    parse(&name, &text)
}

/// Parses and validates settings; errors refer to the file as `name`.
pub fn parse<S>(name: &str, text: &str) -> Result<S>
where
    S: DeserializeOwned + Check,
{
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| settings_error(name, "", &error.to_string()))?
        .unwrap_or(serde_json::Value::Null);
    let settings: S = serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        settings_error(name, &field, &error.into_inner().to_string())
    })?;
    settings.check().map_err(|(field, reason)| settings_error(name, field, &reason))?;
    Ok(settings)
}

pub(super) fn check_secret(
    secret: &str,
    min_bytes: usize,
) -> std::result::Result<(), (&'static str, String)> {
    if secret.len() < min_bytes {
        return Err(("fleet_secret", format!("must have at least {min_bytes} bytes")));
    }
    Ok(())
}

fn settings_error(name: &str, field: &str, reason: &str) -> Error {
    let reason = reason.replace('\n', " ");
    let detail = match field {
        "" | "." => format!("{name}: {reason}"),
        field => format!("{name}: {field}: {reason}"),
    };
    Error::new(Kind::Settings, detail)
}
