//! JSON that operators, replicas and callers of the HTTP platform write.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Timeout of every route, in milliseconds.
pub const TIMEOUT_MS: u64 = 5_000;
/// Maximum attempts of a request on a route that allows retries.
pub const MAX_ATTEMPTS: u32 = 2;

/// Builds the registration of a replica.
pub fn registration(address: SocketAddr, state: &str) -> Value {
    json!({
        "service": "text", "address": address.to_string(),
        "zone": "porto", "version": "v1", "slots": 8, "state": state,
        "cold_left_ms": 0, "sequence": 1, "born": 1,
    })
}

/// Builds a configuration with one route of each kind and one tenant with `keys`, a rate and a
/// burst; a rate of zero is unlimited.
pub fn configuration(version: u64, keys: &[&str], rate_per_s: f64, burst: f64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool, attempts: u32| {
        json!({
            "name": name, "host": "host.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": TIMEOUT_MS, "latency_target_ms": 2000,
            "max_attempts": attempts, "service": "text", "resumable": resumable,
            "run_target_ms": 18000, "retention_s": 60, "cap": 100000,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("resumable", "streaming", true, MAX_ATTEMPTS),
            route("once", "streaming", false, 1),
            route("again", "idempotent", false, MAX_ATTEMPTS),
            route("jobs", "batch", true, 3),
        ],
        "services": [{ "name": "text" }],
        "limits": { "max_body_bytes": 100000 },
        "tenants": [{
            "name": "tenant", "api_keys": keys, "rate_per_s": rate_per_s, "burst": burst,
        }],
    })
}

/// Builds a job submission whose item identifiers begin with `name`.
pub fn job(items: usize, name: &str) -> Vec<u8> {
    let item = |index| {
        json!({ "id": format!("{name}-{index}"), "path": format!("/jobs/{index}"),
        "headers": { "Parsleybeam-Model": "m" }, "body": "aGVsbG8=", "tokens": 100 })
    };
    json!({ "items": (0..items).map(item).collect::<Vec<_>>() }).to_string().into_bytes()
}
