//! Rules for resources; each refusal names the field.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::resource::{Key, Kind, Model, Organisation, Route, Spec, Upstream};
use crate::error::{self, Error, Result};

/// Longest name of a resource, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Highest rate of an organisation, in requests a second.
const MAX_RATE: f64 = 1e6;
/// Highest burst of an organisation, in requests.
const MAX_BURST: u32 = 10_000_000;
/// Highest weight of an organisation.
const MAX_WEIGHT: u32 = 1_000;
/// Longest deadline of a route, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Most requests that an upstream may run at once.
const MAX_CAPACITY: u32 = 100_000;
/// Most replicas of a model.
const MAX_REPLICAS: u32 = 100_000;
/// Length of a SHA-256 digest in hexadecimal.
const SHA256_HEX_CHARS: usize = 64;

type Rule = std::result::Result<(), (&'static str, String)>;

/// Checks a resource's name: letters, digits, `-`, `_` and `.`.
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

/// Reads and checks a spec.
pub fn read_spec(kind: Kind, spec: Value) -> Result<Spec> {
    let spec = match kind {
        Kind::Organisation => Spec::Organisation(read::<Organisation>(spec)?),
        Kind::Key => Spec::Key(read::<Key>(spec)?),
        Kind::Route => Spec::Route(read::<Route>(spec)?),
        Kind::Model => Spec::Model(read::<Model>(spec)?),
        Kind::Upstream => Spec::Upstream(read::<Upstream>(spec)?),
    };
    check(&spec)?;
    Ok(spec)
}

/// Checks the rules that types alone can't express.
pub fn check(spec: &Spec) -> Result<()> {
    let rule = match spec {
        Spec::Organisation(organisation) => check_organisation(organisation),
        Spec::Key(key) => check_key(key),
        Spec::Route(route) => check_route(route),
        Spec::Model(model) => check_model(model),
        Spec::Upstream(upstream) => check_upstream(upstream),
    };
    rule.map_err(|(field, reason)| invalid(&format!("spec.{field}"), &reason))
}

fn read<T>(spec: Value) -> Result<T>
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

fn check_organisation(organisation: &Organisation) -> Rule {
    if !(organisation.rate > 0.0 && organisation.rate <= MAX_RATE) {
        return Err(("rate", format!("must be above 0 and at most {MAX_RATE}")));
    }
    range("burst", organisation.burst, MAX_BURST)?;
    range("weight", organisation.weight, MAX_WEIGHT)
}

fn check_key(key: &Key) -> Rule {
    reference("organisation", key.organisation.as_str())?;
    let hex = key.sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
    if key.sha256.len() != SHA256_HEX_CHARS || !hex {
        return Err(("sha256", "must be a SHA-256 in hexadecimal".into()));
    }
    Ok(())
}

fn check_route(route: &Route) -> Rule {
    let plain = |byte: u8| byte.is_ascii_graphic() && !b"?#%".contains(&byte);
    if !route.path.starts_with('/') || !route.path.bytes().all(plain) {
        return Err(("path", "must begin with '/' and have no query".into()));
    }
    if !(1..=MAX_TIMEOUT_MS).contains(&route.timeout_ms) {
        return Err(("timeout_ms", format!("must be from 1 to {MAX_TIMEOUT_MS}")));
    }
    if let super::resource::Target::Service(service) = &route.target {
        reference("target.service", service.as_str())?;
    }
    Ok(())
}

fn check_model(model: &Model) -> Rule {
    reference("version", &model.version)?;
    for adapter in &model.adapters {
        reference("adapters", adapter)?;
    }
    if model.replicas > MAX_REPLICAS {
        return Err(("replicas", format!("must be at most {MAX_REPLICAS}")));
    }
    Ok(())
}

fn check_upstream(upstream: &Upstream) -> Rule {
    if upstream.address.port() == 0 {
        return Err(("address", "needs a port".into()));
    }
    reference("data_centre", upstream.data_centre.as_str())?;
    range("capacity", upstream.capacity, MAX_CAPACITY)
}

fn range(field: &'static str, value: u32, most: u32) -> Rule {
    if (1..=most).contains(&value) {
        return Ok(());
    }
    Err((field, format!("must be from 1 to {most}")))
}

fn reference(field: &'static str, name: &str) -> Rule {
    check_name(name).map_err(|error| (field, error.detail.replacen("name: ", "", 1)))
}
