//! The random runs, by name.

/// A random run: what it did, or how an invariant broke.
type Run = fn(u64, u64) -> Result<String, String>;

/// Every random run, by name.
pub const RUNS: &[(&str, Run)] = &[("segments", segments)];

fn segments(seed: u64, steps: u64) -> Result<String, String> {
    let report = parsleybeam::segment::simulate(seed, steps);
    report.map(|report| format!("{report:?}")).map_err(|found| found.to_string())
}

/// Finds a run.
pub fn find(name: &str) -> Option<Run> {
    RUNS.iter().find(|(own, _)| *own == name).map(|(_, run)| *run)
}
