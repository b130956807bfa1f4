//! Rates and bursts that hold exactly over all VMs together.
//!
//! Tokens are conserved, never estimated: each VM spends from slices that sum
//! to at most the organisation's rate and burst.

mod bucket;
mod equal;
mod ledger;

pub use bucket::{Bucket, GIVE_BACK, Slice, TOKEN};
pub use equal::Equal;
pub use ledger::{LOAN, Ledger, Shortage};
