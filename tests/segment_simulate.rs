//! Runs the simulation of a replicated segment with fixed seeds.

use parsleybeam::segment::{Report, simulate};

/// Number of steps of one run.
const STEPS: u64 = 4_000;

#[test]
fn simulate_fixed_seeds() {
    let mut total = Report::default();
    for seed in 0..24 {
        let report =
            simulate(seed, STEPS).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        total.acknowledged += report.acknowledged;
        total.sets += report.sets;
        total.compactions += report.compactions;
        total.disks_lost += report.disks_lost;
        total.pauses += report.pauses;
        total.replies_lost += report.replies_lost;
    }
    // The simulation must have exercised each of these events.
    assert!(total.acknowledged > 2_000, "{total:?}");
    assert!(total.compactions > 500, "{total:?}");
    assert!(total.sets > 50 && total.disks_lost > 20, "{total:?}");
    assert!(total.pauses > 200 && total.replies_lost > 20, "{total:?}");
}
