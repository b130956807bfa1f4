//! Orders to upstreams: which model, version and adapters engines serve.
//!
//! One controller at a time for each model, by a lease of the platform's
//! service. `Leadership` decides when orders may be sent, `Controller` which ones,
//! and `run` carries them.

mod controller;
mod engine;
mod leadership;
mod lease;
mod run;

pub use controller::{Action, Controller, Limits, Loaded, Observed, Order, Step, Target};
pub use leadership::{LEASE_TTL, Leadership, ORDER_TIMEOUT};
pub use run::run;
