//! Batch jobs, kept in the platform's key-value service.
//!
//! | key | value | written |
//! |---|---|---|
//! | `job/ID/listing/head` | organisation, number of items | once, when it is accepted |
//! | `job/ID/spec/N` | its items, in chunks | with the head |
//! | `job/ID/listing/result/N` | the result at position N | once, when it is listed |
//! | `job/ID/partial/N` | what item N has so far | when its owner leaves as planned |
//! | `job/ID/ended` | empty | once, when its caller ends it |
//! | `pending/ID` | owner, size | while items are left |
//!
//! The VM that accepts a job owns it and runs its items. Every result is
//! written under the condition that `pending/ID` is as the owner last saw it,
//! so a VM that lost the job to another, or a job that was ended, takes no
//! further results. A position exists once it is written, and never changes.

mod cache;
mod calls;
mod directory;
mod dispatch;
mod handover;
mod job;
mod manager;
mod record;
mod run;
mod takeover;

pub use cache::{Cache, Listing};
pub use directory::Directory;
pub use dispatch::interrupt_count;
pub use job::{Job, Snapshot, State, Status, Task, Times};
pub use manager::Jobs;
pub use record::{Head, Header, Item, ItemResult, Outcome, PENDING_PREFIX, Partial, Pending, Spec};
pub use run::{AttemptOutcome, Progress};
