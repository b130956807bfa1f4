//! Fair queueing between organisations.
//!
//! `Queue` makes the scheduling decisions; `Dispatcher` implements `Scheduler` around it.

mod dispatcher;
mod estimate;
mod flow;
mod machine;
mod slots;

pub use dispatcher::Dispatcher;
pub use flow::{Flows, Policy, Waiting};
pub use machine::{Grant, Queue, Refusal};
pub use slots::Limit;
