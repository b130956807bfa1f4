//! Table of the upstreams with their load and health.

mod health;

use std::collections::HashMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use slotmap::{SlotMap, new_key_type};

use super::departure::{Departures, Process};
use super::limit::{Limits, Word};
use super::store::Registration;
pub use super::timing::Timing;
use crate::clock::Time;
use crate::id::{Service, Upstream};

new_key_type! {
    /// Key of an upstream in the table.
    pub struct Key;
}

/// Ejection time after a first failure.
const EJECTION: Duration = Duration::from_millis(400);
/// Maximum ejection time after failures in a row.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Weight of the newest sample in an upstream's moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Kind of request that holds a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// An online request.
    Online,
    /// An item of a batch job.
    Batch,
}

impl Use {
    /// Value for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Use::Online => "online",
            Use::Batch => "batch",
        }
    }
}

/// Number of requests running at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of online requests.
    pub online: u32,
    /// Number of batch items.
    pub batch: u32,
}

impl Load {
    /// Online requests and batch items together.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// Load of one peer at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of the upstream, as given by `number`.
    pub upstream: u32,
    /// Requests of the peer.
    pub load: Load,
    /// Whether the peer interrupts its batch items before this VM does.
    pub yields_first: bool,
}

/// State of an upstream.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its registration in the store.
    pub registration: Registration,
    /// Number that identifies it in datagrams.
    pub number: u32,
    /// Requests of this VM.
    pub own: Load,
    /// Requests of other VMs, from their latest load reports.
    pub peers: Load,
    /// Batch items of the VMs that interrupt theirs before this VM does.
    pub batch_yielding_first: u32,
    /// Number of other VMs that have ejected it after failures.
    pub peer_failures: u32,
    /// Time until which it gets no requests from this VM.
    pub ejected_until: Time,
    /// Whether its process said that it leaves.
    pub leaving: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Requests per second that its process takes from all VMs, if it says so.
    pub limit_per_s: Option<f64>,
    /// Time until which it takes no request of this VM within its limit.
    pub closed_until: Time,
    /// Time until which it takes no item of this VM within its limit.
    pub closed_to_items_until: Time,
    /// Moving average of the time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Failures at this VM since its last first event.
    pub failures: u32,
    /// When it last failed at this VM.
    pub failed_at: Time,
    /// When it was seen gone, by any VM, since it was last shown to be the process that its entry
    /// names.
    pub doubted_at: Option<Time>,
    /// Whether its entry is missing and it is kept for a while.
    is_missing: bool,
}

impl Entry {
    fn new(registration: Registration) -> Self {
        let number = number(&registration.upstream);
        Self {
            registration,
            number,
            own: Load::default(),
            peers: Load::default(),
            batch_yielding_first: 0,
            peer_failures: 0,
            ejected_until: Time(0),
            leaving: false,
            evacuated: false,
            limit_per_s: None,
            closed_until: Time(0),
            closed_to_items_until: Time(0),
            first_event_ms: 0.0,
            failures: 0,
            failed_at: Time(0),
            doubted_at: None,
            is_missing: false,
        }
    }

    /// Requests of all VMs.
    pub fn load(&self) -> Load {
        Load {
            online: self.own.online + self.peers.online,
            batch: self.own.batch + self.peers.batch,
        }
    }

    /// Number of slots that no request of any VM holds.
    pub fn free_slots(&self) -> u32 {
        self.registration.slots.saturating_sub(self.load().total())
    }

    /// Whether it takes new requests, by its registration, its own word and the operator's.
    pub fn stays(&self) -> bool {
        !self.registration.draining && !self.leaving && !self.evacuated
    }

    /// Whether requests may be sent at `now`.
    pub fn usable(&self, now: Time) -> bool {
        self.stays() && self.ejected_until.passed(now)
    }

    /// Whether it may take a request of this VM within the limit that it named.
    pub fn is_open(&self, now: Time) -> bool {
        self.closed_until.passed(now)
    }

    /// Applies the limit that its process names; none opens it at once.
    fn set_limit(&mut self, per_s: Option<f64>) {
        let had_limit = std::mem::replace(&mut self.limit_per_s, per_s).is_some();
        if had_limit && per_s.is_none() {
            self.closed_until = Time(0);
            self.closed_to_items_until = Time(0);
        }
    }
}

/// Number that identifies an upstream in datagrams: a hash of its identifier.
pub fn number(upstream: &Upstream) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(upstream.as_str().as_bytes());
    hasher.finish() as u32
}

