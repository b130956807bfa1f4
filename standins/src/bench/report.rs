//! The figures of a run, and whether they hold.

use serde::Serialize;

/// A bound that a promise sets on a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The figure may not be greater.
    AtMost(f64),
    /// The figure may not be less.
    AtLeast(f64),
    /// The figure may not be greater than the baseline's.
    AtMostBaseline,
    /// The figure may not be less than the baseline's.
    AtLeastBaseline,
}

/// The same measurement on a simpler policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Baseline {
    /// The policy.
    pub name: String,
    /// Its value.
    pub value: f64,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// The same on a simpler policy.
    pub baseline: Option<Baseline>,
    /// Bound from a promise.
    pub target: Option<Target>,
    /// Whether the bound is kept; absent without one.
    pub holds: Option<bool>,
}

impl Figure {
    /// A value without a bound.
    pub fn new(name: &str, value: f64, unit: &'static str) -> Self {
        Self { name: name.into(), value, unit, baseline: None, target: None, holds: None }
    }

    /// Adds the same measurement on a simpler policy.
    pub fn against(mut self, name: &str, value: f64) -> Self {
        self.baseline = Some(Baseline { name: name.into(), value });
        self
    }

    /// Adds a bound and says whether it is kept.
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

/// A finished run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Experiment.
    pub name: String,
    /// Site whose sizes were used.
    pub site: String,
    /// Seed.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// The figures.
    pub figures: Vec<Figure>,
}

impl Report {
    /// Whether every bound is kept.
    pub fn holds(&self) -> bool {
        self.figures.iter().all(|figure| figure.holds != Some(false))
    }

    /// The figures as lines for people.
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
        self.figures.iter().fold(head, |text, figure| text + &row(figure))
    }
}

fn row(figure: &Figure) -> String {
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
