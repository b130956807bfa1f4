//! Runs the simulation of slot leases with fixed seeds.

use parsleybeam::simulate::capacity::simulate;

const SEEDS: u64 = 30;
const STEPS: u64 = 20_000;

#[test]
fn slots_never_exceed_capacity() {
    let (mut started, mut owners, mut fallback) = (0, 0, 0);
    for seed in 0..SEEDS {
        let report = simulate(seed, STEPS).unwrap_or_else(|violation| panic!("{violation}"));
        started += report.started;
        owners += report.owners;
        fallback += report.fallback;
    }
    assert!(started > 1_000 * SEEDS && owners > SEEDS, "{started} started, {owners} owners");
    assert!(fallback > SEEDS, "{fallback} on fallback slots");
}
