//! Fair queues over organisations until an upstream has room.
//!
//! `Queue` decides; `Dispatcher` is the `Scheduler` that requests wait in.

mod dispatcher;
mod estimate;
mod flow;
mod machine;
mod slots;

pub use dispatcher::Dispatcher;
pub use flow::{Policy, Waiting};
pub use machine::{Grant, Queue, Refusal};
pub use slots::Limit;
