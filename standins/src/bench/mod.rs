//! Experiments and randomized runs of `parsleybeam-bench`.
//!
//! An experiment runs the production code's decisions on a virtual clock, or its
//! servers on loopback, and measures them and a baseline in the same run. A figure
//! passes or fails by its target, which is derived from a guarantee and never from
//! a measurement.

pub mod experiment;
pub mod plot;
pub mod random;
pub mod report;
pub mod simulation;
pub mod site;
pub mod slopes;

pub use report::{Figure, Report, Target};
pub use site::Site;

/// Parameters of an experiment.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Site whose sizes and latencies are used.
    pub site: Site,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
}

/// A curve to plot.
#[derive(Clone, Debug, Default)]
pub struct Curve {
    /// Name in the legend.
    pub name: String,
    /// Points `(x, y)`, in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Result of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Measured figures.
    pub figures: Vec<Figure>,
    /// Curves for the plot.
    pub curves: Vec<Curve>,
    /// Label of the plot's horizontal axis.
    pub x_label: &'static str,
    /// Label of the plot's vertical axis.
    pub y_label: &'static str,
}
