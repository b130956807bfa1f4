//! Experiments and random runs: what `parsleybeam-bench` does.
//!
//! An experiment drives the product's own decisions on a virtual clock, or
//! its processes' code on loopback, and measures them beside a baseline in
//! the same run. A figure holds or not by its target, which comes from a
//! promise and never from a measurement.

pub mod experiment;
pub mod plot;
pub mod random;
pub mod report;
pub mod site;
pub mod slopes;
pub mod world;

pub use report::{Figure, Report, Target};
pub use site::Site;

/// What an experiment is given.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Sizes and distances.
    pub site: Site,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
}

/// A curve of an experiment, for a plot.
#[derive(Clone, Debug, Default)]
pub struct Curve {
    /// Name in the legend.
    pub name: String,
    /// Points, by rising first part.
    pub points: Vec<(f64, f64)>,
}

/// What an experiment gives.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The figures.
    pub figures: Vec<Figure>,
    /// Curves that tell more than the figures.
    pub curves: Vec<Curve>,
    /// Name of the plot's horizontal axis.
    pub across: &'static str,
    /// Name of the plot's vertical axis.
    pub up: &'static str,
}
