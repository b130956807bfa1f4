//! Rolls out a new version to all upstreams of a model, with and without a
//! limit on the share that changes at once.

use std::time::Duration;

use crate::clock::Time;
use crate::id::Upstream;
use crate::order::{Controller, Limits, Loaded, Observed, Step, Target};

/// Number of upstreams of the model.
const UPSTREAMS: usize = 10;
/// Duration of a load that has the weight store to itself.
const LOAD_TIME: Duration = Duration::from_secs(20);
/// Concurrent loads that the weight store serves at full speed.
const FULL_SPEED_LOADS: u64 = 3;
/// Interval between rounds of the controller.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Effect of a rollout on capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Minimum number of upstreams serving at any time.
    pub fewest: usize,
    /// Upstream-seconds in which upstreams were loading and not serving.
    pub lost_s: f64,
    /// Seconds until every upstream had the new version.
    pub done_s: f64,
}

struct Replica {
    name: Upstream,
    version: &'static str,
    remaining_s: Option<f64>,
}

/// Runs one rollout under `limits`.
pub fn simulate(limits: Limits) -> Report {
    let target = Target { model: "notes".into(), version: "new".into(), adapters: Vec::new() };
    let mut replicas: Vec<Replica> = (0..UPSTREAMS)
        .map(|index| Replica {
            name: format!("engine-{index}").into(),
            version: "old",
            remaining_s: None,
        })
        .collect();
    let mut controller = Controller::new(target.clone(), limits);
    controller.configure(target, replicas.iter().map(|replica| replica.name.clone()));
    let mut report = Report { fewest: UPSTREAMS, lost_s: 0.0, done_s: 0.0 };
    let mut now = Time::from_millis(1_000);
    while replicas.iter().any(|replica| replica.version == "old") {
        run_round(&mut controller, &mut replicas, now);
        let loading = replicas.iter().filter(|replica| replica.remaining_s.is_some()).count();
        report.fewest = report.fewest.min(UPSTREAMS - loading);
        report.lost_s += loading as f64 * ROUND_INTERVAL.as_secs_f64();
        report.done_s += ROUND_INTERVAL.as_secs_f64();
        let speed = (FULL_SPEED_LOADS as f64 / loading.max(1) as f64).min(1.0);
        replicas
            .iter_mut()
            .for_each(|replica| replica.advance_load(ROUND_INTERVAL.as_secs_f64() * speed));
        now = now.after(ROUND_INTERVAL);
    }
    report
}

fn run_round(controller: &mut Controller, replicas: &mut [Replica], now: Time) {
    for step in controller.steps(now) {
        let name = match &step {
            Step::Read(name) => name.clone(),
            Step::Send(order) => order.upstream.clone(),
        };
        let Some(replica) = replicas.iter_mut().find(|replica| replica.name == name) else {
            continue;
        };
        match step {
            Step::Read(_) => controller.on_state(&name, replica.observed(), now),
            Step::Send(_) if controller.begin_order(&name, now) => {
                replica.remaining_s = Some(LOAD_TIME.as_secs_f64());
                controller.on_answer(&name, now);
            }
            Step::Send(_) => {}
        }
    }
}

impl Replica {
    fn observed(&self) -> Observed {
        let loaded = Loaded { version: self.version.into(), adapters: Vec::new() };
        Observed { models: [("notes".into(), loaded)].into(), loading: self.remaining_s.is_some() }
    }

    fn advance_load(&mut self, seconds: f64) {
        let Some(remaining_s) = &mut self.remaining_s else { return };
        *remaining_s -= seconds;
        if *remaining_s <= 0.0 {
            self.remaining_s = None;
            self.version = "new";
        }
    }
}
