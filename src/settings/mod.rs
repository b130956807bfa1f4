//! Settings files: JSON with comments, parsed into validated structs.
//!
//! An error is reported in one line with the file, the field and the reason.
//! Unknown fields are errors.

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
pub use serve::{Bounds, Rates, Serve};
pub use standby::Standby;
pub use store::Store;