/// What a new list of registrations changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Upstreams that were added.
    pub added: Vec<Upstream>,
    /// Upstreams that were removed.
    pub removed: Vec<Upstream>,
    /// Upstreams whose entries say for the first time that they shut down.
    pub draining: Vec<Upstream>,
    /// Upstreams that are missing for the first time and kept for a while.
    pub kept: Vec<Upstream>,
}

/// All known upstreams.
#[derive(Default)]
pub struct Table {
    entries: SlotMap<Key, Entry>,
    by_name: HashMap<Upstream, Key>,
    by_number: HashMap<u32, Key>,
    timings: HashMap<Service, Timing>,
    departures: Departures,
    limits: Limits,
    kept_until: Time,
}

impl Table {
    /// Applies a new list of registrations. After an outage of the store, upstreams that are
    /// missing from this list and from later ones are kept until `kept_until`.
    pub fn replace(
        &mut self,
        registrations: &[Registration],
        kept_until: Option<Time>,
        now: Time,
    ) -> Change {
        if let Some(kept_until) = kept_until {
            self.kept_until = kept_until;
        }
        let mut change = Change::default();
        for registration in registrations {
            let was_draining = self.is_draining(&registration.upstream);
            if self.upsert(registration) {
                change.added.push(registration.upstream.clone());
            }
            if registration.draining && !was_draining {
                change.draining.push(registration.upstream.clone());
            }
        }
        let listed: std::collections::HashSet<&Upstream> =
            registrations.iter().map(|registration| &registration.upstream).collect();
        let are_kept = !self.kept_until.passed(now);
        let mut removed = Vec::new();
        for (key, entry) in &mut self.entries {
            if listed.contains(&entry.registration.upstream) {
                entry.is_missing = false;
                continue;
            }
            if !are_kept {
                removed.push(key);
            } else if !std::mem::replace(&mut entry.is_missing, true) {
                change.kept.push(entry.registration.upstream.clone());
            }
        }
        change.removed = removed.into_iter().filter_map(|key| self.remove(key)).collect();
        change
    }

    fn is_draining(&self, upstream: &Upstream) -> bool {
        let entry = self.by_name.get(upstream).and_then(|key| self.entries.get(*key));
        entry.is_some_and(|entry| entry.registration.draining)
    }

    fn upsert(&mut self, registration: &Registration) -> bool {
        if let Some(key) = self.by_name.get(&registration.upstream) {
            let entry = &mut self.entries[*key];
            let restarted = entry.registration.started_unix_ms != registration.started_unix_ms
                || entry.registration.address != registration.address;
            entry.registration = registration.clone();
            entry.leaving = self.departures.contains(registration.process());
            entry.set_limit(self.limits.per_s(registration.process()));
            if restarted {
                entry.ejected_until = Time(0);
                entry.failures = 0;
                entry.doubted_at = None;
                entry.first_event_ms = 0.0;
            }
            return false;
        }
        let mut entry = Entry::new(registration.clone());
        entry.leaving = self.departures.contains(registration.process());
        entry.set_limit(self.limits.per_s(registration.process()));
        let number = entry.number;
        let key = self.entries.insert(entry);
        self.by_name.insert(registration.upstream.clone(), key);
        self.by_number.insert(number, key);
        true
    }

    fn remove(&mut self, key: Key) -> Option<Upstream> {
        let entry = self.entries.remove(key)?;
        self.by_name.remove(&entry.registration.upstream);
        self.by_number.remove(&entry.number);
        Some(entry.registration.upstream)
    }

    /// Looks up an upstream; none once it was removed.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Name of the upstream with this process, if it is listed.
    pub fn name(&self, process: Process) -> Option<&Upstream> {
        let entry = self.entries.get(*self.by_number.get(&process.number)?)?;
        Some(&entry.registration.upstream)
    }

