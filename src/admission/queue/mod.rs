//! Fair queues over organisations until an upstream has room.
//!
//! `Queue` decides; `Fair` is the `Line` that requests wait in.

mod estimate;
mod fair;
mod flow;
mod machine;
mod slots;

pub use fair::Fair;
pub use flow::{Order, Waiting};
pub use machine::{Grant, Queue, Refusal};
pub use slots::Slot;
