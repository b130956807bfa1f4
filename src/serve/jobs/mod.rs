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

mod archive;
mod calls;
mod directory;
mod dispatch;
mod handover;
mod owner;
mod record;
mod run;
mod shell;
mod takeover;

pub use archive::{Archive, Listing};
pub use directory::Directory;
pub use dispatch::to_interrupt;
pub use owner::{Job, Next, Settled, State, Stored, Times};
pub use record::{Head, Header, Item, Listed, Outcome, PENDING_PREFIX, Partial, Pending, Spec};
pub use run::{Ended, Progress};
pub use shell::Jobs;
