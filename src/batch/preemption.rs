//! What batch work does to online requests, in virtual time.
//!
//! One entry VM sends online requests to a few engines, which share their
//! capacity among all that runs there and know no priorities. `Limiter`
//! decides how much batch work runs beside them, with the pauses and delays
//! of the real worker. Three runs with the same arrivals are compared: batch
//! off, batch without yielding, batch with yielding.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::limiter::{Limiter, OnlineLoad};
use crate::clock::Time;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Engines, and what each runs at once without slowing.
const ENGINES: usize = 4;
const CAPACITY: u32 = 16;
/// Work of one request on an engine that isn't crowded, in milliseconds.
const ONLINE_WORK_MS: f64 = 200.0;
const BATCH_WORK_MS: f64 = 300.0;
/// Online requests a second, outside and within bursts.
const CALM_RATE: f64 = 120.0;
const BURST_RATE: f64 = 420.0;
/// A burst comes every so often and lasts so long, in milliseconds.
const BURST_PERIOD_MS: u64 = 10_000;
const BURST_MS: u64 = 2_000;
/// Pause between two looks of the dispatcher, in milliseconds.
const LOOK_MS: u64 = 20;
/// Delay until leased items start, in milliseconds.
const LEASE_MS: u64 = 5;
/// Share of the throughput before a burst at which batch work is back.
const RECOVERED: f64 = 0.9;
/// Span over which throughput is averaged, in milliseconds.
const WINDOW_MS: u64 = 500;

/// What one run gave.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stats {
    /// Median time of online requests, in milliseconds.
    pub online_p50_ms: u64,
    /// 99th percentile of the same.
    pub online_p99_ms: u64,
    /// Batch items completed in a second.
    pub batch_rate: f64,
    /// Batch work completed, as a share of the capacity that online left.
    pub batch_share: f64,
    /// Longest time after a burst until batch work was back, in milliseconds.
    pub recovery_ms: u64,
}

/// The three runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    /// No batch work.
    pub off: Stats,
    /// Batch work takes no notice of online requests.
    pub without_preemption: Stats,
    /// Batch work gives way.
    pub with_preemption: Stats,
}

/// Runs all three from one seed.
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
    left: f64,
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
    /// Items that are on their way to an engine, and when they arrive.
    starting: VecDeque<(u64, usize)>,
    latencies: Vec<u64>,
    /// Batch items completed by the end of each millisecond.
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
            if self.now.is_multiple_of(LOOK_MS) {
                self.look();
            }
            self.start();
            self.progress();
            self.now += 1;
        }
        self.stats()
    }

    fn arrive(&mut self) {
        let in_burst = self.now % BURST_PERIOD_MS >= BURST_PERIOD_MS - BURST_MS;
        let rate = if in_burst { BURST_RATE } else { CALM_RATE };
        if self.random.random_bool(rate / 1_000.0) {
            // Requests differ by up to a quarter of their usual work.
            let left = ONLINE_WORK_MS * self.random.random_range(0.75..1.25);
            self.waiting.push_back(Request { arrived: self.now, left });
        }
    }

    /// The online queue knows only its own requests.
    fn admit(&mut self) {
        while !self.waiting.is_empty() {
            let engines = self.engines.iter_mut();
            let least = engines.min_by_key(|engine| engine.online.len()).expect("there are some");
            if least.online.len() as u32 >= CAPACITY {
                return;
            }
            least.online.extend(self.waiting.pop_front());
        }
    }

    fn look(&mut self) {
        let Some(limiters) = &mut self.limiters else { return };
        let now = Time::from_millis(self.now + 1);
        let waiting = self.waiting.len().div_ceil(ENGINES) as u32;
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let online = OnlineLoad { running: engine.online.len() as u32, waiting };
            limiters[index].report("entry-1".into(), online, now);
            let limits = limiters[index].limits(now);
            let coming = self.starting.iter().filter(|(_, place)| *place == index).count();
            // What gives way begins anew later on.
            engine.batch.truncate(limits.preempt_above as usize);
            for _ in engine.batch.len() + coming..limits.start_below as usize {
                self.starting.push_back((self.now + LEASE_MS, index));
            }
        }
    }

    fn start(&mut self) {
        while self.starting.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, index) = self.starting.pop_front().expect("just seen");
            self.engines[index].batch.push(Request { arrived: self.now, left: BATCH_WORK_MS });
        }
    }

    fn progress(&mut self) {
        let now = self.now;
        let mut completed = self.completed.last().copied().unwrap_or(0);
        for engine in &mut self.engines {
            let running = (engine.online.len() + engine.batch.len()) as f64;
            let speed = (f64::from(CAPACITY) / running.max(1.0)).min(1.0);
            let requests = engine.online.iter_mut().chain(engine.batch.iter_mut());
            requests.for_each(|request| request.left -= speed);
            self.online_work += speed * engine.online.len() as f64;
            let ended = engine.online.extract_if(.., |request| request.left <= 0.0);
            self.latencies.extend(ended.map(|request| now + 1 - request.arrived));
            completed += engine.batch.extract_if(.., |request| request.left <= 0.0).count() as u64;
        }
        self.completed.push(completed);
    }

    fn stats(mut self) -> Stats {
        self.latencies.sort_unstable();
        let percentile = |share: f64| {
            let place = (self.latencies.len() as f64 * share) as usize;
            self.latencies[place.min(self.latencies.len() - 1)]
        };
        let items = self.completed.last().copied().unwrap_or(0) as f64;
        let capacity = RUN_MS as f64 * f64::from(CAPACITY) * ENGINES as f64;
        Stats {
            online_p50_ms: percentile(0.50),
            online_p99_ms: percentile(0.99),
            batch_rate: items * 1_000.0 / RUN_MS as f64,
            batch_share: items * BATCH_WORK_MS / (capacity - self.online_work),
            recovery_ms: self.recovery(),
        }
    }

    /// Longest time from a burst's end until the throughput over a window is
    /// back at what it was before the burst.
    fn recovery(&self) -> u64 {
        let rate = |from: u64, through: u64| {
            (self.completed[through as usize] - self.completed[from as usize]) as f64
                / (through - from) as f64
        };
        let ends = (1..RUN_MS / BURST_PERIOD_MS).map(|burst| burst * BURST_PERIOD_MS);
        let spans = ends.map(|end| {
            let before = rate(end - BURST_MS - 4_000, end - BURST_MS);
            let mut at = end;
            while at + 1 < RUN_MS && rate(at - WINDOW_MS, at) < before * RECOVERED {
                at += 1;
            }
            at - end
        });
        spans.max().unwrap_or(0)
    }
}
