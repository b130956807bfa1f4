//! Settings of `parsleybeam-serve`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Check, Log};
use crate::id::{DataCentre, Vm};

/// Settings of an entry VM on the users' machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serve {
    /// Name of this VM.
    pub vm: Vm,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address at which callers ask for addresses.
    pub addresses: SocketAddr,
    /// Address for datagrams of other VMs.
    pub peer: SocketAddr,
    /// Address for calls of other VMs, and of the metrics page.
    pub relay: SocketAddr,
    /// Address of the platform's key-value service.
    pub key_value: SocketAddr,
    /// What this VM can carry, relative to others.
    pub weight: f64,
    /// Bounds that the operator was promised.
    pub bounds: Bounds,
    /// How the process logs.
    #[serde(default)]
    pub log: Log,
}

/// Bounds that the operator was promised.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time until a configuration is in force everywhere, in milliseconds.
    pub configuration_ms: u64,
    /// Time until a withdrawn key is refused everywhere, in milliseconds.
    pub withdrawal_ms: u64,
    /// Time until a leaving upstream gets no more requests, in milliseconds.
    pub leaving_upstream_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub stop_s: f64,
    /// Longest lifetime of an answer with addresses, in seconds.
    pub addresses_lifetime_s: f64,
    /// Window over which rates are counted, in seconds.
    pub rate_window_s: f64,
    /// Tolerated share above a rate's bound.
    pub rate_overrun: f64,
    /// Tolerated requests above that.
    pub rate_slack: f64,
    /// Time for which a job's results can be read, in seconds.
    pub results_s: f64,
}

/// Safety margin of `Bounds::max_key_age`.
const TRUST_MARGIN: Duration = Duration::from_millis(250);
/// Longest pause between two reads of the store.
const MAX_POLL: Duration = Duration::from_millis(900);
/// Shortest pause between two reads of the store.
const MIN_POLL: Duration = Duration::from_millis(100);

impl Bounds {
    /// Age of the store's last answer up to which keys are trusted.
    pub fn max_key_age(self) -> Duration {
        Duration::from_millis(self.withdrawal_ms).saturating_sub(TRUST_MARGIN)
    }

    /// Pause between two reads of the store, so that a change is seen in half its bound.
    pub fn poll_interval(self) -> Duration {
        let shortest = self.configuration_ms.min(self.leaving_upstream_ms).min(self.withdrawal_ms);
        (Duration::from_millis(shortest) / 2).clamp(MIN_POLL, MAX_POLL)
    }
}

impl Check for Serve {
    fn check(&self) -> Result<(), (&'static str, String)> {
        if self.vm.as_str().is_empty() {
            return Err(("vm", "must not be empty".into()));
        }
        if self.data_centre.as_str().is_empty() {
            return Err(("data_centre", "must not be empty".into()));
        }
        if !(self.weight.is_finite() && self.weight > 0.0) {
            return Err(("weight", format!("is {}, must be above 0", self.weight)));
        }
        let bounds = &self.bounds;
        let spans = [
            ("bounds.stop_s", bounds.stop_s),
            ("bounds.addresses_lifetime_s", bounds.addresses_lifetime_s),
            ("bounds.rate_window_s", bounds.rate_window_s),
        ];
        for (field, span) in spans {
            if !(span.is_finite() && span > 0.0) {
                return Err((field, format!("is {span}, must be above 0")));
            }
        }
        if bounds.rate_overrun < 0.0 || bounds.rate_slack < 0.0 {
            return Err(("bounds.rate_overrun", "tolerances must not be negative".into()));
        }
        self.log.check()
    }
}
