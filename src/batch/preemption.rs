//! Simulates the effect of batch work on online requests, in virtual time.
//!
//! One entry VM sends online requests to a few engines, which share their
//! capacity among all running requests and have no priorities. `Limiter`
//! bounds the batch work beside them, with the intervals and delays of the
//! real worker. Three runs with the same arrivals are compared: no batch work,
//! batch work without preemption, and batch work with preemption.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::limiter::{Limiter, OnlineLoad};
use crate::clock::Time;

/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Number of engines, and of requests that each runs at once at full speed.
const ENGINES: usize = 4;
const CAPACITY: u32 = 16;
/// Service time of one request on an engine within its capacity, in
/// milliseconds.
const ONLINE_SERVICE_MS: f64 = 200.0;
const BATCH_SERVICE_MS: f64 = 300.0;
/// Online requests per second, outside and within bursts.
const BASE_RATE: f64 = 120.0;
const BURST_RATE: f64 = 420.0;
/// Period and duration of bursts, in milliseconds.
const BURST_PERIOD_MS: u64 = 10_000;
const BURST_MS: u64 = 2_000;
/// Interval at which the dispatcher applies the limits, in milliseconds.
const DISPATCH_INTERVAL_MS: u64 = 20;
/// Delay between leasing and starting an item, in milliseconds.
const START_DELAY_MS: u64 = 5;
/// Share of the throughput before a burst at which batch work counts as
/// recovered.
const RECOVERED_SHARE: f64 = 0.9;
/// Window over which throughput is averaged, in milliseconds.
const WINDOW_MS: u64 = 500;

/// Results of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stats {
    /// Median latency of online requests, in milliseconds.
    pub online_p50_ms: u64,
    /// 99th percentile of the latency of online requests, in milliseconds.
    pub online_p99_ms: u64,
    /// Batch items completed per second.
    pub batch_rate: f64,
    /// Completed batch work as a share of the capacity that online requests
    /// left free.
    pub batch_share: f64,
    /// Longest time after a burst until batch work recovered, in milliseconds.
    pub recovery_ms: u64,
}

/// Results of the three runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    /// Run without batch work.
    pub off: Stats,
    /// Run whose batch work ignores online requests.
    pub without_preemption: Stats,
    /// Run whose batch work is preempted by online requests.
    pub with_preemption: Stats,
}

/// Simulates the three runs with one seed.
pub fn compare(seed: u64) -> Comparison {
    let run = |limiter: Option<Limiter>| Run::new(seed, limiter).run();
    Comparison {
        off: run(None),
        without_preemption: run(Some(Limiter::without_preemption(CAPACITY))),
        with_preemption: run(Some(Limiter::new(CAPACITY))),
    }
}

struct Request {
    arrived: u64,
    remaining: f64,
}

#[derive(Default)]
struct Engine {
    online: Vec<Request>,
    batch: Vec<Request>,
}

struct Run {
    random: ChaCha8Rng,
    now: u64,
    engines: Vec<Engine>,
    limiters: Option<Vec<Limiter>>,
    waiting: VecDeque<Request>,
    /// Start time and engine of items that are leased but not started.
    starting: VecDeque<(u64, usize)>,
    latencies: Vec<u64>,
    /// Total of batch items completed by the end of each millisecond.
    completed: Vec<u64>,
    online_work: f64,
}

