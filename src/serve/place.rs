//! Choice of the upstream that runs a request, and refusal of requests that
//! would come too late.
//!
//! Upstreams admit requests in order of arrival and know no priorities. A
//! request goes where its first event is expected soonest, counting all VMs'
//! requests; how fast upstreams are is measured for each service. Batch items
//! make room for online requests, so they cost an online request only the time
//! of the interruption.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::upstream::{Entry, Key, Table, Timing};
use crate::clock::Time;
use crate::id::{DataCentre, Service, Upstream, Vm};

/// VMs whose requests seldom meet at one upstream before they know of each other.
const FEW_VMS: usize = 14;
/// Time in which a batch item makes room, in milliseconds.
const PREEMPTION_MS: f64 = 20.0;
/// What one running request adds to another's first event, in milliseconds.
const SHARING_MS: f64 = 1.0;
/// What another data centre costs, in milliseconds.
const DISTANCE_MS: f64 = 3.0;
/// Share of an upstream's average first-event time that counts against it.
const HISTORY_WEIGHT: f64 = 0.25;
/// Other VMs at which an upstream must have failed to be passed over.
const MIN_PEER_FAILURES: u32 = 2;
/// What such an upstream costs: it is used only when the others are full.
const PEER_FAILURE_PENALTY_MS: f64 = 250.0;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that must run the request.
    pub service: &'a Service,
    /// Where this VM stands.
    pub data_centre: &'a DataCentre,
    /// Upstreams that already failed this request.
    pub tried: &'a [Upstream],
    /// Breaks ties between VMs that choose at the same moment.
    pub tie_breaker: u64,
}

/// A chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Which one.
    pub key: Key,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether a slot is free, or a batch item makes room.
    pub free: bool,
}

/// Chooses an upstream for an online request; none if no upstream is usable.
pub fn online(table: &Table, criteria: Criteria<'_>, now: Time) -> Option<Choice> {
    let usable = |(_, entry): &(Key, &Entry)| {
        entry.usable(now) && !criteria.tried.contains(&entry.registration.upstream)
    };
    let timing = table.timing(criteria.service);
    table
        .of_service(criteria.service)
        .filter(usable)
        .map(|(key, entry)| {
            let expected_ms = timing.first_event_ms + wait_ms(entry, timing);
            let free = entry.load().online < entry.registration.slots;
            let jitter = f64::from((criteria.tie_breaker as u32 ^ entry.number) % 64) / 32.0;
            let distance = if &entry.registration.data_centre == criteria.data_centre {
                0.0
            } else {
                DISTANCE_MS
            };
            let history = entry.first_event_ms * HISTORY_WEIGHT;
            let penalty = if entry.peer_failures >= MIN_PEER_FAILURES {
                PEER_FAILURE_PENALTY_MS
            } else {
                0.0
            };
            let cost = expected_ms + jitter + distance + history + penalty;
            (Choice { key, expected_ms, free }, cost)
        })
        .min_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(choice, _)| choice)
}

/// Expected wait for a slot at an upstream, in milliseconds.
fn wait_ms(entry: &Entry, timing: Timing) -> f64 {
    let load = entry.load();
    let slots = entry.registration.slots;
    let sharing = SHARING_MS * f64::from(load.total().min(slots));
    if load.total() < slots {
        return sharing;
    }
    if load.online < slots {
        return sharing + PREEMPTION_MS;
    }
    // Of `slots` requests one ends each time this passes.
    let turn_ms = timing.slot_ms / f64::from(slots.max(1));
    sharing + turn_ms * f64::from(load.online + 1 - slots)
}

/// Where a batch item may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchChoice {
    /// To this upstream.
    Upstream(Key),
    /// There is room, but it is other VMs' turn to take it.
    OtherTurn,
    /// All upstreams are taken.
    Full,
}

/// Slots at each upstream that items leave free, by the number of VMs that
/// choose at the same time.
pub fn reserved_slots(vms: usize) -> u32 {
    u32::from(vms > FEW_VMS)
}

/// Chooses an upstream for a batch item: one that keeps `reserve` slots free
/// and at which it is this VM's turn.
pub fn batch<T>(
    table: &Table,
    criteria: Criteria<'_>,
    reserve: u32,
    turn: T,
    now: Time,
) -> BatchChoice
where
    T: Fn(u32) -> bool,
{
    let mut others_turn = false;
    let chosen = table
        .of_service(criteria.service)
        .filter(|(_, entry)| {
            entry.usable(now)
                && entry.peer_failures < MIN_PEER_FAILURES
                && entry.load().total() + reserve < entry.registration.slots
        })
        .filter(|(_, entry)| {
            let ours = turn(entry.number);
            others_turn |= !ours;
            ours
        })
        .map(|(key, entry)| {
            let tried = criteria.tried.contains(&entry.registration.upstream);
            let elsewhere = &entry.registration.data_centre != criteria.data_centre;
            let rank = (
                tried,
                entry.load().total(),
                elsewhere,
                criteria.tie_breaker as u32 ^ entry.number,
            );
            (rank, key)
        })
        .min_by_key(|(rank, _)| *rank);
    match chosen {
        Some((_, key)) => BatchChoice::Upstream(key),
        None if others_turn => BatchChoice::OtherTurn,
        None => BatchChoice::Full,
    }
}

/// Whether it is `vm`'s turn to take room at an upstream. Turns change with
/// each `slice` of time and go round all VMs at which items wait, so that one
/// free slot isn't taken by all of them at once. Clocks that differ only make
/// two VMs take a turn together, and the excess is interrupted.
pub fn is_turn(vm: &Vm, contenders: &[Vm], upstream: u32, slice: u64) -> bool {
    let rank = |vm: &Vm| {
        let mut hasher = SipHasher13::new();
        hasher.write(vm.as_str().as_bytes());
        hasher.write_u32(upstream);
        hasher.write_u64(slice);
        hasher.finish()
    };
    let own = rank(vm);
    contenders.iter().all(|other| other == vm || rank(other) < own)
}
