//! Load generation and measurement shared by the experiments.

use std::sync::Arc;

use hdrhistogram::Histogram;
use parsleybeam::admission::{Pick, home};
use parsleybeam::clock::Time;
use parsleybeam::id::Upstream;
use parsleybeam::route::{Balancer, Random, Report};
use parsleybeam::view::{Member, Shared};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::simulation::{CAPACITY, Request, RequestOutcome, Selector, Simulation, TICK};
use crate::bench::site::Site;

/// Time within which the response must be complete, in milliseconds.
pub const DEADLINE_MS: u64 = 15_000;
/// Range of response lengths, in tokens.
const RESPONSE_TOKENS: std::ops::Range<u32> = 40..160;
/// Maximum recordable latency, in microseconds; higher ones are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Histogram of latencies in microseconds.
pub struct Latency(Histogram<u64>);

impl Latency {
    pub fn of<I>(latencies: I) -> Self
    where
        I: IntoIterator<Item = std::time::Duration>,
    {
        let mut histogram =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        for latency in latencies {
            histogram.saturating_record((latency.as_micros() as u64).max(1));
        }
        Self(histogram)
    }

    /// Returns a quantile in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the percentiles from the median up, in milliseconds, for a plot.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        (50..100)
            .map(|percent| f64::from(percent) / 100.0)
            .map(|quantile| (quantile * 100.0, self.quantile_ms(quantile)))
            .collect()
    }
}

/// Service received by one organisation.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Number of ended requests.
    pub requests: u64,
    /// Times to the first token of the requests answered in time.
    pub first_tokens: Vec<std::time::Duration>,
}

impl Service {
    /// Returns the fraction of requests answered in time.
    pub fn success(&self) -> f64 {
        self.first_tokens.len() as f64 / (self.requests.max(1)) as f64
    }
}

/// Groups the outcomes by organisation.
pub fn by_organisation(simulation: &Simulation, organisations: usize) -> Vec<Service> {
    let mut services = vec![Service::default(); organisations];
    for (organisation, outcome) in &simulation.outcomes {
        services[*organisation].requests += 1;
        if let RequestOutcome::Completed(first_token) = outcome {
            services[*organisation].first_tokens.push(*first_token);
        }
    }
    services
}

/// Sends load to the home VMs of each organisation for `seconds`, then waits for running
/// requests to end. `rates` are requests per second by organisation.
pub fn run_load(simulation: &mut Simulation, site: &Site, rates: &[f64], seconds: u64, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let members = site.members();
    let homes: Vec<Vec<usize>> = site
        .organisations()
        .iter()
        .zip(rates)
        .map(|(name, rate)| {
            let vms = home::choose(name, &members, *rate);
            (0..members.len()).filter(|index| vms.contains(&members[*index].vm)).collect()
        })
        .collect();
    let load_end = Time::from_millis(seconds * 1_000);
    let run_end = Time::from_millis(seconds * 1_000 + 2 * DEADLINE_MS);
    while simulation.now() < run_end {
        if simulation.now() < load_end {
            for (organisation, rate) in rates.iter().enumerate() {
                if random.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                    let homes = &homes[organisation];
                    let vm = homes[random.random_range(0..homes.len())];
                    let tokens = random.random_range(RESPONSE_TOKENS);
                    let arrived_at = simulation.now();
                    let deadline = Time(arrived_at.0 + DEADLINE_MS * 1_000);
                    simulation.arrive(vm, Request { organisation, tokens, arrived_at, deadline });
                }
            }
        }
        simulation.tick();
    }
}

/// Creates a selector for each VM that chooses an upstream at random.
pub fn random_selectors(site: &Site, seed: u64) -> Vec<Box<dyn Selector>> {
    let selector =
        |number| Box::new(RandomSelector(Random::new(seed + number as u64))) as Box<dyn Selector>;
    (0..site.entries).map(selector).collect()
}

struct RandomSelector(Random);

impl Selector for RandomSelector {
    fn pick(&self) -> &dyn Pick {
        &self.0
    }
}

/// Creates a selector for each VM that uses the production load balancer.
pub fn balanced_selectors(site: &Site, seed: u64) -> Vec<Box<dyn Selector>> {
    let shared = Shared::default();
    shared.view.store(Arc::new(site.view(CAPACITY)));
    let selector = |(number, member): (usize, Member)| {
        let balancer = Balancer::new(member.vm, shared.clone(), seed + number as u64);
        Box::new(BalancedSelector(balancer)) as Box<dyn Selector>
    };
    site.members().into_iter().enumerate().map(selector).collect()
}

struct BalancedSelector(Balancer);

impl Selector for BalancedSelector {
    fn pick(&self) -> &dyn Pick {
        &self.0
    }

    fn started(&self, upstream: &Upstream) {
        self.0.started(upstream);
    }

    fn finished(&self, upstream: &Upstream, now: Time) {
        self.0.ended(upstream);
        self.0.succeeded(upstream, now);
    }

    fn report(&self, upstream: &Upstream, running: u32, at: Time) {
        let (running, waiting) = (running.min(CAPACITY), running.saturating_sub(CAPACITY));
        self.0.record_load(upstream, Report { running, waiting, at });
    }
}
