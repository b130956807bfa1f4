//! Selection of the upstream that runs a request.
//!
//! Upstreams admit requests in order of arrival and know no priorities. An
//! online request goes to the upstream with the earliest expected first event,
//! counting the requests of all VMs; the speed of upstreams is measured per
//! service. Batch items are preempted by online requests, so they cost an
//! online request only the time of the interruption.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::upstream::{Entry, Key, Table, Timing};
use crate::clock::Time;
use crate::id::{DataCentre, Service, Upstream, Vm};

/// Number of VMs up to which two of them seldom choose the same slot before they
/// have received each other's load.
const MAX_VMS_WITHOUT_RESERVE: usize = 14;
/// Time to preempt a batch item, in milliseconds.
const PREEMPTION_MS: f64 = 20.0;
/// Delay that each running request adds to another's first event, in milliseconds.
const SHARING_MS: f64 = 1.0;
/// Cost of an upstream in another data centre, in milliseconds.
const DISTANCE_MS: f64 = 3.0;
/// Share of an upstream's average time to the first event that is added to its cost.
const HISTORY_WEIGHT: f64 = 0.25;
/// Number of other VMs that must have ejected an upstream before it is avoided here.
const MIN_PEER_FAILURES: u32 = 2;
/// Cost of such an upstream, in milliseconds: it is used only when the others are full.
const PEER_FAILURE_PENALTY_MS: f64 = 250.0;

/// Criteria of a selection.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that is to run the request.
    pub service: &'a Service,
    /// Data centre of this VM.
    pub data_centre: &'a DataCentre,
    /// Upstreams that have already failed or refused this request.
    pub tried: &'a [Upstream],
    /// Random number that breaks ties differently on VMs that choose at the same time.
    pub tie_breaker: u64,
}

/// A selected upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Key of the upstream in the table.
    pub key: Key,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether a slot is free or held by a batch item that can be preempted.
    pub free: bool,
}

/// Selects an upstream for an online request; none if no upstream is usable.
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
            let tie_break_ms = f64::from((criteria.tie_breaker as u32 ^ entry.number) % 64) / 32.0;
            let distance_ms = if &entry.registration.data_centre == criteria.data_centre {
                0.0
            } else {
                DISTANCE_MS
            };
            let history_ms = entry.first_event_ms * HISTORY_WEIGHT;
            let penalty_ms = if entry.peer_failures >= MIN_PEER_FAILURES {
                PEER_FAILURE_PENALTY_MS
            } else {
                0.0
            };
            let cost_ms = expected_ms + tie_break_ms + distance_ms + history_ms + penalty_ms;
            (Choice { key, expected_ms, free }, cost_ms)
        })
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(choice, _)| choice)
}

/// Expected wait for a slot at an upstream, in milliseconds.
fn wait_ms(entry: &Entry, timing: Timing) -> f64 {
    let load = entry.load();
    let slots = entry.registration.slots;
    let sharing_ms = SHARING_MS * f64::from(load.total().min(slots));
    if load.total() < slots {
        return sharing_ms;
    }
    if load.online < slots {
        return sharing_ms + PREEMPTION_MS;
    }
    // Mean time between two completions when all slots are taken.
    let completion_interval_ms = timing.slot_ms / f64::from(slots.max(1));
    sharing_ms + completion_interval_ms * f64::from(load.online + 1 - slots)
}

/// Result of the selection for a batch item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchChoice {
    /// The item may run at this upstream.
    Upstream(Key),
    /// There are free slots, but it is other VMs' turn to take them.
    OtherTurn,
    /// No usable upstream has a free slot.
    Full,
}

/// Number of slots that batch items leave free at each upstream, given the
/// number of VMs that choose concurrently.
pub fn reserved_slots(vms: usize) -> u32 {
    u32::from(vms > MAX_VMS_WITHOUT_RESERVE)
}

/// Selects an upstream for a batch item: one that keeps `reserve` slots free
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
            let own_turn = turn(entry.number);
            others_turn |= !own_turn;
            own_turn
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

/// Whether it is `vm`'s turn to take slots at an upstream. Turns change with
/// each time `slice` and rotate over all VMs with waiting items, so that they
/// don't all take the same free slot. Clock skew only gives two VMs the turn at
/// once; the excess items are then interrupted.
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
