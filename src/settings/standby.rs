//! Settings of `parsleybeam-standby`.

use serde::{Deserialize, Serialize};

use super::{Check, Log};
use crate::id::Vm;

/// Settings of a standby storage VM, which holds no data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Standby {
    /// Name of this VM.
    pub vm: Vm,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
}

impl Check for Standby {
    fn check(&self) -> Result<(), (&'static str, String)> {
        if self.vm.as_str().is_empty() {
            return Err(("vm", "must not be empty".into()));
        }
        self.log.check()
    }
}
