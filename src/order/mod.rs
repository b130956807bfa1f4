//! Orders to upstreams: which model, version and adapters engines serve.
//!
//! One controller at a time for each model, by a lease of the platform's
//! service. `Tenure` decides when orders may be sent, `Controller` which ones,
//! and `follow` carries them.

mod controller;
mod engine;
mod follow;
mod lease;
mod tenure;

pub use controller::{Action, Controller, Limits, Loaded, Observed, Order, Step, Target};
pub use follow::follow;
pub use tenure::{LEASE_TTL, ORDER_TIMEOUT, Tenure};
