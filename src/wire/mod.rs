//! Messages between the fleet's own processes.
//!
//! Length-delimited `prost` frames over TCP. A connection begins with a mutual
//! proof of the fleet secret; after that each frame carries a call number, so
//! calls and answers may cross. Messages are grouped by the area that owns
//! them: `member`, `config`, `limits`, `online` and `batch`, each a message
//! with a `oneof` of its own. An error travels as its kind's code.

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
