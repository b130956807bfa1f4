//! Where a request goes: choice of upstream, ejection, prefix affinity,
//! retries and the quarantine of requests that crash upstreams.
//!
//! `Course`, `Budget`, `Poison`, `Health`, `Affinity` and `Balance` decide and
//! assert their invariants; `Quarantine` and `poll` bring them the fleet's
//! messages. `simulate` drives the same decisions at random.
//!
//! Whoever else sends requests of callers (batch) keeps to the same rules by
//! three calls: `Quarantine::begin` before a run, whose `Guard` is told the
//! address it goes to (`sent`) and how it ended (`whole`, `died`, or dropped);
//! `Course::send` before each send; and `Course::failed` after each failure.

mod affinity;
mod balance;
mod baseline;
mod budget;
mod course;
mod health;
mod load;
mod poison;
mod poll;
mod quarantine;
mod router;
pub mod simulate;
mod subset;

pub use affinity::{Affinity, CacheEvent, CacheKind};
pub use balance::Balance;
pub use baseline::{Random, RoundRobin};
pub use budget::Budget;
pub use course::Course;
pub use health::Health;
pub use load::{Load, Report};
pub use poison::{
    Fingerprint, KEEPERS, LINGER, LOSS_LIMIT, Outcome, Poison, Run, Verdict, keepers,
};
pub use quarantine::{Guard, Quarantine};
pub use router::Router;
pub use subset::subset;
