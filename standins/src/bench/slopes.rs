//! What a node spends on control as the fleet grows.

use std::fmt::Write;

use parsleybeam::member::simulate::{Slope, slope};

/// Sizes that are measured, in members.
const SIZES: [usize; 5] = [9, 50, 100, 200, 400];
/// Bytes that a node may spend in a second.
const MOST_BYTES: f64 = 5_000.0;
/// Share of a core that a node may use.
const MOST_CORE_SHARE: f64 = 0.031;
/// Time within which a change must be in force everywhere, in milliseconds.
const MOST_IN_FORCE_MS: u64 = 9_000;

/// Measures every size, with the platform up and down, and says whether the
/// bounds hold.
pub fn run(seed: u64) -> (String, bool) {
    let mut text = String::from(
        "members  platform  bytes/s mean  bytes/s most  calls/s  core %  in force ms  out %\n",
    );
    let mut holds = true;
    for members in SIZES {
        for outage in [false, true] {
            let slope = slope(seed, members, outage);
            holds &= keeps(&slope);
            line(&mut text, &slope);
        }
    }
    (text, holds)
}

fn keeps(slope: &Slope) -> bool {
    slope.most_bytes <= MOST_BYTES
        && slope.core_share <= MOST_CORE_SHARE
        && slope.in_force_ms <= MOST_IN_FORCE_MS
        && slope.out_of_contact == 0.0
}

fn line(text: &mut String, slope: &Slope) {
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
