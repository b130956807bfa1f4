//! Runs the simulation of orders to upstreams with fixed seeds.

use parsleybeam::simulate::orders::simulate;

const SEEDS: u64 = 60;
const STEPS: u64 = 6_000;

#[test]
fn orders_never_conflict() {
    let (mut effective, mut holders, mut withheld) = (0, 0, 0);
    for seed in 0..SEEDS {
        let report = simulate(seed, STEPS).unwrap_or_else(|violation| panic!("{violation}"));
        effective += report.effective;
        holders += report.holders;
        withheld += report.withheld;
    }
    // The simulation must have exercised orders, holder changes and expired leases.
    assert!(effective > 50 * SEEDS, "{effective} orders took effect");
    assert!(holders > 2 * SEEDS && withheld > SEEDS, "{holders} holders, {withheld} withheld");
}
