//! A new version on all upstreams of a model, with and without a cap on the
//! share that changes at once.

use std::time::Duration;

use crate::clock::Time;
use crate::id::Upstream;
use crate::order::{Controller, Limits, Loaded, Observed, Step, Target};

/// Upstreams of the model.
const UPSTREAMS: usize = 10;
/// How long one load takes when it has the weight store for itself.
const LOAD: Duration = Duration::from_secs(20);
/// Loads that the weight store carries at full speed.
const STORE_LOADS: u64 = 3;
/// Pause between rounds of the controller.
const ROUND: Duration = Duration::from_millis(500);

/// What a change of version did to capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Fewest upstreams that served at any time.
    pub fewest: usize,
    /// Upstreams that didn't serve, summed over seconds.
    pub lost_s: f64,
    /// Seconds until all had the new version.
    pub done_s: f64,
}

struct Site {
    name: Upstream,
    version: &'static str,
    left: Option<f64>,
}

/// Runs one change of version under `limits`.
pub fn simulate(limits: Limits) -> Report {
    let target = Target { model: "notes".into(), version: "new".into(), adapters: Vec::new() };
    let mut sites: Vec<Site> = (0..UPSTREAMS)
        .map(|index| Site { name: format!("engine-{index}").into(), version: "old", left: None })
        .collect();
    let mut controller = Controller::new(target.clone(), limits);
    controller.configure(target, sites.iter().map(|site| site.name.clone()));
    let mut report = Report { fewest: UPSTREAMS, lost_s: 0.0, done_s: 0.0 };
    let mut now = Time::from_millis(1_000);
    while sites.iter().any(|site| site.version == "old") {
        round(&mut controller, &mut sites, now);
        let loading = sites.iter().filter(|site| site.left.is_some()).count();
        report.fewest = report.fewest.min(UPSTREAMS - loading);
        report.lost_s += loading as f64 * ROUND.as_secs_f64();
        report.done_s += ROUND.as_secs_f64();
        let speed = (STORE_LOADS as f64 / loading.max(1) as f64).min(1.0);
        sites.iter_mut().for_each(|site| site.progress(ROUND.as_secs_f64() * speed));
        now = now.after(ROUND);
    }
    report
}

fn round(controller: &mut Controller, sites: &mut [Site], now: Time) {
    for step in controller.steps(now) {
        let name = match &step {
            Step::Read(name) => name.clone(),
            Step::Send(order) => order.upstream.clone(),
        };
        let Some(site) = sites.iter_mut().find(|site| site.name == name) else { continue };
        match step {
            Step::Read(_) => controller.on_state(&name, site.observed(), now),
            Step::Send(_) if controller.begin_order(&name, now) => {
                site.left = Some(LOAD.as_secs_f64());
                controller.on_answer(&name, now);
            }
            Step::Send(_) => {}
        }
    }
}

impl Site {
    fn observed(&self) -> Observed {
        let loaded = Loaded { version: self.version.into(), adapters: Vec::new() };
        Observed { models: [("notes".into(), loaded)].into(), loading: self.left.is_some() }
    }

    fn progress(&mut self, seconds: f64) {
        let Some(left) = &mut self.left else { return };
        *left -= seconds;
        if *left <= 0.0 {
            self.left = None;
            self.version = "new";
        }
    }
}
