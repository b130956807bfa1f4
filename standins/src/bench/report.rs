//! Report of a run: its figures and whether they meet their targets.

use serde::Serialize;

/// Bound on a figure, derived from a guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The figure must be at most this value.
    AtMost(f64),
    /// The figure must be at least this value.
    AtLeast(f64),
    /// The figure must be at most the baseline.
    AtMostBaseline,
    /// The figure must be at least the baseline.
    AtLeastBaseline,
}

/// The same measurement on a simpler policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Baseline {
    /// Name of the policy.
    pub name: String,
    /// Measured value, in the unit of the figure.
    pub value: f64,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// Name of the measured quantity.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// The same measurement on a simpler policy.
    pub baseline: Option<Baseline>,
    /// Bound to check, if any.
    pub target: Option<Target>,
    /// Whether the value is within the target; absent without a target.
    pub holds: Option<bool>,
}

impl Figure {
    /// Creates a figure without a baseline or target.
    pub fn new(name: &str, value: f64, unit: &'static str) -> Self {
        Self { name: name.into(), value, unit, baseline: None, target: None, holds: None }
    }

    /// Adds the same measurement on a simpler policy.
    pub fn against(mut self, name: &str, value: f64) -> Self {
        self.baseline = Some(Baseline { name: name.into(), value });
        self
    }

    /// Sets the target and checks the value against it; call it after `against`.
    pub fn target(mut self, target: Target) -> Self {
        let baseline = self.baseline.as_ref().map(|baseline| baseline.value);
        self.target = Some(target);
        self.holds = Some(match target {
            Target::AtMost(bound) => self.value <= bound,
            Target::AtLeast(bound) => self.value >= bound,
            Target::AtMostBaseline => baseline.is_some_and(|bound| self.value <= bound),
            Target::AtLeastBaseline => baseline.is_some_and(|bound| self.value >= bound),
        });
        self
    }
}

/// Report of a finished run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Name of the site.
    pub site: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Measured figures.
    pub figures: Vec<Figure>,
}

impl Report {
    /// Returns whether every figure is within its target.
    pub fn holds(&self) -> bool {
        self.figures.iter().all(|figure| figure.holds != Some(false))
    }

    /// Formats the figures as a table.
    pub fn table(&self) -> String {
        let head = format!(
            "{} at {}, seed {}, {} s\n{:<44} {:>12} {:<8} {:>28} {:>18} {}\n",
            self.name,
            self.site,
            self.seed,
            self.seconds,
            "figure",
            "value",
            "unit",
            "baseline",
            "target",
            "holds"
        );
        self.figures.iter().fold(head, |text, figure| text + &format_row(figure))
    }
}

fn format_row(figure: &Figure) -> String {
    let baseline = figure
        .baseline
        .as_ref()
        .map_or(String::new(), |baseline| format!("{} {:.3}", baseline.name, baseline.value));
    let target = match figure.target {
        None => String::new(),
        Some(Target::AtMost(bound)) => format!("<= {bound}"),
        Some(Target::AtLeast(bound)) => format!(">= {bound}"),
        Some(Target::AtMostBaseline) => "<= baseline".into(),
        Some(Target::AtLeastBaseline) => ">= baseline".into(),
    };
    let holds = match figure.holds {
        None => "",
        Some(true) => "yes",
        Some(false) => "NO",
    };
    format!(
        "{:<44} {:>12.3} {:<8} {baseline:>28} {target:>18} {holds}\n",
        figure.name, figure.value, figure.unit
    )
}
