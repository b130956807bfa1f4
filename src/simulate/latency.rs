//! Latency by organisation with fair queueing and with first-come, first-served
//! queueing, for the same load.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Timeline;
use crate::admission::queue::{Limit, Policy, Queue};
use crate::admission::{Pick, Ticket};
use crate::clock::Time;
use crate::config::resource::Serves;
use crate::id::Upstream;

/// Number of entry VMs, each with its own queue.
const VMS: usize = 9;
/// Number of upstreams.
const UPSTREAMS: usize = 10;
/// Concurrent requests per upstream.
const CAPACITY: usize = 8;
/// Rate limits in requests per second, by organisation. The first organisation
/// sends `OVERLOAD_FACTOR` times its rate.
const RATES: [f64; 8] = [20.0, 25.0, 20.0, 12.0, 8.0, 5.0, 3.0, 2.0];
/// Load of the first organisation as a multiple of its rate.
const OVERLOAD_FACTOR: f64 = 5.0;
/// Range of request run times, in seconds.
const RUN_TIME_S: std::ops::Range<f64> = 0.2..0.8;
/// Time after which a queued request expires.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Latency and losses of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// 99th percentile of queueing plus run time, by organisation. The first
    /// organisation is the one that exceeds its rate.
    pub p99_ms: Vec<u64>,
    /// Requests that were refused or expired in the queue, by organisation.
    pub lost: Vec<u64>,
}

impl Report {
    /// Ratio of the worst to the median p99 among the organisations that stay
    /// within their rates.
    pub fn worst_to_median(&self) -> f64 {
        let mut compliant = self.p99_ms[1..].to_vec();
        compliant.sort_unstable();
        compliant[compliant.len() - 1] as f64 / compliant[compliant.len() / 2].max(1) as f64
    }

    /// Median p99 of the organisations that stay within their rates.
    pub fn median_ms(&self) -> u64 {
        let mut compliant = self.p99_ms[1..].to_vec();
        compliant.sort_unstable();
        compliant[compliant.len() / 2]
    }
}

struct FirstFree;

impl Pick for FirstFree {
    fn pick(&self, _: &Ticket, free: &[Upstream], _: Time) -> Option<Upstream> {
        free.first().cloned()
    }
}

enum Event {
    Arrive(usize),
    Finish { vm: usize, upstream: Upstream, started_at: Time },
}

/// Runs for `seconds` from `seed`.
pub fn simulate(policy: Policy, seed: u64, seconds: u64) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut timeline = Timeline::default();
    let mut queues: Vec<Queue> = (0..VMS).map(|vm| queue(policy, vm)).collect();
    let mut waiting: HashMap<(usize, u64), (usize, Time, Duration)> = HashMap::new();
    let mut latencies_ms: Vec<Vec<u64>> = vec![Vec::new(); RATES.len()];
    let mut lost = vec![0; RATES.len()];
    let end = Time::from_millis(seconds * 1_000);
    (0..RATES.len()).for_each(|index| timeline.add(Time(1), Event::Arrive(index)));
    while let Some((now, event)) = timeline.pop() {
        if now >= end {
            break;
        }
        let vm = match event {
            Event::Arrive(index) => {
                let factor = if index == 0 { OVERLOAD_FACTOR } else { 1.0 };
                let interarrival = -random.random::<f64>().max(f64::MIN_POSITIVE).ln();
                let interarrival = Duration::from_secs_f64(interarrival / (RATES[index] * factor));
                timeline.add(now.after(interarrival), Event::Arrive(index));
                let vm = random.random_range(0..VMS);
                let run_time = Duration::from_secs_f64(random.random_range(RUN_TIME_S));
                match queues[vm].enqueue(ticket(index, now), 1, now) {
                    Ok(id) => drop(waiting.insert((vm, id), (index, now, run_time))),
                    Err(_) => lost[index] += 1,
                }
                vm
            }
            Event::Finish { vm, upstream, started_at } => {
                queues[vm].finish(&target(), &upstream, started_at.until(now));
                vm
            }
        };
        for grant in queues[vm].start(&FirstFree, now) {
            let Some((index, arrived_at, run_time)) = waiting.remove(&(vm, grant.id)) else {
                continue;
            };
            latencies_ms[index].push((arrived_at.until(now) + run_time).as_millis() as u64);
            let upstream = grant.upstream;
            timeline.add(now.after(run_time), Event::Finish { vm, upstream, started_at: now });
        }
    }
    // Requests still queued past their deadline were never served.
    for (index, arrived_at, _) in waiting.into_values() {
        lost[index] += u64::from(arrived_at.after(CALLER_TIMEOUT).passed(end));
    }
    Report { p99_ms: latencies_ms.into_iter().map(p99).collect(), lost }
}

fn p99(mut latencies_ms: Vec<u64>) -> u64 {
    latencies_ms.sort_unstable();
    latencies_ms.get(latencies_ms.len() * 99 / 100).copied().unwrap_or(0)
}

fn target() -> Serves {
    Serves::Model("notes".into())
}

fn ticket(index: usize, now: Time) -> Ticket {
    Ticket {
        organisation: format!("organisation-{index}").into(),
        target: target(),
        cost: 1,
        deadline: now.after(CALLER_TIMEOUT),
        excluded: Vec::new(),
        exclusive: false,
        prefix: None,
    }
}

/// Creates a VM's queue with its share of all slots.
fn queue(policy: Policy, vm: usize) -> Queue {
    let mut queue = Queue::new(policy);
    let slots = (0..UPSTREAMS).map(|index| {
        let extra = usize::from((vm + index) % VMS < CAPACITY % VMS);
        let limit = (CAPACITY / VMS + extra) as u32;
        (
            format!("engine-{index}").into(),
            Limit { serves: target(), concurrency: limit, live: true },
        )
    });
    queue.set_limits(slots.collect::<BTreeMap<_, _>>());
    queue
}
