//! How the worst-served organisation fares while another floods.

use parsleybeam::admission::queue::Policy;

use super::measure::{Latency, Service, balanced_choices, by_organisation, offer};
use crate::bench::world::{Division, World};
use crate::bench::{Curve, Figure, Outcome, Setup, Target};

/// How many times its rate the flooding organisation sends.
const FLOOD: f64 = 8.0;
/// First token for 95 in 100, from the letter, in milliseconds.
const FIRST_TOKEN_MS: f64 = 1_100.0;
/// Part of the requests of an organisation within its share that must be
/// answered in time.
const SUCCESS: f64 = 0.99;

pub(super) fn run(setup: &Setup) -> Outcome {
    let fair = serve(setup, Policy::Fair);
    let arrival = serve(setup, Policy::Arrival);
    let (fair_first, arrival_first) = (worst_first(&fair), worst_first(&arrival));
    let name = "first come, first served";
    let quantile = |services: &Vec<Service>, quantile: f64| {
        services.iter().map(|service| latency(service).quantile_ms(quantile)).fold(0.0, f64::max)
    };
    let success =
        |services: &Vec<Service>| services.iter().map(Service::success).fold(1.0, f64::min);
    let figures = vec![
        Figure::new("worst organisation, answered in time", success(&fair), "part")
            .against(name, success(&arrival))
            .target(Target::AtLeast(SUCCESS)),
        Figure::new("worst organisation, first token p95", quantile(&fair, 0.95), "ms")
            .against(name, quantile(&arrival, 0.95))
            .target(Target::AtMost(FIRST_TOKEN_MS)),
        Figure::new("worst organisation, first token p99", quantile(&fair, 0.99), "ms")
            .against(name, quantile(&arrival, 0.99))
            .target(Target::AtMostBaseline),
    ];
    let curves = vec![
        Curve { name: "fair".into(), points: fair_first.curve() },
        Curve { name: name.into(), points: arrival_first.curve() },
    ];
    Outcome { figures, curves, across: "percent of requests", up: "first token, ms" }
}

/// Serves the load; gives the organisations that don't flood.
fn serve(setup: &Setup, order: Policy) -> Vec<Service> {
    let site = &setup.site;
    let speeds = vec![1.0; site.replicas];
    let choices = balanced_choices(site, setup.seed);
    let mut world = World::new(site.organisations(), choices, &speeds, order, Division::Leased);
    let mut rates = site.rates.to_vec();
    rates[0] *= FLOOD;
    offer(&mut world, site, &rates, setup.seconds, setup.seed);
    by_organisation(&world, rates.len()).split_off(1)
}

fn latency(service: &Service) -> Latency {
    Latency::of(service.first.iter().copied())
}

fn worst_first(services: &[Service]) -> Latency {
    let worst = services.iter().max_by(|one, other| {
        latency(one).quantile_ms(0.99).total_cmp(&latency(other).quantile_ms(0.99))
    });
    worst.map_or_else(|| Latency::of([]), latency)
}
