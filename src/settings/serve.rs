//! Settings of `parsleybeam-serve`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Check, Log};
use crate::id::{DataCentre, Vm};
use crate::serve::freshness::Terms;

/// Settings of an entry VM that runs `parsleybeam-serve`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serve {
    /// Name of this VM.
    pub vm: Vm,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Address at which callers request the addresses of entry VMs.
    pub addresses: SocketAddr,
    /// Address that receives datagrams of other VMs, and by TCP their tunnels to upstreams.
    pub peer: SocketAddr,
    /// Address that receives calls of other VMs and serves the metrics endpoint.
    pub relay: SocketAddr,
    /// Address of the platform's key-value service.
    pub key_value: SocketAddr,
    /// Capacity of this VM relative to others.
    pub weight: f64,
    /// Memory that this process may use, in megabytes; none: not bounded.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Bounds guaranteed to the operator.
    pub bounds: Bounds,
    /// Rate limits of organisations.
    #[serde(default)]
    pub rates: Rates,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
}

/// Bounds guaranteed to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time until a configuration change is in effect on all VMs, in milliseconds.
    pub configuration_ms: u64,
    /// Time until a withdrawn key is refused by all VMs, in milliseconds.
    pub withdrawal_ms: u64,
    /// Time until a leaving upstream gets no more requests, in milliseconds.
    pub leaving_upstream_ms: u64,
    /// Time without a failure after which a VM counts as in contact with the key-value service
    /// again, in milliseconds. Until then the bounds don't bind it.
    pub contact_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub stop_s: f64,
    /// Maximum lifetime of a response with addresses, in seconds.
    pub addresses_lifetime_s: f64,
    /// Window over which rates are measured, in seconds.
    pub rate_window_s: f64,
    /// Tolerated excess over a rate limit, as a fraction of the limit.
    pub rate_overrun: f64,
    /// Tolerated number of requests beyond `rate_overrun`.
    pub rate_slack: f64,
    /// Retention time of a job's results, in seconds.
    pub results_s: f64,
    /// Time until an evacuated data centre's upstreams get no more requests, in milliseconds;
    /// none: evacuations are not followed.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// Tolerated excess over the rate of a cold upstream, as a factor; none: upstreams are
    /// never cold.
    #[serde(default)]
    pub cold_overrun: Option<f64>,
    /// Tolerated number of requests a second beyond `cold_overrun`.
    #[serde(default)]
    pub cold_slack: Option<f64>,
}

/// Switches of rate limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rates {
    /// Whether holders of buckets hand them over to their successors.
    pub hand_over: bool,
}

/// Safety margin of `Bounds::max_key_age`.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(250);
/// Maximum interval between reads of the key-value service.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(900);
/// Minimum of the bounds of sends, and of the time until a VM is in contact again.
const MIN_BOUND: Duration = Duration::from_millis(500);
/// Minimum interval between reads of the key-value service.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl Bounds {
    /// Returns the maximum age of the key-value service's last response for keys to be accepted.
    pub fn max_key_age(self) -> Duration {
        Duration::from_millis(self.withdrawal_ms).saturating_sub(KEY_AGE_MARGIN)
    }

    /// Returns the terms on which requests are sent: the shortest promise about what gets them.
    pub fn send_terms(self) -> Terms {
        let bound_ms = self.leaving_upstream_ms.min(self.configuration_ms);
        let bound_ms = bound_ms.min(self.evacuation_ms.unwrap_or(u64::MAX));
        Terms {
            bound: Duration::from_millis(bound_ms),
            contact: Duration::from_millis(self.contact_ms),
        }
    }

    /// Returns the interval between reads of the key-value service: half the shortest bound,
    /// so that a change is seen in time.
    pub fn poll_interval(self) -> Duration {
        let shortest_bound =
            self.configuration_ms.min(self.leaving_upstream_ms).min(self.withdrawal_ms);
        let shortest_bound = shortest_bound.min(self.evacuation_ms.unwrap_or(u64::MAX));
        (Duration::from_millis(shortest_bound) / 2).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
    }
}

impl Bounds {
    /// Checks the bounds of cold upstreams and evacuations.
    fn check_cold(&self) -> Result<(), (&'static str, String)> {
        if self.evacuation_ms == Some(0) {
            return Err(("bounds.evacuation_ms", "must be above 0".into()));
        }
        if self.cold_overrun.is_some_and(|factor| !(factor.is_finite() && factor >= 1.0)) {
            return Err(("bounds.cold_overrun", "must be 1 or more".into()));
        }
        if self.cold_slack.is_some_and(|slack| !(slack.is_finite() && slack >= 0.0)) {
            return Err(("bounds.cold_slack", "must not be negative".into()));
        }
        if self.cold_slack.is_some() != self.cold_overrun.is_some() {
            return Err(("bounds.cold_slack", "is given with bounds.cold_overrun only".into()));
        }
        Ok(())
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
        let durations = [
            ("bounds.stop_s", bounds.stop_s),
            ("bounds.addresses_lifetime_s", bounds.addresses_lifetime_s),
            ("bounds.rate_window_s", bounds.rate_window_s),
        ];
        for (field, duration) in durations {
            if !(duration.is_finite() && duration > 0.0) {
                return Err((field, format!("is {duration}, must be above 0")));
            }
        }
        if bounds.rate_overrun < 0.0 || bounds.rate_slack < 0.0 {
            return Err(("bounds.rate_overrun", "tolerances must not be negative".into()));
        }
        bounds.check_cold()?;
        let shortest = bounds.send_terms().bound.min(Duration::from_millis(bounds.contact_ms));
        if shortest < MIN_BOUND {
            let detail = format!("bounds below {} ms can't be kept", MIN_BOUND.as_millis());
            return Err(("bounds.leaving_upstream_ms", detail));
        }
        if self.memory_mb.is_some_and(|mb| !(mb.is_finite() && mb > 0.0)) {
            return Err(("memory_mb", "must be above 0".into()));
        }
        self.log.check()
    }
}
