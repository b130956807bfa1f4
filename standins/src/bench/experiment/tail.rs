//! Online tail latency while one replica is slow.

use parsleybeam::admission::queue::Policy;

use super::measure::{Latency, balanced_choices, by_organisation, offer, random_choices};
use crate::bench::world::{Choice, Division, World};
use crate::bench::{Curve, Figure, Outcome, Setup, Target};

/// Speed of the slow replica against the others.
const SLOW: f64 = 0.25;
/// First token for 95 in 100, from the letter, in milliseconds.
const FIRST_TOKEN_MS: f64 = 1_100.0;

pub(super) fn run(setup: &Setup) -> Outcome {
    let balanced = || balanced_choices(&setup.site, setup.seed);
    let random = serve(setup, random_choices(&setup.site, setup.seed), Division::Leased);
    let ours = serve(setup, balanced(), Division::Leased);
    let fixed = serve(setup, balanced(), Division::Fixed);
    let figure = |name: &str, quantile: f64| {
        Figure::new(name, ours.quantile_ms(quantile), "ms")
            .against("random choice", random.quantile_ms(quantile))
    };
    let figures = vec![
        figure("first token p50", 0.5),
        figure("first token p95", 0.95).target(Target::AtMost(FIRST_TOKEN_MS)),
        figure("first token p99", 0.99).target(Target::AtMostBaseline),
        Figure::new("first token p95", ours.quantile_ms(0.95), "ms")
            .against("fixed split of slots", fixed.quantile_ms(0.95))
            .target(Target::AtMostBaseline),
    ];
    let curves = vec![
        Curve { name: "two choices by load".into(), points: ours.curve() },
        Curve { name: "random choice".into(), points: random.curve() },
        Curve { name: "fixed split of slots".into(), points: fixed.curve() },
    ];
    Outcome { figures, curves, across: "percent of requests", up: "first token, ms" }
}

fn serve(setup: &Setup, choices: Vec<Box<dyn Choice>>, division: Division) -> Latency {
    let site = &setup.site;
    let mut speeds = vec![1.0; site.replicas];
    speeds[0] = SLOW;
    let mut world = World::new(site.organisations(), choices, &speeds, Policy::Fair, division);
    offer(&mut world, site, site.rates, setup.seconds, setup.seed);
    let services = by_organisation(&world, site.rates.len());
    Latency::of(services.into_iter().flat_map(|service| service.first))
}
