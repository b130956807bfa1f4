//! The operators' configuration: resources, their validation and their replication.
//!
//! Each resource is one key in the platform's key-value service. A `Cache` holds the complete
//! configuration up to a version that only increases. Deletions are kept as tombstones, so that
//! an older state can neither revert a write nor restore a deleted resource.

pub mod resource;

mod cache;
mod document;
mod stored;
mod validate;
mod write;

pub use cache::{Cache, Delta, Item, Outcome, Revision};
pub use document::{Document, read_documents};
pub use stored::{Id, Record};
pub use validate::{check, check_name, read_spec};
pub use write::{Precondition, Step, Write};
