//! What one node spends as the fleet grows, measured on the real machines.

use std::time::Instant;

use super::world::{Options, World};

/// What nodes spent in one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Members of the fleet.
    pub members: usize,
    /// Whether the platform was down while this was measured.
    pub outage: bool,
    /// Bytes of frames sent and received, a second, of an average node.
    pub mean_bytes: f64,
    /// The same of the busiest node.
    pub most_bytes: f64,
    /// Calls to the key-value service a second, of the whole fleet.
    pub platform_calls: f64,
    /// Share of a core that a node uses, with its part of the run's own work.
    pub core_share: f64,
    /// Longest time from acceptance until every VM held a change, in
    /// milliseconds.
    pub in_force_ms: u64,
    /// VM-steps out of contact, as a share of all.
    pub out_of_contact: f64,
}

/// Steps that a fleet is given to form.
const WARM_UP_STEPS: u32 = 400;
/// Steps that are measured.
const MEASURED_STEPS: u32 = 400;
/// Data centres of a large fleet.
const DATA_CENTRES: usize = 5;
/// Data centres of a fleet of today.
const DATA_CENTRES_TODAY: usize = 3;
/// Members up to which a fleet counts as one of today.
const MEMBERS_TODAY: usize = 9;

/// Measures one fleet; writes come at the letter's rate, 11,000 a day.
pub fn slope(seed: u64, members: usize, outage: bool) -> Slope {
    let data_centres = if members <= MEMBERS_TODAY { DATA_CENTRES_TODAY } else { DATA_CENTRES };
    let options = Options {
        data_centres,
        vms_per_centre: members / data_centres,
        faults_per_mille: 0,
        writes_per_mille: if outage { 0 } else { 6 },
        ..Options::default()
    };
    let mut world = World::new(seed, options);
    world.pass(WARM_UP_STEPS);
    if outage {
        world.outage_without_end();
        world.pass(WARM_UP_STEPS / 4);
    }
    world.reset_meters();
    let begun = Instant::now();
    world.pass(MEASURED_STEPS);
    let spent = begun.elapsed().as_secs_f64();
    let seconds = super::world::STEP.as_secs_f64() * f64::from(MEASURED_STEPS);
    let count = world.nodes.len();
    let bytes = |index: usize| world.meters.bytes.get(index).copied().unwrap_or(0) as f64;
    let total: f64 = (0..count).map(bytes).sum();
    let most = (0..count).map(bytes).fold(0.0, f64::max);
    let steps = (world.report.in_contact + world.report.out_of_contact).max(1);
    Slope {
        members: count,
        outage,
        mean_bytes: total / seconds / count as f64,
        most_bytes: most / seconds,
        platform_calls: world.meters.platform_calls as f64 / seconds,
        core_share: spent / seconds / count as f64,
        in_force_ms: world.report.longest_spread_ms,
        out_of_contact: world.report.out_of_contact as f64 / steps as f64,
    }
}
