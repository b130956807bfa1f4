//! Failures of upstreams: when they are ejected, and which may no longer be the process that
//! their entry names.

use super::{EJECTION, Key, MAX_EJECTION, SAMPLE_WEIGHT, Table};
use crate::clock::Time;
use crate::id::Upstream;

impl Table {
    /// Replaces the peer failure counts; `failed` names each upstream once per peer that
    /// has ejected it.
    pub fn set_peer_failures<I>(&mut self, failed: I)
    where
        I: IntoIterator<Item = u32>,
    {
        for entry in self.entries.values_mut() {
            entry.peer_failures = 0;
        }
        for number in failed {
            if let Some(key) = self.by_number.get(&number) {
                self.entries[*key].peer_failures += 1;
            }
        }
    }

    /// Numbers of the upstreams that this VM has ejected at `now`.
    pub fn ejected(&self, now: Time) -> Vec<u32> {
        let ejected = self.entries.values().filter(|entry| !entry.ejected_until.passed(now));
        ejected.map(|entry| entry.number).collect()
    }

    /// Ends all ejections.
    pub fn clear_ejections(&mut self) {
        for entry in self.entries.values_mut() {
            entry.ejected_until = Time(0);
            entry.failures = 0;
        }
    }

    /// Number of other VMs that have ejected an upstream.
    pub fn ejected_by_others(&self, upstream: &Upstream) -> u32 {
        let entry = self.by_name.get(upstream).and_then(|key| self.entries.get(*key));
        entry.map_or(0, |entry| entry.peer_failures)
    }

    /// Records a failure of an upstream; returns the time until which it is ejected.
    pub fn record_failure(&mut self, key: Key, now: Time) -> Option<Time> {
        let entry = self.entries.get_mut(key)?;
        let span = EJECTION.saturating_mul(1 << entry.failures.min(4)).min(MAX_EJECTION);
        entry.failures += 1;
        entry.failed_at = now;
        entry.ejected_until = entry.ejected_until.max(now.after(span));
        Some(entry.ejected_until)
    }

    /// Records a first event after this many milliseconds.
    pub fn record_first_event(&mut self, key: Key, first_event_ms: f64) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.failures = 0;
        entry.first_event_ms += (first_event_ms - entry.first_event_ms) * SAMPLE_WEIGHT;
    }

    /// Records that the process which an upstream's entry names was gone: it accepted no
    /// connection.
    pub fn doubt(&mut self, key: Key, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.doubted_at = Some(now);
        }
    }

    /// Upstreams that were gone since they were last shown to be the process that their entry
    /// names, with their addresses and the time at which that was seen.
    pub fn doubted(&self) -> Vec<(Key, std::net::SocketAddr, Time)> {
        let entries = self.entries.iter();
        let doubted = entries
            .filter_map(|(key, entry)| Some((key, entry.registration.address, entry.doubted_at?)));
        doubted.collect()
    }

    /// Records that an upstream is the process that its entry names.
    pub fn confirm(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.doubted_at = None;
        }
    }
}
