//! Exact distributed rate limiting.
//!
//! Tokens are conserved, never estimated: each VM spends from slices that add up to at most the
//! organisation's rate and burst. A `Table` assigns the slices, a `Holder` spends and lends them,
//! a `Publisher` decides when a changed table takes effect, and `Shares` implements `Limiter` on
//! top of them.

mod bucket;
mod buckets;
mod codec;
mod follow;
mod holder;
mod publisher;
mod shares;
mod split;
mod table;

pub use bucket::{Bucket, REFUND_WINDOW, Slice, TOKEN};
pub use buckets::{Buckets, Denial, LOAN_TTL};
pub use follow::follow;
pub use holder::{Holder, Queries, Report, VALIDITY};
pub use publisher::{Publisher, allocate, allocate_per_home, next_table};
pub use shares::Shares;
pub use split::{Split, quota};
pub use table::{Allocation, Table};
