//! The operator's configuration: routes, services, organisations and limits.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::{Organisation, Service};

/// Retry and response semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Once,
    /// The response is a stream of events.
    Streaming,
    /// Requests are submitted in jobs that run later.
    Batch,
}

/// A route: maps requests to services and sets their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests must name.
    pub host: String,
    /// Path prefix of the requests; begins and ends with a slash.
    pub path_prefix: String,
    /// Retry and response semantics of its requests.
    pub kind: Kind,
    /// Services with their weights.
    pub targets: Vec<(Service, u32)>,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of a response, or of a stream's first event, in milliseconds; zero: none.
    pub latency_target_ms: u64,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// Whether a broken stream may be resumed at another upstream.
    pub resumable: bool,
    /// Target time from a job's first submission to the end of its items, in milliseconds.
    pub run_target_ms: u64,
    /// Time from a job's first submission until its remaining items are given up, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of waiting tokens of one organisation on a batch route; zero: no limit.
    pub max_waiting_tokens: u64,
}

impl Route {
    /// Whether a request that may already have run may be sent again.
    pub fn repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || self.resumable
    }

    /// Picks a service by weight; `random` must be uniform over all values.
    pub fn target(&self, random: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = random % total.max(1);
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        self.targets.first().map(|(service, _)| service)
    }
}

/// An organisation with its keys and its rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the organisation.
    pub organisation: Organisation,
    /// Currently valid keys.
    pub keys: Vec<String>,
    /// Rate limit over all VMs, in requests per second; zero: no limit.
    pub rate_per_s: f64,
    /// Requests that may exceed the rate in a burst.
    pub burst: f64,
}

/// When upstreams of a service are cold, and what they take meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Time for which an upstream that has started is cold.
    pub lasts: Duration,
    /// Requests per second that it takes meanwhile from all VMs.
    pub per_s: f64,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; higher versions replace lower ones.
    pub version: u64,
    /// Maximum size of a request body, in bytes; zero: no limit.
    pub max_body_bytes: usize,
    /// Services whose upstreams may be cold.
    pub cold: HashMap<Service, Cold>,
    routes: HashMap<String, Vec<Route>>,
    tenants: Vec<Tenant>,
    tenant_of_key: HashMap<String, usize>,
}

impl Configuration {
    /// Builds a configuration and its indexes.
    pub fn new(
        version: u64,
        max_body_bytes: usize,
        routes: Vec<Route>,
        tenants: Vec<Tenant>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut tenant_of_key = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for key in &tenant.keys {
                tenant_of_key.insert(key.clone(), index);
            }
        }
        let cold = HashMap::new();
        Self { version, max_body_bytes, cold, routes: by_host, tenants, tenant_of_key }
    }

    /// The route with the longest path prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether any organisation is configured; without one no request needs a key.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Looks up an organisation by one of its keys.
    pub fn tenant_of_key(&self, key: &str) -> Option<&Tenant> {
        self.tenant_of_key.get(key).map(|index| &self.tenants[*index])
    }

    /// Looks up an organisation by name.
    pub fn tenant(&self, organisation: &Organisation) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| &tenant.organisation == organisation)
    }

    /// All configured organisations.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }
}
