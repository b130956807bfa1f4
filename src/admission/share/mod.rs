//! Rates and bursts that hold exactly over all VMs together.
//!
//! Tokens are conserved, never estimated: each VM spends from slices that sum
//! to at most the organisation's rate and burst. A `Table` names the slices,
//! a `Holder` spends and lends them, a `Publisher` decides when a changed
//! table takes effect, and `Shares` is the `Gate` around them.

mod bucket;
mod codec;
mod equal;
mod follow;
mod holder;
mod ledger;
mod publisher;
mod shares;
mod table;

pub use bucket::{Bucket, GIVE_BACK, Slice, TOKEN};
pub use equal::{Equal, whole};
pub use follow::follow;
pub use holder::{Holder, Questions, Report, VALIDITY};
pub use ledger::{LOAN, Ledger, Shortage};
pub use publisher::{Publisher, divide, holders, next_table};
pub use shares::Shares;
pub use table::{Holding, Table};
