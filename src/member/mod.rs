//! Membership, failure detection and replication of the configuration, as one state machine per
//! VM that performs no I/O.
//!
//! `Machine` holds the configuration `Cache`, the member `Table` and the `Observations` that allow
//! this VM to act on them; a VM is in contact while they are valid. `control::driver` performs the
//! actions that it returns and passes the answers back; `simulate` drives many machines on a
//! virtual clock.

mod acceptance;
mod hubs;
mod machine;
mod observations;
mod pushes;
mod roster;
mod table;
mod tokens;

pub mod simulate;

pub use acceptance::{ACK_VALIDITY, Acknowledgements};
pub use hubs::Hubs;
pub use machine::{Action, Machine};
pub use observations::{CONTACT_VALIDITY, Observation, Observations};
pub use roster::Roster;
pub use table::{Description, Record, TABLE_KEY, Table, is_deregistered, read_members, vm_key};
