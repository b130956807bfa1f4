//! Random runs of a replicated segment with fixed seeds.

use parsleybeam::segment::{Report, simulate};

/// Steps of one run.
const STEPS: u64 = 4_000;

#[test]
fn simulate_fixed_seeds() {
    let mut total = Report::default();
    for seed in 0..24 {
        let report = simulate(seed, STEPS).unwrap_or_else(|found| panic!("seed {seed}: {found}"));
        total.acknowledged += report.acknowledged;
        total.sets += report.sets;
        total.compactions += report.compactions;
        total.disks_lost += report.disks_lost;
        total.pauses += report.pauses;
        total.replies_lost += report.replies_lost;
    }
    // The runs are worth something only if all of this happened in them.
    assert!(total.acknowledged > 2_000, "{total:?}");
    assert!(total.compactions > 500, "{total:?}");
    assert!(total.sets > 50 && total.disks_lost > 20, "{total:?}");
    assert!(total.pauses > 200 && total.replies_lost > 20, "{total:?}");
}
