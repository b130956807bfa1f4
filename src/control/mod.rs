//! The control thread: configuration, membership and the view.
//!
//! `start` runs on the control arbiter. It registers this VM under a lease,
//! follows the configuration, publishes `View` and keeps `Contact`. Other
//! threads talk to it through a `Handle`.

mod command;
mod compose;
mod register;
mod settings;
mod shell;
mod write;

pub use command::{Expected, Handle, Resource, Status, Update, Written};
pub use compose::compose;
pub use settings::{Platform, Settings};
pub use shell::{Control, start};
