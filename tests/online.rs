//! Randomised simulations of the online request path.

use parsleybeam::route::simulate::{Report, simulate};

/// Number of runs, unless set by `PARSLEYBEAM_RUNS`.
const RUNS: u64 = 12;
/// Number of events per run.
const STEPS: u32 = 30_000;

/// Reads one counter of a report.
type Count = fn(&Report) -> u32;

fn runs() -> u64 {
    std::env::var("PARSLEYBEAM_RUNS").ok().and_then(|text| text.parse().ok()).unwrap_or(RUNS)
}

fn total(reports: &[Report], count: Count) -> u32 {
    reports.iter().map(count).sum()
}

#[test]
fn simulate_keeps_invariants() {
    let run = |seed| match simulate(seed, STEPS) {
        Ok(report) => report,
        Err(violation) => panic!("seed {seed}: {violation}"),
    };
    let reports: Vec<Report> = (0..runs()).map(run).collect();
    // Each outcome must have occurred, or the invariants were never tested.
    let counts: [(&str, Count); 8] = [
        ("whole", |report| report.whole),
        ("not run", |report| report.not_run),
        ("unknown", |report| report.unknown),
        ("quarantined", |report| report.quarantined),
        ("kept", |report| report.kept),
        ("resumes", |report| report.resumes),
        ("dropped", |report| report.dropped),
        ("VMs lost", |report| report.vms_lost),
    ];
    for (what, count) in counts {
        assert!(total(&reports, count) > 0, "never occurred: {what}");
    }
}

#[test]
fn simulate_repeats() {
    assert_eq!(simulate(7, 5_000), simulate(7, 5_000));
}
