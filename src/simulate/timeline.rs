//! The event queue of a discrete-event simulation.

use std::collections::BTreeMap;

use crate::clock::Time;

/// Pending events by time; events at the same time keep their insertion order.
#[derive(Clone, Debug)]
pub struct Timeline<E> {
    events: BTreeMap<(Time, u64), E>,
    next_seq: u64,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), next_seq: 0 }
    }
}

impl<E> Timeline<E> {
    /// Schedules an event.
    pub fn add(&mut self, at: Time, event: E) {
        self.events.insert((at, self.next_seq), event);
        self.next_seq += 1;
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
