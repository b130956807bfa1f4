//! Protocol between the processes of the fleet.
//!
//! Length-delimited `prost` frames over TCP. A connection begins with mutual
//! authentication by the fleet secret. After that, each frame carries a call
//! number, so calls may be pipelined and answered out of order. Messages are
//! grouped by subsystem: `member`, `config`, `limits`, `online` and `batch`,
//! each with a `oneof` of its own. An error is sent as the code of its kind.

pub mod batch;
pub mod config;
pub mod limits;
pub mod member;
pub mod online;

mod client;
mod codec;
mod dispatcher;
mod frame;
mod proof;
mod server;

pub use client::{Client, Pool};
pub use codec::Codec;
pub use dispatcher::Dispatcher;
pub use frame::{Body, Fault, Frame, Hello, Proof};
pub use server::{Handler, Peer, Server};
