//! Tail latency of online requests while one replica is slow.

use parsleybeam::admission::queue::Policy;

use super::measure::{Latency, balanced_selectors, by_organisation, random_selectors, run_load};
use crate::bench::simulation::{Selector, Simulation, SlotSharing};
use crate::bench::{Curve, Figure, Outcome, Setup, Target};

/// Speed of the slow replica, as a fraction of the others'.
const SLOW_REPLICA_SPEED: f64 = 0.25;
/// Required 95th percentile of the time to the first token, in milliseconds.
const MAX_FIRST_TOKEN_P95_MS: f64 = 1_100.0;

pub(super) fn run(setup: &Setup) -> Outcome {
    let selectors = || balanced_selectors(&setup.site, setup.seed);
    let random = serve(setup, random_selectors(&setup.site, setup.seed), SlotSharing::Leased);
    let balanced = serve(setup, selectors(), SlotSharing::Leased);
    let fixed = serve(setup, selectors(), SlotSharing::Fixed);
    let figure = |name: &str, quantile: f64| {
        Figure::new(name, balanced.quantile_ms(quantile), "ms")
            .against("random choice", random.quantile_ms(quantile))
    };
    let figures = vec![
        figure("first token p50", 0.5),
        figure("first token p95", 0.95).target(Target::AtMost(MAX_FIRST_TOKEN_P95_MS)),
        figure("first token p99", 0.99).target(Target::AtMostBaseline),
        Figure::new("first token p95", balanced.quantile_ms(0.95), "ms")
            .against("fixed split of slots", fixed.quantile_ms(0.95))
            .target(Target::AtMostBaseline),
    ];
    let curves = vec![
        Curve { name: "two choices by load".into(), points: balanced.curve() },
        Curve { name: "random choice".into(), points: random.curve() },
        Curve { name: "fixed split of slots".into(), points: fixed.curve() },
    ];
    Outcome { figures, curves, x_label: "percent of requests", y_label: "first token, ms" }
}

fn serve(setup: &Setup, selectors: Vec<Box<dyn Selector>>, slot_sharing: SlotSharing) -> Latency {
    let site = &setup.site;
    let mut speeds = vec![1.0; site.replicas];
    speeds[0] = SLOW_REPLICA_SPEED;
    let mut simulation =
        Simulation::new(site.organisations(), selectors, &speeds, Policy::Fair, slot_sharing);
    run_load(&mut simulation, site, site.rates, setup.seconds, setup.seed);
    let services = by_organisation(&simulation, site.rates.len());
    Latency::of(services.into_iter().flat_map(|service| service.first_tokens))
}
