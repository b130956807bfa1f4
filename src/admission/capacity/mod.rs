//! Capacity of upstreams, respected by all entry VMs together.
//!
//! Each upstream has one owner among the entry VMs (rendezvous hashing), which
//! leases its slots in bulk to the VMs that want them. `Owner` and `Lessee`
//! decide; `follow` carries their messages.

mod follow;
mod lessee;
mod owner;
mod plan;

pub use follow::{Capacity, follow};
pub use lessee::{FALLBACK_AFTER, LEASE, Lessee};
pub use owner::{LEASE_HELD, Owner, Want};
pub use plan::{fallback, owner_of};
