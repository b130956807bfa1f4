//! Whole processes, assembled from their parts.
//!
//! `entry` and `store` start everything that one VM runs and return a handle
//! with the addresses it listens on. The daemons start one each; the demo and
//! the bench start several in one process.

pub mod entry;
pub mod store;

mod callers;
mod listener;
mod pages;
mod peers;

pub use listener::Listener;
pub use pages::{Readiness, install_metrics};
