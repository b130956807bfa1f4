//! Events in the order of their times.

use std::collections::BTreeMap;

use crate::clock::Time;

/// Future events; those of one time keep the order in which they were added.
#[derive(Clone, Debug)]
pub struct Timeline<E> {
    events: BTreeMap<(Time, u64), E>,
    next: u64,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), next: 0 }
    }
}

impl<E> Timeline<E> {
    /// Adds an event.
    pub fn add(&mut self, at: Time, event: E) {
        self.events.insert((at, self.next), event);
        self.next += 1;
    }

    /// Removes the earliest event.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
