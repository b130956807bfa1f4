//! Runs the simulation of batch jobs with fixed seeds, and compares online
//! latency with and without batch preemption.

use parsleybeam::batch::{JobsReport, compare, simulate};

/// Number of steps of one run.
const STEPS: u64 = 4_000;

#[test]
fn simulate_fixed_seeds() {
    let mut total = JobsReport::default();
    for seed in 0..24 {
        let report =
            simulate(seed, STEPS).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        total.accepted += report.accepted;
        total.completed += report.completed;
        total.cancelled += report.cancelled;
        total.deaths += report.deaths;
        total.primaries += report.primaries;
        total.late += report.late;
    }
    // The simulation must have exercised each of these events.
    assert!(total.accepted > 500 && total.completed > 2_000, "{total:?}");
    assert!(total.cancelled > 100 && total.deaths > 100, "{total:?}");
    assert!(total.primaries > 100 && total.late > 100, "{total:?}");
}

#[test]
fn compare_with_preemption() {
    for seed in 0..5 {
        let runs = compare(seed);
        let (off, preempting) = (runs.off, runs.with_preemption);
        let ratio = preempting.online_p99_ms as f64 / off.online_p99_ms as f64;
        assert!(ratio <= 1.1, "seed {seed}: online p99 is {ratio:.2} of batch off: {runs:?}");
        assert!(preempting.batch_share >= 0.85, "seed {seed}: {runs:?}");
        assert!(preempting.recovery_ms <= 3_000, "seed {seed}: {runs:?}");
    }
}

#[test]
fn compare_without_preemption() {
    let runs = compare(0);
    let ratio = runs.without_preemption.online_p99_ms as f64 / runs.off.online_p99_ms as f64;
    assert!(ratio > 1.1, "without preemption, batch load raises online latency: {runs:?}");
}
