//! The store process, which holds replicas of segments.
//!
//! `Engine` owns the disk and all segments and runs on a dedicated thread: it
//! takes all queued commands, writes their changes to disk with one fsync and
//! only then sends responses and messages. `Store` is the asynchronous side:
//! it answers peers, sends the messages that the engine requests and updates
//! replica sets in the platform's service.

mod command;
mod engine;
mod page;
mod segment;
mod service;
mod supervisor;

pub use command::{Command, Output};
pub use engine::Engine;
pub use service::{Store, start};
