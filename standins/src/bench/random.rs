//! Randomized simulations, by name.

/// A randomized run, given a seed and a number of steps; returns a summary, or the history of a
/// violated invariant.
type Run = fn(u64, u64) -> Result<String, String>;

/// All randomized runs by name.
pub const RUNS: &[(&str, Run)] = &[
    ("capacity", capacity),
    ("config", config),
    ("jobs", jobs),
    ("online", online),
    ("orders", orders),
    ("rates", rates),
    ("segments", segments),
];

fn capacity(seed: u64, steps: u64) -> Result<String, String> {
    to_text(parsleybeam::simulate::capacity::simulate(seed, steps))
}

fn config(seed: u64, steps: u64) -> Result<String, String> {
    to_text(parsleybeam::member::simulate::simulate(seed, saturating_u32(steps)))
}

fn jobs(seed: u64, steps: u64) -> Result<String, String> {
    to_text(parsleybeam::batch::simulate(seed, steps))
}

fn orders(seed: u64, steps: u64) -> Result<String, String> {
    to_text(parsleybeam::simulate::orders::simulate(seed, steps))
}

fn online(seed: u64, steps: u64) -> Result<String, String> {
    to_text(parsleybeam::route::simulate::simulate(seed, saturating_u32(steps)))
}

fn rates(seed: u64, steps: u64) -> Result<String, String> {
    to_text(parsleybeam::simulate::rates::simulate(seed, steps))
}

fn segments(seed: u64, steps: u64) -> Result<String, String> {
    to_text(parsleybeam::segment::simulate(seed, steps))
}

/// Converts the number of steps for runs that count in 32 bits.
fn saturating_u32(steps: u64) -> u32 {
    u32::try_from(steps).unwrap_or(u32::MAX)
}

fn to_text<R, V>(outcome: Result<R, V>) -> Result<String, String>
where
    R: std::fmt::Debug,
    V: std::fmt::Display,
{
    outcome.map(|report| format!("{report:?}")).map_err(|failure| failure.to_string())
}

/// Returns the run with a name.
pub fn find(name: &str) -> Option<Run> {
    RUNS.iter().find(|(known, _)| *known == name).map(|(_, run)| *run)
}
