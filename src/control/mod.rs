//! The control thread: configuration, membership and the view.
//!
//! `start` runs on the control arbiter. It registers this VM under a lease, replicates the
//! configuration, and publishes the `View` and the `Contact` deadline. Other threads send it
//! commands through a `Handle`.

mod calls;
mod command;
mod compose;
mod driver;
mod handlers;
mod register;
mod serve;
mod settings;
mod sync;
mod write;

pub use crate::config::Precondition;
pub use command::{
    Commands, Fleet, Handle, Member, Resource, Status, Update, Updates, Written, channel,
};
pub use compose::compose;
pub use driver::start;
pub use handlers::Handlers;
pub use settings::{Platform, Settings};
