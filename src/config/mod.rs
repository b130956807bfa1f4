//! The operators' configuration: resources, their validation and their spread.
//!
//! Each resource is one key of the platform's service. A `Cache` holds a
//! complete state up to a version that only rises; deletions are kept as
//! tombstones, so that an older state can neither revert nor resurrect.

pub mod resource;

mod cache;
mod document;
mod stored;
mod validate;
mod write;

pub use cache::{Adopted, Cache, Delta, Item, Revision};
pub use document::{Document, read_documents};
pub use stored::{Id, Record};
pub use validate::{check, check_name, read_spec};
pub use write::{Precondition, Step, Write};
