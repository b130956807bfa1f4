//! The store process's own parts.
//!
//! `Engine` owns the disk and every segment and runs on a thread of its own:
//! it takes all commands that wait, makes their changes durable with one
//! fsync and only then lets answers and messages out. `Store` is the
//! asynchronous side: it answers peers, sends what the engine wants sent and
//! keeps replica sets in the platform's service.

mod command;
mod engine;
mod page;
mod part;
mod shell;
mod supervisor;

pub use command::{Command, Output};
pub use engine::Engine;
pub use shell::{Store, start};
