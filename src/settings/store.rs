//! Settings of a store VM.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::{Check, Log, Platform};
use crate::id::{DataCentre, Vm};

/// Settings of `parsleybeam-store`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Name of this VM.
    pub vm: Vm,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Address that the fleet's own processes connect to.
    pub peer: SocketAddr,
    /// Address of the health and metrics endpoints.
    pub operator: SocketAddr,
    /// Secret by which the processes of the fleet authenticate each other.
    pub fleet_secret: String,
    /// Data directory; it must exist.
    pub data: PathBuf,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
}

/// Minimum length of the fleet secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

impl Check for Store {
    fn check(&self) -> Result<(), (&'static str, String)> {
        if self.vm.as_str().is_empty() {
            return Err(("vm", "must not be empty".into()));
        }
        super::file::check_secret(&self.fleet_secret, MIN_SECRET_BYTES)?;
        if self.platform.key_value.is_empty() {
            return Err(("platform.key_value", "needs at least one address".into()));
        }
        Ok(())
    }
}