    /// Looks up an upstream to modify its state; none once it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter()
    }

    /// Iterates over all upstreams to modify their state.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    /// Iterates over all upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = (Key, &'a Entry)> {
        self.entries.iter().filter(move |(_, entry)| &entry.registration.service == service)
    }

    /// Records that a process of an upstream said at `at` that it leaves, in an answer
    /// that this VM read or another one; whether this was unknown here.
    pub fn record_leaving(&mut self, process: Process, at: Time, own: bool, now: Time) -> bool {
        let is_new = self.departures.record(process, at, own, now);
        if let Some(key) = self.by_number.get(&process.number) {
            let entry = &mut self.entries[*key];
            entry.leaving = self.departures.contains(entry.registration.process());
        }
        is_new
    }

    /// Processes that lately told this VM that they leave, with the time of their answer.
    pub fn told_leaving(&self, now: Time) -> impl Iterator<Item = (Process, Time)> {
        self.departures.told(now)
    }

    /// The same, as far as the others are told now.
    pub fn take_told_leaving(&mut self, most: usize, now: Time) -> Vec<(Process, Time)> {
        self.departures.take_due(most, now)
    }

    /// Records what a process of an upstream said of its limit, in an answer that this VM
    /// read if `own`, or another one; whether this changes the limit.
    pub fn record_limit(&mut self, process: Process, word: Word, own: bool, now: Time) -> bool {
        let changed = self.limits.record(process, word, own, now);
        if let Some(key) = self.by_number.get(&process.number) {
            let entry = &mut self.entries[*key];
            entry.set_limit(self.limits.per_s(entry.registration.process()));
        }
        changed
    }

    /// Limits of the upstreams' processes.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The same, to grant requests.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Records that an upstream takes no request of this VM until a time, by its limit. An
    /// item that is denied says nothing of online requests, which come first.
    pub fn close(&mut self, key: Key, kind: Use, until: Time) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.limit_per_s.is_none() {
            return;
        }
        match kind {
            Use::Online => entry.closed_until = until,
            Use::Batch => entry.closed_to_items_until = until,
        }
    }

    /// Whether all upstreams of a service leave or are evacuated; false if it has none.
    pub fn all_leave(&self, service: &Service) -> bool {
        let mut entries = self.of_service(service).peekable();
        entries.peek().is_some() && entries.all(|(_, entry)| !entry.stays())
    }

    /// Replaces the loads of all peers.
    pub fn set_peer_loads<I>(&mut self, loads: I)
    where
        I: IntoIterator<Item = PeerLoad>,
    {
        for entry in self.entries.values_mut() {
            entry.peers = Load::default();
            entry.batch_yielding_first = 0;
        }
        for PeerLoad { upstream, load, yields_first } in loads {
            let Some(key) = self.by_number.get(&upstream) else { continue };
            let entry = &mut self.entries[*key];
            entry.peers.online += load.online;
            entry.peers.batch += load.batch;
            entry.batch_yielding_first += if yields_first { load.batch } else { 0 };
        }
    }

    /// Whether an upstream is registered with this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.entries.values().any(|entry| entry.registration.address == address)
    }

    /// Timing of a service's upstreams.
    pub fn timing(&self, service: &Service) -> Timing {
        self.timings.get(service).copied().unwrap_or(Timing::INITIAL)
    }

    /// Timing of the service that an upstream belongs to.
    pub fn timing_at(&self, key: Key) -> Timing {
        self.entries
            .get(key)
            .map_or(Timing::INITIAL, |entry| self.timing(&entry.registration.service))
    }

    /// Records a first event that came this many milliseconds after its request
    /// had taken a free slot.
    pub fn record_idle_first_event(&mut self, key: Key, sample_ms: f64) {
        if let Some(timing) = self.timing_mut(key) {
            timing.record_idle_first_event(sample_ms);
        }
    }

    /// Records that an online request held its slot for this many milliseconds.
    pub fn record_slot_time(&mut self, key: Key, sample_ms: f64) {
        if let Some(timing) = self.timing_mut(key) {
            timing.record_slot_time(sample_ms);
        }
    }

    /// Records that an attempt at a batch item received `events` events in
    /// `took_ms` milliseconds.
    pub fn record_item_attempt(&mut self, key: Key, events: usize, took_ms: f64) {
        if let Some(timing) = self.timing_mut(key) {
            timing.record_item_attempt(events, took_ms);
        }
    }

    /// Records the number of events of a complete batch item of `tokens` tokens.
    pub fn record_item_size(&mut self, key: Key, events: usize, tokens: u64) {
        if let Some(timing) = self.timing_mut(key) {
            timing.record_item_size(events, tokens);
        }
    }

    fn timing_mut(&mut self, key: Key) -> Option<&mut Timing> {
        let service = self.entries.get(key)?.registration.service.clone();
        Some(self.timings.entry(service).or_insert(Timing::INITIAL))
    }
}
