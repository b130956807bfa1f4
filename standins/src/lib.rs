//! Small stand-ins for the systems that parsleybeam meets.
//!
//! Each stand-in starts on a thread of its own with `start`, answers on a
//! loopback port and can be told to fail: by its handle when embedded, by
//! `POST /standin/faults` when it runs as a process.

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
