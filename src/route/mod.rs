//! Where a request goes: choice of upstream, ejection, prefix affinity,
//! retries and the quarantine of requests that crash upstreams.
//!
//! `Retry`, `Budget`, `Crashes`, `Health`, `Affinity` and `Balancer` decide and
//! assert their invariants; `Quarantine` and `poll` bring them the fleet's
//! messages. `simulate` drives the same decisions at random.
//!
//! Whoever else sends requests of callers (batch) keeps to the same rules by
//! three calls: `Quarantine::begin` before a run, whose `Guard` is told the
//! address it goes to (`sent`) and how it ended (`whole`, `died`, or dropped);
//! `Retry::send` before each send; and `Retry::failed` after each failure.

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
