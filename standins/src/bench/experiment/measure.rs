//! Load and measurement that the experiments share.

use std::sync::Arc;

use hdrhistogram::Histogram;
use parsleybeam::admission::{Pick, home};
use parsleybeam::clock::Time;
use parsleybeam::id::Upstream;
use parsleybeam::route::{Balancer, Random, Report};
use parsleybeam::view::{Member, Shared};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::site::Site;
use crate::bench::world::{CAPACITY, Choice, End, Job, TICK, World};

/// Time that a caller waits for the whole answer, in milliseconds.
pub const PATIENCE_MS: u64 = 15_000;
/// Shortest and longest answer, in tokens.
const TOKENS: std::ops::Range<u32> = 40..160;
/// Highest latency that is told apart, in microseconds.
const HIGHEST_US: u64 = 600_000_000;

/// Latencies in microseconds.
pub struct Latency(Histogram<u64>);

impl Latency {
    pub fn of<I>(spans: I) -> Self
    where
        I: IntoIterator<Item = std::time::Duration>,
    {
        let mut histogram = Histogram::new_with_bounds(1, HIGHEST_US, 3).expect("good bounds");
        for span in spans {
            histogram.saturating_record((span.as_micros() as u64).max(1));
        }
        Self(histogram)
    }

    /// The quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Quantiles from the median up, for a plot.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        (50..100)
            .map(|hundredth| f64::from(hundredth) / 100.0)
            .map(|quantile| (quantile * 100.0, self.quantile_ms(quantile)))
            .collect()
    }
}

/// How one organisation fared.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Requests that ended.
    pub requests: u64,
    /// Times to the first token of those answered in time.
    pub first: Vec<std::time::Duration>,
}

impl Service {
    /// Part answered in time.
    pub fn success(&self) -> f64 {
        self.first.len() as f64 / (self.requests.max(1)) as f64
    }
}

/// Sorts ended requests by organisation.
pub fn by_organisation(world: &World, organisations: usize) -> Vec<Service> {
    let mut services = vec![Service::default(); organisations];
    for (organisation, end) in &world.ended {
        services[*organisation].requests += 1;
        if let End::Answered(first) = end {
            services[*organisation].first.push(*first);
        }
    }
    services
}

/// Offers load to the home VMs of each organisation until `seconds` are over,
/// then lets what runs end. Rates are requests a second by organisation.
pub fn offer(world: &mut World, site: &Site, rates: &[f64], seconds: u64, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let members = site.members();
    let homes: Vec<Vec<usize>> = site
        .organisations()
        .iter()
        .zip(rates)
        .map(|(name, rate)| {
            let vms = home::choose(name, &members, *rate);
            (0..members.len()).filter(|place| vms.contains(&members[*place].vm)).collect()
        })
        .collect();
    let load_end = Time::from_millis(seconds * 1_000);
    let all_end = Time::from_millis(seconds * 1_000 + 2 * PATIENCE_MS);
    while world.now() < all_end {
        if world.now() < load_end {
            for (organisation, rate) in rates.iter().enumerate() {
                if random.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                    let homes = &homes[organisation];
                    let vm = homes[random.random_range(0..homes.len())];
                    let tokens = random.random_range(TOKENS);
                    let came = world.now();
                    let deadline = Time(came.0 + PATIENCE_MS * 1_000);
                    world.arrive(vm, Job { organisation, tokens, came, deadline });
                }
            }
        }
        world.tick();
    }
}

/// Random choice, for each VM.
pub fn random_choices(site: &Site, seed: u64) -> Vec<Box<dyn Choice>> {
    let choice = |number| Box::new(Drawn(Random::new(seed + number as u64))) as Box<dyn Choice>;
    (0..site.entries).map(choice).collect()
}

struct Drawn(Random);

impl Choice for Drawn {
    fn pick(&self) -> &dyn Pick {
        &self.0
    }
}

/// The product's choice, for each VM.
pub fn balanced_choices(site: &Site, seed: u64) -> Vec<Box<dyn Choice>> {
    let shared = Shared::default();
    shared.view.store(Arc::new(site.view(CAPACITY)));
    let choice = |(number, member): (usize, Member)| {
        let balance = Balancer::new(member.vm, shared.clone(), seed + number as u64);
        Box::new(Balanced(balance)) as Box<dyn Choice>
    };
    site.members().into_iter().enumerate().map(choice).collect()
}

struct Balanced(Balancer);

impl Choice for Balanced {
    fn pick(&self) -> &dyn Pick {
        &self.0
    }

    fn started(&self, upstream: &Upstream) {
        self.0.started(upstream);
    }

    fn ended(&self, upstream: &Upstream, now: Time) {
        self.0.ended(upstream);
        self.0.succeeded(upstream, now);
    }

    fn report(&self, upstream: &Upstream, running: u32, at: Time) {
        let (running, waiting) = (running.min(CAPACITY), running.saturating_sub(CAPACITY));
        self.0.record_load(upstream, Report { running, waiting, at });
    }
}
