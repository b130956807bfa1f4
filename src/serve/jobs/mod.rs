//! Batch jobs, stored in the platform's key-value service.
//!
//! | key | value | written |
//! |---|---|---|
//! | `job/ID/listing/head` | metadata: organisation, number of items | once, on acceptance |
//! | `job/ID/spec/N` | chunk N of the items | with the head |
//! | `job/ID/listing/result/N` | result at position N | once |
//! | `job/ID/partial/N` | partial output and failed attempts of item N | on a planned stop of the owner, and after each attempt that an upstream failed |
//! | `job/ID/ended` | empty | once, when the caller cancels the job |
//! | `pending/ID` | owner and number of tokens | exists while items remain |
//!
//! The VM that accepts a job owns it and runs its items. Every write of results
//! requires `pending/ID` to have the version that the owner last saw. This
//! fences off a VM that lost the job to another one, and a job that was
//! cancelled takes no further results. A result never changes its position or
//! content once it is written.

mod cache;
mod calls;
mod directory;
mod dispatch;
mod ended;
mod failure;
mod handover;
mod job;
mod manager;
mod page;
mod read;
mod record;
mod results;
mod run;
mod schedule;
mod takeover;

pub use cache::{Cache, Summary};
pub use directory::Directory;
pub use dispatch::interrupt_count;
pub use ended::Ended;
pub use job::{Cause, Job, Ready, Snapshot, State, Status, Task, Times};
pub use manager::{Jobs, unix_ms};
pub(super) use page::MAX_PAGE_BYTES;
pub use page::{Cut, Encoder, Loaded, Page, Pages, Pin, Slices};
pub use record::{Head, Header, Item, ItemResult, Outcome, PENDING_PREFIX, Partial, Pending, Spec};
pub use run::{AttemptOutcome, Progress};
pub use schedule::{Rank, expected_end};
