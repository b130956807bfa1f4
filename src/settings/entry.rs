//! Settings of an entry VM.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Check, Log, Platform};
use crate::id::{DataCentre, Vm};

/// Settings of `parsleybeam-entry`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of this VM.
    pub vm: Vm,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address that operators connect to.
    pub operator: SocketAddr,
    /// Address that the fleet's own processes connect to.
    pub peer: SocketAddr,
    /// Secret by which the processes of the fleet authenticate each other.
    pub fleet_secret: String,
    /// SHA-256 digests of the operators' credentials, in hexadecimal.
    pub operators: Vec<String>,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Peer addresses to contact if the platform is unreachable at start-up.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads that serve callers.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Maximum request body size, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
}

fn default_threads() -> usize {
    2
}

fn default_body_limit() -> usize {
    1 << 20
}

/// Maximum number of worker threads; a small VM can't use more.
const MAX_THREADS: usize = 64;
/// Minimum length of the fleet secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Length of a SHA-256 digest in hexadecimal digits.
const SHA256_HEX_CHARS: usize = 64;

impl Check for Entry {
    fn check(&self) -> Result<(), (&'static str, String)> {
        if self.vm.as_str().is_empty() {
            return Err(("vm", "must not be empty".into()));
        }
        if self.data_centre.as_str().is_empty() {
            return Err(("data_centre", "must not be empty".into()));
        }
        super::file::check_secret(&self.fleet_secret, MIN_SECRET_BYTES)?;
        if !(1..=MAX_THREADS).contains(&self.threads) {
            return Err(("threads", format!("must be from 1 to {MAX_THREADS}")));
        }
        if self.body_limit == 0 {
            return Err(("body_limit", "must be at least 1".into()));
        }
        if self.platform.key_value.is_empty() {
            return Err(("platform.key_value", "needs at least one address".into()));
        }
        let hex = |text: &String| {
            text.len() == SHA256_HEX_CHARS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
        };
        if !self.operators.iter().all(hex) {
            return Err(("operators", "each must be a SHA-256 in hexadecimal".into()));
        }
        Ok(())
    }
}
