//! Runs the simulation of distributed rate limiting with fixed seeds.

use parsleybeam::simulate::rates::{Report, simulate};

/// Sum of the rates of all simulated organisations, in requests per second.
const RATES: u64 = 35;
const SEEDS: u64 = 20;
const STEPS: u64 = 25_000;

#[test]
fn rates_never_overspend() {
    let mut sum = Report::default();
    for seed in 0..SEEDS {
        let report = simulate(seed, STEPS).unwrap_or_else(|violation| panic!("{violation}"));
        sum.granted += report.granted;
        sum.virtual_ms += report.virtual_ms;
        sum.lent += report.lent;
        sum.settled += report.settled;
        sum.restarts += report.restarts;
    }
    // The simulation must have exercised grants, loans, table changes and restarts.
    let allowed = RATES * sum.virtual_ms / 1_000;
    assert!(sum.granted > allowed / 4, "{sum:?}, {allowed} allowed");
    assert!(sum.lent > 100 * SEEDS, "{sum:?}");
    assert!(sum.settled > 2 * SEEDS && sum.restarts > SEEDS, "{sum:?}");
}

#[test]
fn rates_repeat_by_seed() {
    assert_eq!(simulate(7, 5_000), simulate(7, 5_000));
}
