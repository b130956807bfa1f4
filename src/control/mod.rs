//! The control thread: configuration, membership and the view.
//!
//! `start` runs on the control arbiter. It registers this VM under a lease,
//! follows the configuration, publishes `View` and keeps `Contact`. Other
//! threads talk to it through a `Handle`.

mod calls;
mod command;
mod compose;
mod follow;
mod handlers;
mod register;
mod serve;
mod settings;
mod shell;
mod write;

pub use crate::config::Precondition;
pub use command::{
    Commands, Fleet, Handle, Member, Resource, Status, Update, Updates, Written, channel,
};
pub use compose::compose;
pub use handlers::Handlers;
pub use settings::{Platform, Settings};
pub use shell::start;
