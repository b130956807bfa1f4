//! The experiments, by name.

mod fairness;
mod measure;
mod refusals;
mod tail;

use super::{Outcome, Setup};

/// An experiment.
#[derive(Clone, Copy)]
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
    /// Runs it.
    pub run: fn(&Setup) -> Outcome,
}

/// Every experiment.
pub const ALL: &[Experiment] = &[
    Experiment {
        name: "tail",
        about: "online tail latency with one slow replica, against random choice",
        run: tail::run,
    },
    Experiment {
        name: "fairness",
        about: "the worst-served organisation under a flood, against first come, first served",
        run: fairness::run,
    },
    Experiment {
        name: "refusals",
        about: "requests refused within their rate, against a fixed equal split",
        run: refusals::run,
    },
];

/// Finds an experiment.
pub fn find(name: &str) -> Option<Experiment> {
    ALL.iter().find(|experiment| experiment.name == name).copied()
}
