//! Request routing: load balancing, outlier ejection, prefix affinity, retries
//! and the quarantine of requests that crash upstreams.
//!
//! `Retry`, `Budget`, `Crashes`, `Health`, `Affinity` and `Balancer` are state
//! machines without I/O that assert their invariants; `Quarantine` and `poll`
//! do the network calls for them. `simulate` drives the same state machines
//! with random events.
//!
//! Other senders of caller requests, such as batch, follow the same rules
//! through three calls: `Quarantine::begin` before a run, whose `Guard` must
//! be given the upstream's address (`sent`) and the result (`completed`,
//! `crashed`, or dropped); `Retry::start` before each attempt; and
//! `Retry::failed` after each failure.

mod affinity;
mod balancer;
mod baseline;
mod budget;
mod crashes;
mod health;
mod load;
mod poll;
mod quarantine;
mod retry;
mod router;
pub mod simulate;
mod subset;

pub use affinity::{Affinity, CacheEvent, CacheKind};
pub use balancer::Balancer;
pub use baseline::{Random, RoundRobin};
pub use budget::Budget;
pub use crashes::{
    Crashes, Fingerprint, MAX_CRASHES, OWNERS, Outcome, PROBE_DELAY, Run, Verdict, owners,
};
pub use health::Health;
pub use load::{Load, Report};
pub use quarantine::{Guard, Quarantine};
pub use retry::Retry;
pub use router::Router;
pub use subset::subset;
