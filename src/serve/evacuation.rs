//! Evacuations of data centres, which the operator declares in the store.
//!
//! Only this VM's own reads of the store end an evacuation. A peer's word that the store
//! held the evacuation begins it here if it is newer than the last own read, so that it is
//! known sooner than by polling alone. Without reads, during an outage of the store,
//! evacuations stay as they are.
//!
//! A VM that was suspended may hold a view from before an evacuation; `freshness` keeps it from
//! sending.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::DataCentre;

/// Time by which a peer's word is taken for older when it is passed on. The time that a
/// datagram took isn't in its age, so words that are passed on and on would stay new.
const RELAY_MARGIN: Duration = Duration::from_millis(500);

/// Latest word that the store held an evacuation.
#[derive(Clone, Copy, Debug)]
struct Held {
    at: Time,
    /// Whether a peer said so.
    is_hint: bool,
}

/// What a read of the store changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Data centres whose evacuation was unknown.
    pub learnt: Vec<DataCentre>,
    /// Data centres whose evacuation was taken back.
    pub taken_back: Vec<DataCentre>,
}

/// Evacuated data centres, as this VM knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Time at which the store held each evacuation, by the latest word.
    held: HashMap<DataCentre, Held>,
    /// Time at which the last own read was current.
    read_at: Time,
}

impl Evacuations {
    /// Applies a read of the store that was current at `current_at`.
    pub fn record_read(&mut self, evacuated: &[DataCentre], current_at: Time) -> Change {
        if current_at < self.read_at {
            return Change::default();
        }
        self.read_at = current_at;
        let mut change = Change::default();
        for data_centre in evacuated {
            let held = Held { at: current_at, is_hint: false };
            if self.held.insert(data_centre.clone(), held).is_none() {
                change.learnt.push(data_centre.clone());
            }
        }
        // A peer may have read later than this VM.
        let is_over = |name: &DataCentre, at: Time| at <= current_at && !evacuated.contains(name);
        let over = self.held.extract_if(|name, held| is_over(name, held.at));
        change.taken_back.extend(over.map(|(name, _)| name));
        change
    }

    /// Records that, by a peer's word, the store held an evacuation at `at`; whether this
    /// begins it here.
    pub fn record_hint(&mut self, data_centre: &DataCentre, at: Time) -> bool {
        if at <= self.read_at {
            return false;
        }
        let is_new = !self.held.contains_key(data_centre);
        let hint = Held { at, is_hint: true };
        let held = self.held.entry(data_centre.clone()).or_insert(hint);
        if held.at < at {
            *held = hint;
        }
        is_new
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.held.contains_key(data_centre)
    }

    /// Evacuated data centres with the time of the latest word, for the other VMs.
    pub fn report(&self) -> impl Iterator<Item = (&DataCentre, Time)> {
        self.held.iter().map(|(data_centre, held)| {
            let margin = if held.is_hint { RELAY_MARGIN } else { Duration::ZERO };
            (data_centre, held.at.before_millis(margin.as_millis() as u32))
        })
    }
}
