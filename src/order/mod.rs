//! Orders to upstreams, which set the model version and adapters that engines serve.
//!
//! Each model is controlled by one VM at a time, which holds a lease in the platform's key-value
//! service. `Leadership` decides when orders may be sent, `Controller` decides which orders to
//! send, and `run` sends them.

mod controller;
mod engine;
mod leadership;
mod lease;
mod run;

pub use controller::{Action, Controller, Limits, Loaded, Observed, Order, Step, Target};
pub use leadership::{LEASE_TTL, Leadership, ORDER_TIMEOUT};
pub use run::run;