impl Run {
    fn new(seed: u64, limiter: Option<Limiter>) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            limiters: limiter.map(|limiter| vec![limiter; ENGINES]),
            waiting: VecDeque::new(),
            starting: VecDeque::new(),
            latencies: Vec::new(),
            completed: Vec::new(),
            online_work: 0.0,
        }
    }

    fn run(mut self) -> Stats {
        while self.now < RUN_MS {
            self.arrive();
            self.admit();
            if self.now.is_multiple_of(DISPATCH_INTERVAL_MS) {
                self.dispatch();
            }
            self.start();
            self.advance();
            self.now += 1;
        }
        self.stats()
    }

    fn arrive(&mut self) {
        let in_burst = self.now % BURST_PERIOD_MS >= BURST_PERIOD_MS - BURST_MS;
        let rate = if in_burst { BURST_RATE } else { BASE_RATE };
        if self.random.random_bool(rate / 1_000.0) {
            // Service times vary by up to a quarter.
            let remaining = ONLINE_SERVICE_MS * self.random.random_range(0.75..1.25);
            self.waiting.push_back(Request { arrived: self.now, remaining });
        }
    }

    /// Starts waiting online requests. The online queue counts only its own
    /// requests, so batch work doesn't hold them back.
    fn admit(&mut self) {
        while !self.waiting.is_empty() {
            let engines = self.engines.iter_mut();
            let least = engines
                .min_by_key(|engine| engine.online.len())
                .expect("there is at least one engine");
            if least.online.len() as u32 >= CAPACITY {
                return;
            }
            least.online.extend(self.waiting.pop_front());
        }
    }

    fn dispatch(&mut self) {
        let Some(limiters) = &mut self.limiters else { return };
        let now = Time::from_millis(self.now + 1);
        let waiting = self.waiting.len().div_ceil(ENGINES) as u32;
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let online = OnlineLoad { running: engine.online.len() as u32, waiting };
            limiters[index].report("entry-1".into(), online, now);
            let limits = limiters[index].limits(now);
            let starting = self.starting.iter().filter(|(_, target)| *target == index).count();
            // Preempted items restart from the beginning later.
            engine.batch.truncate(limits.preempt_above as usize);
            for _ in engine.batch.len() + starting..limits.start_below as usize {
                self.starting.push_back((self.now + START_DELAY_MS, index));
            }
        }
    }

    fn start(&mut self) {
        while self.starting.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, index) = self.starting.pop_front().expect("the queue is not empty");
            self.engines[index]
                .batch
                .push(Request { arrived: self.now, remaining: BATCH_SERVICE_MS });
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        let mut completed = self.completed.last().copied().unwrap_or(0);
        for engine in &mut self.engines {
            let running = (engine.online.len() + engine.batch.len()) as f64;
            let speed = (f64::from(CAPACITY) / running.max(1.0)).min(1.0);
            let requests = engine.online.iter_mut().chain(engine.batch.iter_mut());
            requests.for_each(|request| request.remaining -= speed);
            self.online_work += speed * engine.online.len() as f64;
            let ended = engine.online.extract_if(.., |request| request.remaining <= 0.0);
            self.latencies.extend(ended.map(|request| now + 1 - request.arrived));
            completed +=
                engine.batch.extract_if(.., |request| request.remaining <= 0.0).count() as u64;
        }
        self.completed.push(completed);
    }

    fn stats(mut self) -> Stats {
        self.latencies.sort_unstable();
        let percentile = |share: f64| {
            let rank = (self.latencies.len() as f64 * share) as usize;
            self.latencies[rank.min(self.latencies.len() - 1)]
        };
        let items = self.completed.last().copied().unwrap_or(0) as f64;
        let capacity = RUN_MS as f64 * f64::from(CAPACITY) * ENGINES as f64;
        Stats {
            online_p50_ms: percentile(0.50),
            online_p99_ms: percentile(0.99),
            batch_rate: items * 1_000.0 / RUN_MS as f64,
            batch_share: items * BATCH_SERVICE_MS / (capacity - self.online_work),
            recovery_ms: self.recovery(),
        }
    }

    /// Longest time from the end of a burst until the throughput over a window
    /// has recovered to its level before the burst.
    fn recovery(&self) -> u64 {
        let rate = |from: u64, through: u64| {
            (self.completed[through as usize] - self.completed[from as usize]) as f64
                / (through - from) as f64
        };
        let ends = (1..RUN_MS / BURST_PERIOD_MS).map(|burst| burst * BURST_PERIOD_MS);
        let recoveries = ends.map(|end| {
            let before = rate(end - BURST_MS - 4_000, end - BURST_MS);
            let mut at = end;
            while at + 1 < RUN_MS && rate(at - WINDOW_MS, at) < before * RECOVERED_SHARE {
                at += 1;
            }
            at - end
        });
        recoveries.max().unwrap_or(0)
    }
}
