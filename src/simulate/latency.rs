//! Latency by organisation behind fair queues and behind one queue in order of
//! arrival, on the same requests.

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

/// Entry VMs, each with its own queue.
const VMS: usize = 9;
/// Upstreams, and requests that each runs at once.
const UPSTREAMS: usize = 10;
/// Requests that one upstream runs at once.
const CAPACITY: usize = 8;
/// Requests a second by organisation; the first sends five times its rate.
const RATES: [f64; 8] = [20.0, 25.0, 20.0, 12.0, 8.0, 5.0, 3.0, 2.0];
/// What the first organisation sends, in parts of its rate.
const GREEDY: f64 = 5.0;
/// How long a request runs, at least and at most, in seconds.
const RUN_S: std::ops::Range<f64> = 0.2..0.8;
/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(10);

/// What organisations met.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// 99th percentile of wait and run, by organisation; the first one is the
    /// greedy one.
    pub p99_ms: Vec<u64>,
    /// Requests that were refused or not served in time, by organisation.
    pub lost: Vec<u64>,
}

impl Report {
    /// The worst p99 of an organisation that keeps to its rate, against the
    /// median of theirs.
    pub fn worst_to_median(&self) -> f64 {
        let mut kept = self.p99_ms[1..].to_vec();
        kept.sort_unstable();
        kept[kept.len() - 1] as f64 / kept[kept.len() / 2].max(1) as f64
    }

    /// The median p99 of organisations that keep to their rates.
    pub fn median_ms(&self) -> u64 {
        let mut kept = self.p99_ms[1..].to_vec();
        kept.sort_unstable();
        kept[kept.len() / 2]
    }
}

struct First;

impl Pick for First {
    fn pick(&self, _: &Ticket, free: &[Upstream], _: Time) -> Option<Upstream> {
        free.first().cloned()
    }
}

enum Event {
    Arrive(usize),
    End { vm: usize, upstream: Upstream, started: Time },
}

/// Runs for `seconds` from `seed`.
pub fn simulate(order: Policy, seed: u64, seconds: u64) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut timeline = Timeline::default();
    let mut queues: Vec<Queue> = (0..VMS).map(|vm| queue(order, vm)).collect();
    let mut waiting: HashMap<(usize, u64), (usize, Time, Duration)> = HashMap::new();
    let mut spans: Vec<Vec<u64>> = vec![Vec::new(); RATES.len()];
    let mut lost = vec![0; RATES.len()];
    let end = Time::from_millis(seconds * 1_000);
    (0..RATES.len()).for_each(|index| timeline.add(Time(1), Event::Arrive(index)));
    while let Some((now, event)) = timeline.pop() {
        if now >= end {
            break;
        }
        let vm = match event {
            Event::Arrive(index) => {
                let load = if index == 0 { GREEDY } else { 1.0 };
                let gap = -random.random::<f64>().max(f64::MIN_POSITIVE).ln();
                let gap = Duration::from_secs_f64(gap / (RATES[index] * load));
                timeline.add(now.after(gap), Event::Arrive(index));
                let vm = random.random_range(0..VMS);
                let run = Duration::from_secs_f64(random.random_range(RUN_S));
                match queues[vm].enqueue(ticket(index, now), 1, now) {
                    Ok(id) => drop(waiting.insert((vm, id), (index, now, run))),
                    Err(_) => lost[index] += 1,
                }
                vm
            }
            Event::End { vm, upstream, started } => {
                queues[vm].finish(&serves(), &upstream, started.until(now));
                vm
            }
        };
        for grant in queues[vm].start(&First, now) {
            let Some((index, arrived, run)) = waiting.remove(&(vm, grant.id)) else { continue };
            spans[index].push((arrived.until(now) + run).as_millis() as u64);
            let upstream = grant.upstream;
            timeline.add(now.after(run), Event::End { vm, upstream, started: now });
        }
    }
    // What still waits past its deadline was never served.
    for (index, arrived, _) in waiting.into_values() {
        lost[index] += u64::from(arrived.after(PATIENCE).passed(end));
    }
    Report { p99_ms: spans.into_iter().map(p99).collect(), lost }
}

fn p99(mut spans: Vec<u64>) -> u64 {
    spans.sort_unstable();
    spans.get(spans.len() * 99 / 100).copied().unwrap_or(0)
}

fn serves() -> Serves {
    Serves::Model("notes".into())
}

fn ticket(index: usize, now: Time) -> Ticket {
    Ticket {
        organisation: format!("organisation-{index}").into(),
        target: serves(),
        cost: 1,
        deadline: now.after(PATIENCE),
        excluded: Vec::new(),
        exclusive: false,
        prefix: None,
    }
}

/// A VM's queue with its part of all slots.
fn queue(order: Policy, vm: usize) -> Queue {
    let mut queue = Queue::new(order);
    let slots = (0..UPSTREAMS).map(|index| {
        let extra = usize::from((vm + index) % VMS < CAPACITY % VMS);
        let limit = (CAPACITY / VMS + extra) as u32;
        (
            format!("engine-{index}").into(),
            Limit { serves: serves(), concurrency: limit, live: true },
        )
    });
    queue.set_limits(slots.collect::<BTreeMap<_, _>>());
    queue
}
