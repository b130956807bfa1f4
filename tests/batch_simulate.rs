//! Random runs of jobs, and batch work beside online requests.

use parsleybeam::batch::{JobsReport, compare, simulate};

/// Steps of one run.
const STEPS: u64 = 4_000;

#[test]
fn simulate_fixed_seeds() {
    let mut total = JobsReport::default();
    for seed in 0..24 {
        let report = simulate(seed, STEPS).unwrap_or_else(|found| panic!("seed {seed}: {found}"));
        total.accepted += report.accepted;
        total.completed += report.completed;
        total.cancelled += report.cancelled;
        total.deaths += report.deaths;
        total.primaries += report.primaries;
        total.late += report.late;
    }
    // The runs are worth something only if all of this happened in them.
    assert!(total.accepted > 500 && total.completed > 2_000, "{total:?}");
    assert!(total.cancelled > 100 && total.deaths > 100, "{total:?}");
    assert!(total.primaries > 100 && total.late > 100, "{total:?}");
}

#[test]
fn compare_yielding() {
    for seed in 0..5 {
        let runs = compare(seed);
        let (off, with) = (runs.off, runs.with_preemption);
        let ratio = with.online_p99_ms as f64 / off.online_p99_ms as f64;
        assert!(ratio <= 1.1, "seed {seed}: online p99 is {ratio:.2} of batch off: {runs:?}");
        assert!(with.batch_share >= 0.85, "seed {seed}: {runs:?}");
        assert!(with.recovery_ms <= 3_000, "seed {seed}: {runs:?}");
    }
}

#[test]
fn compare_without_yielding() {
    let runs = compare(0);
    let ratio = runs.without_preemption.online_p99_ms as f64 / runs.off.online_p99_ms as f64;
    assert!(ratio > 1.1, "the baseline shows the harm that yielding avoids: {runs:?}");
}
