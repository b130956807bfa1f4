//! Settings files: JSON with comments, read once into checked structs.
//!
//! Every mistake is reported in one line that names the file, the field and
//! the reason. Unknown fields are mistakes.

mod entry;
mod file;
mod log;
mod platform;
mod serve;
mod standby;
mod store;

pub use entry::Entry;
pub use file::{Check, load, parse};
pub use log::{Format, Level, Log};
pub use platform::Platform;
pub use serve::{Bounds, Serve};
pub use standby::Standby;
pub use store::Store;
