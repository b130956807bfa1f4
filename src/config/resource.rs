//! Resources that operators configure.
//!
//! A resource has a kind, a name and a `spec`. The platform's key-value service assigns an
//! increasing version to each write; `status` is reported by the system and never stored with the
//! spec.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

key! {
    /// Kinds of resource.
    #[derive(Serialize, Deserialize, derive_more::Display)]
    #[serde(rename_all = "lowercase")]
    #[display(rename_all = "lowercase")]
    pub enum Kind {
        /// A tenant and its rate limit.
        Organisation,
        /// An API key of a caller.
        Key,
        /// A path that accepts requests.
        Route,
        /// A model served by engines.
        Model,
        /// A replica of a model engine or of a plain service.
        Upstream,
    }
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 5] =
        [Kind::Organisation, Kind::Key, Kind::Route, Kind::Model, Kind::Upstream];
}

value! {
    /// A tenant; its rate and burst apply to the whole fleet.
    pub struct Organisation {
        /// Rate limit in requests per second.
        pub rate: f64,
        /// Maximum number of requests in a burst.
        pub burst: u32,
        /// Share of capacity under contention, relative to other organisations.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }

    /// An API key of a caller, stored only as a digest.
    pub struct Key {
        /// Organisation that the key belongs to.
        pub organisation: id::Organisation,
        /// SHA-256 digest of the key, in hexadecimal.
        pub sha256: String,
    }

    /// A path that accepts requests.
    pub struct Route {
        /// Path, which must match exactly.
        pub path: String,
        /// Destination of the route's requests.
        pub target: Target,
        /// Whether requests are accepted without an API key.
        #[serde(default)]
        pub open: bool,
        /// Whether a request may safely be executed more than once.
        #[serde(default)]
        pub idempotent: bool,
        /// Timeout of a request that specifies no deadline, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
    }

    /// Destination of a route's requests.
    #[serde(rename_all = "snake_case")]
    pub enum Target {
        /// Engines that serve the model named in the request body.
        Models,
        /// Replicas of a plain service.
        Service(id::Service),
    }

    /// A model with the version and adapters that engines should load.
    pub struct Model {
        /// Version that engines should serve.
        pub version: String,
        /// Adapters to load in addition to the model.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Desired number of replicas.
        pub replicas: u32,
    }

    /// A replica of a model engine or of a plain service.
    pub struct Upstream {
        /// Address that requests are sent to.
        pub address: SocketAddr,
        /// Data centre that the upstream runs in.
        pub data_centre: id::DataCentre,
        /// Model or service that the upstream serves.
        pub serves: Serves,
        /// Number of requests that the upstream runs concurrently without slowing down.
        pub capacity: u32,
        /// Whether the upstream rejects orders with an outdated fencing token.
        #[serde(default)]
        pub fenced: bool,
    }

    /// Model or service that an upstream serves.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Serves {
        /// This model; the upstream is a model engine.
        Model(id::Model),
        /// This plain service.
        Service(id::Service),
    }

    /// The spec of a resource of any kind.
    #[serde(rename_all = "lowercase")]
    pub enum Spec {
        /// Spec of an organisation.
        Organisation(Organisation),
        /// Spec of an API key.
        Key(Key),
        /// Spec of a route.
        Route(Route),
        /// Spec of a model.
        Model(Model),
        /// Spec of an upstream.
        Upstream(Upstream),
    }
}

fn default_weight() -> u32 {
    1
}

/// Timeout of routes that specify none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

impl Spec {
    /// The kind of resource this spec belongs to.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Organisation(_) => Kind::Organisation,
            Spec::Key(_) => Kind::Key,
            Spec::Route(_) => Kind::Route,
            Spec::Model(_) => Kind::Model,
            Spec::Upstream(_) => Kind::Upstream,
        }
    }
}
