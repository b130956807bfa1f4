//! Measures the control-plane overhead per node as the fleet grows, on the
//! state machines of the daemons.

use std::time::Instant;

use super::world::{Options, World};

/// Control-plane overhead of one fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Number of members of the fleet.
    pub members: usize,
    /// Whether the platform was down during the measurement.
    pub outage: bool,
    /// Frame bytes sent and received per second by the average node.
    pub mean_bytes: f64,
    /// Frame bytes sent and received per second by the busiest node.
    pub most_bytes: f64,
    /// Calls per second to the key-value service by the whole fleet.
    pub platform_calls: f64,
    /// Fraction of a CPU core used per node, including its share of the
    /// simulation's own work.
    pub core_share: f64,
    /// Longest time from acceptance of a change until every VM in contact had
    /// it, in milliseconds.
    pub in_force_ms: u64,
    /// Fraction of VM-steps spent out of contact.
    pub out_of_contact: f64,
}

/// Steps in which the fleet forms before the measurement.
const WARM_UP_STEPS: u32 = 400;
/// Number of measured steps.
const MEASURED_STEPS: u32 = 400;
/// Number of data centres of a large fleet.
const LARGE_FLEET_DATA_CENTRES: usize = 5;
/// Number of data centres of a small fleet.
const SMALL_FLEET_DATA_CENTRES: usize = 3;
/// Largest number of members of a small fleet.
const SMALL_FLEET_MEMBERS: usize = 9;

/// Measures one fleet under the specified write rate of about 11,000 a day.
pub fn slope(seed: u64, members: usize, outage: bool) -> Slope {
    let data_centres = if members <= SMALL_FLEET_MEMBERS {
        SMALL_FLEET_DATA_CENTRES
    } else {
        LARGE_FLEET_DATA_CENTRES
    };
    let options = Options {
        data_centres,
        vms_per_centre: members / data_centres,
        faults_per_mille: 0,
        writes_per_mille: if outage { 0 } else { 6 },
        ..Options::default()
    };
    let mut world = World::new(seed, options);
    world.run_without_faults(WARM_UP_STEPS);
    if outage {
        world.start_permanent_outage();
        world.run_without_faults(WARM_UP_STEPS / 4);
    }
    world.reset_usage();
    let started_at = Instant::now();
    world.run_without_faults(MEASURED_STEPS);
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let seconds = super::world::STEP.as_secs_f64() * f64::from(MEASURED_STEPS);
    let count = world.nodes.len();
    let bytes = |index: usize| world.usage.bytes.get(index).copied().unwrap_or(0) as f64;
    let total: f64 = (0..count).map(bytes).sum();
    let max_bytes = (0..count).map(bytes).fold(0.0, f64::max);
    let steps = (world.report.in_contact + world.report.out_of_contact).max(1);
    Slope {
        members: count,
        outage,
        mean_bytes: total / seconds / count as f64,
        most_bytes: max_bytes / seconds,
        platform_calls: world.usage.platform_calls as f64 / seconds,
        core_share: elapsed_s / seconds / count as f64,
        in_force_ms: world.report.longest_spread_ms,
        out_of_contact: world.report.out_of_contact as f64 / steps as f64,
    }
}
