//! Resources as operators write them.
//!
//! A resource has a kind, a name and a `spec`. The platform's service gives
//! each stored state a version that only rises; `status` is reported by the
//! system and never stored with the spec.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

key! {
    /// Kinds of resource.
    #[derive(Serialize, Deserialize, derive_more::Display)]
    #[serde(rename_all = "lowercase")]
    #[display(rename_all = "lowercase")]
    pub enum Kind {
        /// A tenant with its rate.
        Organisation,
        /// A caller's key.
        Key,
        /// A path that callers may call.
        Route,
        /// A model that engines serve.
        Model,
        /// A replica of an engine or of a plain service.
        Upstream,
    }
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 5] =
        [Kind::Organisation, Kind::Key, Kind::Route, Kind::Model, Kind::Upstream];
}

value! {
    /// A tenant: its rate and burst hold over the whole fleet.
    pub struct Organisation {
        /// Requests a second.
        pub rate: f64,
        /// Requests that may come at once after a pause.
        pub burst: u32,
        /// Share of capacity under contention, relative to others.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }

    /// A caller's key, kept only as its digest.
    pub struct Key {
        /// Whose key it is.
        pub organisation: id::Organisation,
        /// SHA-256 of the key, in hexadecimal.
        pub sha256: String,
    }

    /// A path that callers may call.
    pub struct Route {
        /// Path, matched whole.
        pub path: String,
        /// Where its requests go.
        pub target: Target,
        /// Whether callers need no key.
        #[serde(default)]
        pub open: bool,
        /// Whether a request may safely run more than once.
        #[serde(default)]
        pub idempotent: bool,
        /// Deadline of a request that brings none, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
    }

    /// Where a route's requests go.
    #[serde(rename_all = "snake_case")]
    pub enum Target {
        /// To engines that serve the model named in the body.
        Models,
        /// To the replicas of a plain service.
        Service(id::Service),
    }

    /// A model with the versions and adapters that engines should have loaded.
    pub struct Model {
        /// Version that engines should serve.
        pub version: String,
        /// Adapters to load beside it.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Replicas wanted.
        pub replicas: u32,
    }

    /// A replica of an engine or of a plain service.
    pub struct Upstream {
        /// Where it answers.
        pub address: SocketAddr,
        /// Where it stands.
        pub data_centre: id::DataCentre,
        /// What it serves.
        pub serves: Serves,
        /// Requests it runs at once without slowing.
        pub capacity: u32,
        /// Whether it refuses orders with an old fencing number.
        #[serde(default)]
        pub fenced: bool,
    }

    /// What an upstream serves.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Serves {
        /// A model engine with this model.
        Model(id::Model),
        /// A plain service.
        Service(id::Service),
    }

    /// The spec of any kind.
    #[serde(rename_all = "lowercase")]
    pub enum Spec {
        /// A tenant.
        Organisation(Organisation),
        /// A caller's key.
        Key(Key),
        /// A route.
        Route(Route),
        /// A model.
        Model(Model),
        /// An upstream.
        Upstream(Upstream),
    }
}

fn default_weight() -> u32 {
    1
}

/// Deadline of a request whose route names none, in milliseconds.
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
