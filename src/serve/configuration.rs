//! What the operator wants served: routes, services, organisations, limits.

use std::collections::HashMap;

use crate::id::{Organisation, Service};

/// What a route's requests allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    Once,
    /// Answered by a stream of events.
    Streaming,
    /// Jobs of many requests that run later.
    Batch,
}

/// A route: which requests go to which service, and within which limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it belongs to.
    pub host: String,
    /// Beginning of its paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What its requests allow.
    pub kind: Kind,
    /// Services with their weights.
    pub targets: Vec<(Service, u32)>,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or a stream's first event, should come, in milliseconds.
    pub latency_target_ms: u64,
    /// Most upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether another upstream may go on with a broken stream.
    pub resumable: bool,
    /// Time after a job's first send in which its items should be done, in milliseconds.
    pub run_target_ms: u64,
    /// Time after a job's first send until which its items are tried, in milliseconds.
    pub retention_ms: u64,
    /// Most tokens of one organisation that may wait on a batch route; zero: no limit.
    pub max_waiting_tokens: u64,
}

impl Route {
    /// Whether a request may be sent again after it may have run.
    pub fn repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || self.resumable
    }

    /// Draws a service by weight; `draw` is uniform over all values.
    pub fn target(&self, random: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = random % total.max(1);
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        self.targets.first().map(|(service, _)| service)
    }
}

/// An organisation with its keys and its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub organisation: Organisation,
    /// Keys that are valid now.
    pub keys: Vec<String>,
    /// Requests a second over all VMs; zero: no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once on top.
    pub burst: f64,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version; higher ones replace lower ones.
    pub version: u64,
    /// Largest body of a request, in bytes; zero: no limit.
    pub max_body_bytes: usize,
    routes: HashMap<String, Vec<Route>>,
    tenants: Vec<Tenant>,
    tenant_of_key: HashMap<String, usize>,
}

impl Configuration {
    /// Builds a version from its parts.
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
        Self { version, max_body_bytes, routes: by_host, tenants, tenant_of_key }
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether any route needs a key.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The organisation that holds a key.
    pub fn tenant_of_key(&self, key: &str) -> Option<&Tenant> {
        self.tenant_of_key.get(key).map(|index| &self.tenants[*index])
    }

    /// An organisation by its name.
    pub fn tenant(&self, organisation: &Organisation) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| &tenant.organisation == organisation)
    }

    /// All organisations.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }
}
