//! The engine's prefix cache, and its event stream with delayed and missing events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::Serialize;

use super::Options;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// A change of the prefix cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    sequence: u64,
    kind: &'static str,
    prefix: String,
}

pub(super) struct Cache {
    capacity: usize,
    lag: Duration,
    drop_interval: u64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    cached: VecDeque<u64>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        let lag = Duration::from_millis(options.cache_lag_ms);
        let (capacity, drop_interval) = (options.prefixes, options.cache_drop_interval);
        Self { capacity, lag, drop_interval, state: Mutex::default() }
    }

    pub(super) fn reset(&self) {
        self.state.lock().cached.clear();
    }

    /// Marks a prefix as most recently used, adding it if necessary; returns whether it was cached.
    pub(super) fn touch(&self, prefix: u64) -> bool {
        let mut state = self.state.lock();
        let position = state.cached.iter().position(|cached| *cached == prefix);
        if let Some(index) = position {
            state.cached.remove(index);
        }
        state.cached.push_back(prefix);
        if position.is_some() {
            return true;
        }
        self.emit(&mut state, "stored", prefix);
        if state.cached.len() > self.capacity
            && let Some(evicted) = state.cached.pop_front()
        {
            self.emit(&mut state, "evicted", evicted);
        }
        false
    }

    fn emit(&self, state: &mut State, kind: &'static str, prefix: u64) {
        state.sequence += 1;
        let sequence = state.sequence;
        if self.drop_interval > 0 && sequence.is_multiple_of(self.drop_interval) {
            return;
        }
        let event = Event { sequence, kind, prefix: format!("{prefix:016x}") };
        state.events.push_back((Instant::now() + self.lag, event));
        if state.events.len() > MAX_EVENTS {
            state.events.pop_front();
        }
    }

    pub(super) fn events(&self, after: u64) -> Vec<Event> {
        let now = Instant::now();
        let state = self.state.lock();
        let visible =
            state.events.iter().filter(|(at, event)| *at <= now && event.sequence > after);
        visible.map(|(_, event)| event.clone()).collect()
    }
}
