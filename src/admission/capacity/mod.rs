//! Capacity of upstreams, respected by all entry VMs together.
//!
//! Each upstream has one owner among the entry VMs (rendezvous hashing), which
//! leases its slots in bulk to the VMs that want them. `Owner` and `Lessee`
//! decide; `follow` carries their messages.

mod lessee;
mod owner;
mod ownership;
mod renew;

pub use lessee::{FALLBACK_AFTER, LEASE_TTL, Lessee};
pub use owner::{Demand, OWNER_LEASE_TTL, Owner};
pub use ownership::{fallback, owner_of};
pub use renew::{Owners, renew};
