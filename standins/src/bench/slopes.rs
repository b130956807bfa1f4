//! Control-plane cost of a node as the fleet grows.

use std::fmt::Write;

use parsleybeam::member::simulate::{Slope, slope};

/// Measured fleet sizes, in members.
const SIZES: [usize; 5] = [9, 50, 100, 200, 400];
/// Maximum traffic of a node, in bytes per second.
const MAX_BYTES: f64 = 5_000.0;
/// Maximum CPU use of a node, as a fraction of a core.
const MAX_CORE_SHARE: f64 = 0.031;
/// Maximum time until a change is in force on all nodes, in milliseconds.
const MAX_IN_FORCE_MS: u64 = 9_000;

/// Measures every size with the platform up and down; returns a table and whether all results
/// are within the bounds.
pub fn run(seed: u64) -> (String, bool) {
    let mut text = String::from(
        "members  platform  bytes/s mean  bytes/s most  calls/s  core %  in force ms  out %\n",
    );
    let mut holds = true;
    for members in SIZES {
        for outage in [false, true] {
            let slope = slope(seed, members, outage);
            holds &= within_bounds(&slope);
            write_row(&mut text, &slope);
        }
    }
    (text, holds)
}

fn within_bounds(slope: &Slope) -> bool {
    slope.most_bytes <= MAX_BYTES
        && slope.core_share <= MAX_CORE_SHARE
        && slope.in_force_ms <= MAX_IN_FORCE_MS
        && slope.out_of_contact == 0.0
}

fn write_row(text: &mut String, slope: &Slope) {
    let _ = writeln!(
        text,
        "{:>7}  {:>8}  {:>12.0}  {:>12.0}  {:>7.0}  {:>6.2}  {:>11}  {:>5.2}",
        slope.members,
        if slope.outage { "down" } else { "up" },
        slope.mean_bytes,
        slope.most_bytes,
        slope.platform_calls,
        slope.core_share * 100.0,
        slope.in_force_ms,
        slope.out_of_contact * 100.0,
    );
}
