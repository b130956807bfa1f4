//! Service of the worst-served organisation while another one exceeds its rate.

use parsleybeam::admission::queue::Policy;

use super::measure::{Latency, Service, balanced_selectors, by_organisation, run_load};
use crate::bench::simulation::{Simulation, SlotSharing};
use crate::bench::{Curve, Figure, Outcome, Setup, Target};

/// Load of the flooding organisation, as a multiple of its rate.
const FLOOD_FACTOR: f64 = 8.0;
/// Required 95th percentile of the time to the first token, in milliseconds.
const MAX_FIRST_TOKEN_P95_MS: f64 = 1_100.0;
/// Required fraction of requests answered in time for an organisation within its share.
const MIN_SUCCESS: f64 = 0.99;

pub(super) fn run(setup: &Setup) -> Outcome {
    let fair = serve(setup, Policy::Fair);
    let arrival = serve(setup, Policy::Arrival);
    let (fair_latency, arrival_latency) = (worst_latency(&fair), worst_latency(&arrival));
    let name = "first come, first served";
    let quantile = |services: &Vec<Service>, quantile: f64| {
        services.iter().map(|service| latency(service).quantile_ms(quantile)).fold(0.0, f64::max)
    };
    let success =
        |services: &Vec<Service>| services.iter().map(Service::success).fold(1.0, f64::min);
    let figures = vec![
        Figure::new("worst organisation, answered in time", success(&fair), "part")
            .against(name, success(&arrival))
            .target(Target::AtLeast(MIN_SUCCESS)),
        Figure::new("worst organisation, first token p95", quantile(&fair, 0.95), "ms")
            .against(name, quantile(&arrival, 0.95))
            .target(Target::AtMost(MAX_FIRST_TOKEN_P95_MS)),
        Figure::new("worst organisation, first token p99", quantile(&fair, 0.99), "ms")
            .against(name, quantile(&arrival, 0.99))
            .target(Target::AtMostBaseline),
    ];
    let curves = vec![
        Curve { name: "fair".into(), points: fair_latency.curve() },
        Curve { name: name.into(), points: arrival_latency.curve() },
    ];
    Outcome { figures, curves, x_label: "percent of requests", y_label: "first token, ms" }
}

/// Runs the load; returns the service of all organisations except the flooding one.
fn serve(setup: &Setup, policy: Policy) -> Vec<Service> {
    let site = &setup.site;
    let speeds = vec![1.0; site.replicas];
    let selectors = balanced_selectors(site, setup.seed);
    let mut simulation =
        Simulation::new(site.organisations(), selectors, &speeds, policy, SlotSharing::Leased);
    let mut rates = site.rates.to_vec();
    rates[0] *= FLOOD_FACTOR;
    run_load(&mut simulation, site, &rates, setup.seconds, setup.seed);
    by_organisation(&simulation, rates.len()).split_off(1)
}

fn latency(service: &Service) -> Latency {
    Latency::of(service.first_tokens.iter().copied())
}

fn worst_latency(services: &[Service]) -> Latency {
    let worst = services.iter().max_by(|one, other| {
        latency(one).quantile_ms(0.99).total_cmp(&latency(other).quantile_ms(0.99))
    });
    worst.map_or_else(|| Latency::of([]), latency)
}
