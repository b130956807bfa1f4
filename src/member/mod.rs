//! Membership, contact and the spread of the configuration, as one plain
//! state machine per VM.
//!
//! `Machine` holds the configuration's `Cache`, the `Table` of members and the
//! `Evidence` that allows this VM to act on them. Its shell in `control` sends
//! what it asks for and brings the answers; `simulate` drives many of them on
//! a virtual clock.

mod acceptance;
mod evidence;
mod hubs;
mod machine;
mod pushes;
mod roster;
mod table;
mod tokens;

pub mod simulate;

pub use acceptance::{ANSWER_BOUND, Holders};
pub use evidence::{CONTACT_BOUND, Evidence, Proof};
pub use hubs::Hubs;
pub use machine::{Action, Machine};
pub use roster::Roster;
pub use table::{Description, Stored, TABLE_KEY, Table, describe, has_departed, vm_key};
