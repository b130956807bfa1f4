//! Small stand-ins for the external systems that parsleybeam talks to.
//!
//! Each stand-in runs on its own thread, started with `start`, and listens on a
//! loopback port. Faults are injected through its `Handle` when it is embedded,
//! and with `POST /standin/faults` when it runs as a process.

pub mod bench;
pub mod engine;
pub mod faults;
pub mod kv;
pub mod log;
pub mod plain;
pub mod platform;
pub mod process;
pub mod record;
pub mod server;
pub mod soak;
pub mod vms;
pub mod weights;

pub use faults::Faults;
pub use server::Handle;
