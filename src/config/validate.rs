//! Validation of resources; each error names the invalid field.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::resource::{Key, Kind, Model, Organisation, Route, Spec, Upstream};
use crate::error::{self, Error, Result};

/// Maximum length of a resource's name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum rate of an organisation, in requests per second.
const MAX_RATE: f64 = 1e6;
/// Maximum burst of an organisation, in requests.
const MAX_BURST: u32 = 10_000_000;
/// Maximum weight of an organisation.
const MAX_WEIGHT: u32 = 1_000;
/// Maximum timeout of a route, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Maximum number of concurrent requests of an upstream.
const MAX_CAPACITY: u32 = 100_000;
/// Maximum number of replicas of a model.
const MAX_REPLICAS: u32 = 100_000;
/// Length of a SHA-256 digest in hexadecimal characters.
const SHA256_HEX_CHARS: usize = 64;

type Check = std::result::Result<(), (&'static str, String)>;

/// Checks a resource's name, which may contain letters, digits, `-`, `_` and, except at the start,
/// `.`.
pub fn check_name(name: &str) -> Result<()> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(invalid("name", &format!("must have from 1 to {MAX_NAME_BYTES} characters")));
    }
    if !name.bytes().all(allowed) || name.starts_with('.') {
        return Err(invalid("name", "may have letters, digits, '-', '_' and inner '.'"));
    }
    Ok(())
}

/// Deserializes a spec of the given kind and validates it.
pub fn read_spec(kind: Kind, spec: Value) -> Result<Spec> {
    let spec = match kind {
        Kind::Organisation => Spec::Organisation(deserialize::<Organisation>(spec)?),
        Kind::Key => Spec::Key(deserialize::<Key>(spec)?),
        Kind::Route => Spec::Route(deserialize::<Route>(spec)?),
        Kind::Model => Spec::Model(deserialize::<Model>(spec)?),
        Kind::Upstream => Spec::Upstream(deserialize::<Upstream>(spec)?),
    };
    check(&spec)?;
    Ok(spec)
}

/// Validates the constraints of a spec that its types don't express.
pub fn check(spec: &Spec) -> Result<()> {
    let checked = match spec {
        Spec::Organisation(organisation) => check_organisation(organisation),
        Spec::Key(key) => check_key(key),
        Spec::Route(route) => check_route(route),
        Spec::Model(model) => check_model(model),
        Spec::Upstream(upstream) => check_upstream(upstream),
    };
    checked.map_err(|(field, reason)| invalid(&format!("spec.{field}"), &reason))
}

fn deserialize<T>(spec: Value) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_path_to_error::deserialize(spec).map_err(|error| {
        let path = error.path().to_string();
        let field = if path == "." { "spec".to_owned() } else { format!("spec.{path}") };
        invalid(&field, &error.into_inner().to_string())
    })
}

fn invalid(field: &str, reason: &str) -> Error {
    Error::new(error::Kind::Invalid, format!("{field}: {reason}"))
}

fn check_organisation(organisation: &Organisation) -> Check {
    if !(organisation.rate > 0.0 && organisation.rate <= MAX_RATE) {
        return Err(("rate", format!("must be above 0 and at most {MAX_RATE}")));
    }
    check_range("burst", organisation.burst, MAX_BURST)?;
    check_range("weight", organisation.weight, MAX_WEIGHT)
}

fn check_key(key: &Key) -> Check {
    check_reference("organisation", key.organisation.as_str())?;
    let hex = key.sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
    if key.sha256.len() != SHA256_HEX_CHARS || !hex {
        return Err(("sha256", "must be a SHA-256 in hexadecimal".into()));
    }
    Ok(())
}

fn check_route(route: &Route) -> Check {
    let plain = |byte: u8| byte.is_ascii_graphic() && !b"?#%".contains(&byte);
    if !route.path.starts_with('/') || !route.path.bytes().all(plain) {
        return Err(("path", "must begin with '/' and have no query".into()));
    }
    if !(1..=MAX_TIMEOUT_MS).contains(&route.timeout_ms) {
        return Err(("timeout_ms", format!("must be from 1 to {MAX_TIMEOUT_MS}")));
    }
    if let super::resource::Target::Service(service) = &route.target {
        check_reference("target.service", service.as_str())?;
    }
    Ok(())
}

fn check_model(model: &Model) -> Check {
    check_reference("version", &model.version)?;
    for adapter in &model.adapters {
        check_reference("adapters", adapter)?;
    }
    if model.replicas > MAX_REPLICAS {
        return Err(("replicas", format!("must be at most {MAX_REPLICAS}")));
    }
    Ok(())
}

fn check_upstream(upstream: &Upstream) -> Check {
    if upstream.address.port() == 0 {
        return Err(("address", "needs a port".into()));
    }
    check_reference("data_centre", upstream.data_centre.as_str())?;
    check_range("capacity", upstream.capacity, MAX_CAPACITY)
}

fn check_range(field: &'static str, value: u32, max: u32) -> Check {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err((field, format!("must be from 1 to {max}")))
}

fn check_reference(field: &'static str, name: &str) -> Check {
    check_name(name).map_err(|error| (field, error.detail.replacen("name: ", "", 1)))
}
