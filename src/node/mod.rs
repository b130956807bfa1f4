//! Processes of the fleet, assembled from their components.
//!
//! `entry` and `store` start all components of one VM and return a handle with
//! the addresses it listens on. A daemon starts one of them; the demo and the
//! benchmark start several in one process.

pub mod entry;
pub mod store;

mod callers;
mod listener;
mod pages;
mod peers;

pub use listener::Listener;
pub use pages::{Readiness, install_metrics, keep_metrics};
