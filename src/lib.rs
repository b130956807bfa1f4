//! parsleybeam serves online and batch inference from a shared fleet.
//!
//! Admission, routing, retries, shares, segments and membership are state
//! machines without I/O that take `now` and an event and return actions. The
//! daemons, scenario tests and randomised simulations run the same code.

#[macro_use]
pub mod derive;

pub mod admission;
pub mod api;
pub mod batch;
pub mod claim;
pub mod clock;
pub mod config;
pub mod context;
pub mod control;
pub mod drain;
pub mod error;
pub mod event;
pub mod filter;
pub mod id;
pub mod kv;
pub mod log;
pub mod member;
pub mod node;
pub mod order;

pub mod route;
pub mod segment;
pub mod serve;
pub mod settings;
pub mod simulate;
pub mod store;
pub mod stream;
pub mod trace;
pub mod transport;
pub mod upstream;
pub mod view;
pub mod wire;
