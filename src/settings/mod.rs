//! Settings files: JSON with comments, read once into checked structs.
//!
//! Every mistake is reported in one line that names the file, the field and
//! the reason. Unknown fields are mistakes.

mod entry;
mod file;
mod log;
mod platform;
mod store;

pub use entry::Entry;
pub use file::{Check, load, parse};
pub use log::{Format, Level, Log};
pub use platform::Platform;
pub use store::Store;
