//! Experiments by name.

mod fairness;
mod measure;
mod refusals;
mod tail;

use super::{Outcome, Setup};

/// An experiment that can be run by name.
#[derive(Clone, Copy)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// Function that runs the experiment.
    pub run: fn(&Setup) -> Outcome,
}

/// All experiments.
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

/// Returns the experiment with a name.
pub fn find(name: &str) -> Option<Experiment> {
    ALL.iter().find(|experiment| experiment.name == name).copied()
}
