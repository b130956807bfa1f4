//! Concurrency limits of upstreams across all entry VMs.
//!
//! Each upstream has one owner among the entry VMs, chosen by rendezvous hashing, which leases its
//! slots in bulk to the VMs that need them. `Owner` and `Lessee` make the decisions; `renew`
//! exchanges their messages.

mod lessee;
mod owner;
mod ownership;
mod renew;

pub use lessee::{FALLBACK_AFTER, LEASE_TTL, Lessee};
pub use owner::{Demand, OWNER_LEASE_TTL, Owner};
pub use ownership::{fallback, owner_of};
pub use renew::{Owners, renew};
