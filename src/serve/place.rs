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
use crate::id::{DataCentre, Service, Upstream, Version, Vm};

/// Time to preempt a batch item, in milliseconds.
const PREEMPTION_MS: f64 = 20.0;
/// Cost of a preemption to the item, which reads its prompt again over a new
/// connection, in milliseconds.
const PREEMPTED_ITEM_COST_MS: f64 = 50.0;
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

/// Cost of an upstream that has named a limit while batch items wait, in milliseconds: below
/// that of preempting an item. An item makes more of one request than an online request
/// does, and leaves an online request a slot elsewhere.
const LIMIT_COST_MS: f64 = 40.0;
/// Cost of an upstream that this VM has ejected, in milliseconds: it is used only when no
/// other can run the request.
const EJECTED_PENALTY_MS: f64 = 100_000.0;

/// Free slots that batch items leave, in standard deviations of the number of
/// running online requests.
const HEADROOM_DEVIATIONS: f64 = 0.6;

/// Criteria of a selection.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that is to run the request.
    pub service: &'a Service,
    /// The only version that may run it; none: any version.
    pub version: Option<&'a Version>,
    /// Data centre of this VM.
    pub data_centre: &'a DataCentre,
    /// Upstreams that have already failed or refused this request.
    pub tried: &'a [Upstream],
    /// Whether limited upstreams are left to batch items: such wait for a slot on some VM, and
    /// online requests don't lack grants.
    pub items_wait: bool,
    /// Random number that breaks ties differently on VMs that choose at the same time.
    pub tie_breaker: u64,
}

impl Criteria<'_> {
    /// Whether an upstream has the version that the request needs.
    fn allows(&self, entry: &Entry) -> bool {
        self.version.is_none_or(|version| version == &entry.registration.version)
    }
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
    // A stream that only one version can go on with takes an ejected upstream too.
    let sendable = |entry: &Entry| match criteria.version {
        Some(_) => entry.stays(),
        None => entry.usable(now),
    };
    let usable = |(_, entry): &(Key, &Entry)| {
        sendable(entry)
            && entry.is_open(now)
            && criteria.allows(entry)
            && !criteria.tried.contains(&entry.registration.upstream)
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
            let item_cost_ms =
                if free && entry.free_slots() == 0 { PREEMPTED_ITEM_COST_MS } else { 0.0 };
            let history_ms = entry.first_event_ms * HISTORY_WEIGHT;
            let penalty_ms = if entry.peer_failures >= MIN_PEER_FAILURES {
                PEER_FAILURE_PENALTY_MS
            } else {
                0.0
            };
            let is_left_to_items = criteria.items_wait && entry.limit_per_s.is_some();
            let limit_ms = if is_left_to_items { LIMIT_COST_MS } else { 0.0 };
            let ejected_ms = if entry.usable(now) { 0.0 } else { EJECTED_PENALTY_MS };
            let cost_ms = expected_ms
                + tie_break_ms
                + distance_ms
                + item_cost_ms
                + history_ms
                + penalty_ms
                + limit_ms
                + ejected_ms;
            (Choice { key, expected_ms, free }, cost_ms)
        })
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(choice, _)| choice)
}

/// Earliest time at which an upstream that is at its limit may take an online request; none
/// if no usable upstream is at its limit.
pub fn opens_at(table: &Table, criteria: Criteria<'_>, now: Time) -> Option<Time> {
    let closed = table
        .of_service(criteria.service)
        .map(|(_, entry)| entry)
        .filter(|entry| entry.usable(now) && criteria.allows(entry) && !entry.is_open(now));
    closed.map(|entry| entry.closed_until).min()
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

/// Number of free slots of a service that batch items leave to online requests.
///
/// Online requests come and go at random, so that their number varies by about
/// its square root. With a part of that free an arriving request seldom has to
/// preempt an item. Without online requests items take every slot.
pub fn headroom(table: &Table, service: &Service) -> u32 {
    let online: u32 = table.of_service(service).map(|(_, entry)| entry.load().online).sum();
    headroom_of(f64::from(online)) as u32
}

/// Headroom beside this many online requests.
pub fn headroom_of(online: f64) -> f64 {
    HEADROOM_DEVIATIONS * online.sqrt()
}

/// What a version of a service can take of what it began earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// A usable upstream of the version has a free slot.
    Free,
    /// The version serves, but no slot is free now.
    Full,
    /// No upstream of the version serves any more.
    Gone,
}

/// Whether upstreams of a version can take what that version began.
pub fn room(table: &Table, service: &Service, version: &Version, now: Time) -> Room {
    let of_version = table
        .of_service(service)
        .map(|(_, entry)| entry)
        .filter(|entry| &entry.registration.version == version && entry.stays());
    let mut room = Room::Gone;
    for entry in of_version {
        if takes_items(entry, now) && entry.free_slots() > 0 {
            return Room::Free;
        }
        room = Room::Full;
    }
    room
}

/// Whether an upstream may take a batch item, if a slot is free.
fn takes_items(entry: &Entry, now: Time) -> bool {
    entry.usable(now) && entry.is_open(now) && entry.closed_to_items_until.passed(now)
}

/// Number of free slots at the upstreams of a service that take items.
fn free_slots(table: &Table, service: &Service, now: Time) -> u32 {
    let usable = table.of_service(service).filter(|(_, entry)| takes_items(entry, now));
    usable.map(|(_, entry)| entry.free_slots()).fold(0, u32::saturating_add)
}

/// Selects an upstream for a batch item: one with a free slot at which it is this
/// VM's turn. `headroom` slots of the service stay free.
pub fn batch<T>(
    table: &Table,
    criteria: Criteria<'_>,
    headroom: u32,
    turn: T,
    now: Time,
) -> BatchChoice
where
    T: Fn(u32) -> bool,
{
    if free_slots(table, criteria.service, now) <= headroom {
        return BatchChoice::Full;
    }
    let mut others_turn = false;
    let chosen = table
        .of_service(criteria.service)
        .filter(|(_, entry)| {
            takes_items(entry, now)
                && criteria.allows(entry)
                && entry.peer_failures < MIN_PEER_FAILURES
                && entry.free_slots() > 0
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
                entry.limit_per_s.is_none() == criteria.items_wait,
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

/// A VM with waiting items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contender {
    /// Name of the VM.
    pub vm: Vm,
    /// Number of its waiting items that can still end in time, at least 1.
    pub items: u32,
}

/// Whether it is `own`'s turn to take slots at an upstream. Turns change with
/// each time `slice` and rotate over all VMs with waiting items, in proportion
/// to their numbers, so that VMs don't all take the same free slot and none is
/// left with a longer queue than the others. Clock skew only gives two VMs the
/// turn at once; the excess items are then interrupted.
pub fn is_turn(own: &Contender, contenders: &[Contender], upstream: u32, slice: u64) -> bool {
    // The lowest of exponentially distributed values is a contender's with a
    // probability proportional to its rate.
    let draw = |contender: &Contender| {
        let mut hasher = SipHasher13::new();
        hasher.write(contender.vm.as_str().as_bytes());
        hasher.write_u32(upstream);
        hasher.write_u64(slice);
        let uniform = (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / f64::from(contender.items.max(1))
    };
    let own_draw = draw(own);
    contenders.iter().all(|other| other.vm == own.vm || own_draw < draw(other))
}
