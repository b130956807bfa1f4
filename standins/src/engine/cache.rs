//! The engine's limited prefix memory and its late, gappy events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::Serialize;

use super::Options;

/// Events that are kept to be told.
const EVENTS: usize = 10_000;

/// A change of the prefix memory.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    sequence: u64,
    kind: &'static str,
    prefix: String,
}

pub(super) struct Cache {
    prefixes: usize,
    lag: Duration,
    gap: u64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    held: VecDeque<u64>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        let lag = Duration::from_millis(options.cache_lag_ms);
        let (prefixes, gap) = (options.prefixes, options.cache_gap);
        Self { prefixes, lag, gap, state: Mutex::default() }
    }

    pub(super) fn forget(&self) {
        self.state.lock().held.clear();
    }

    /// Uses a prefix; says whether it was held.
    pub(super) fn touch(&self, prefix: u64) -> bool {
        let mut state = self.state.lock();
        let found = state.held.iter().position(|held| *held == prefix);
        if let Some(place) = found {
            state.held.remove(place);
        }
        state.held.push_back(prefix);
        if found.is_some() {
            return true;
        }
        self.tell(&mut state, "stored", prefix);
        if state.held.len() > self.prefixes
            && let Some(evicted) = state.held.pop_front()
        {
            self.tell(&mut state, "evicted", evicted);
        }
        false
    }

    fn tell(&self, state: &mut State, kind: &'static str, prefix: u64) {
        state.sequence += 1;
        let sequence = state.sequence;
        if self.gap > 0 && sequence.is_multiple_of(self.gap) {
            return;
        }
        let event = Event { sequence, kind, prefix: format!("{prefix:016x}") };
        state.events.push_back((Instant::now() + self.lag, event));
        if state.events.len() > EVENTS {
            state.events.pop_front();
        }
    }

    pub(super) fn events(&self, after: u64) -> Vec<Event> {
        let now = Instant::now();
        let state = self.state.lock();
        let due = state.events.iter().filter(|(at, event)| *at <= now && event.sequence > after);
        due.map(|(_, event)| event.clone()).collect()
    }
}
