//! The users' new machines: their key-value service and their replicas, as
//! their protocol page describes them.

pub mod caller;
pub mod entries;
pub mod replica;
pub mod store;
