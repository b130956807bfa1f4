//! The decisions of the queue: who waits, who runs where, who is refused.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::estimate::Estimate;
use super::flow::{Flows, Policy, Waiting};
use super::slots::{Limit, Slots};
use crate::admission::{Pick, Ticket};
use crate::clock::Time;
use crate::config::resource::Serves;
use crate::id;
use crate::upstream::Occupancy;

/// A request that may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The number that `enter` gave.
    pub id: u64,
    /// Where it runs.
    pub upstream: id::Upstream,
}

/// Why a request isn't queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing serves the target.
    NoUpstream,
    /// Its turn comes after its deadline; the wait would fit after this span.
    Late(Duration),
}

/// Queue of all targets on one VM.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    order: Policy,
    next: u64,
    slots: Slots,
    targets: HashMap<Serves, Target>,
}

#[derive(Clone, Debug, Default)]
struct Target {
    flows: Flows,
    hold: Estimate,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(order: Policy) -> Self {
        Self { order, ..Self::default() }
    }

    /// Replaces the slots that this VM holds.
    pub fn set_limits(&mut self, slots: BTreeMap<id::Upstream, Limit>) {
        self.slots.set(slots);
    }

    /// Queues a request, or refuses it at once.
    pub fn enqueue(&mut self, ticket: Ticket, weight: u32, now: Time) -> Result<u64, Refusal> {
        if !self.slots.serves(&ticket) {
            return Err(Refusal::NoUpstream);
        }
        self.check_wait(&ticket, weight, now)?;
        let id = self.next;
        self.next += 1;
        let order = self.order;
        let target = self
            .targets
            .entry(ticket.target.clone())
            .or_insert_with(|| Target { flows: Flows::new(order), hold: Estimate::default() });
        target.flows.push(Waiting { id, ticket }, weight);
        Ok(id)
    }

    /// Removes a request that still waits; false when it doesn't.
    pub fn cancel(&mut self, ticket: &Ticket, id: u64) -> bool {
        let Some(target) = self.targets.get_mut(&ticket.target) else { return false };
        target.flows.remove(&ticket.organisation, id)
    }

    /// Starts what can run.
    pub fn start<P>(&mut self, pick: &P, now: Time) -> Vec<Grant>
    where
        P: Pick + ?Sized,
    {
        let mut grants = Vec::new();
        for target in self.targets.values_mut() {
            target.flows.expire(now);
            let place = |slots: &Slots, ticket: &Ticket| {
                let free = slots.free(ticket);
                if free.is_empty() { None } else { pick.pick(ticket, &free, now) }
            };
            while let Some((waiting, upstream)) =
                target.flows.next(|ticket| place(&self.slots, ticket))
            {
                self.slots.start(&upstream, waiting.ticket.exclusive);
                grants.push(Grant { id: waiting.id, upstream });
            }
        }
        grants
    }

    /// A request that held its slot for `held` has ended.
    pub fn finish(&mut self, target: &Serves, upstream: &id::Upstream, held: Duration) {
        self.slots.end(upstream);
        if let Some(target) = self.targets.get_mut(target) {
            target.hold.observe(held);
        }
    }

    /// Whether any request waits.
    pub fn any_waiting(&self) -> bool {
        self.targets.values().any(|target| target.flows.len() > 0)
    }

    /// How many requests wait for a target.
    pub fn waiting(&self, target: &Serves) -> u64 {
        self.targets.get(target).map_or(0, |target| target.flows.len())
    }

    /// What runs and waits at each upstream; waiting requests are counted at
    /// one upstream each.
    pub fn occupancy(&self) -> Vec<Occupancy> {
        let mut left: HashMap<&Serves, u64> = HashMap::new();
        let mut width: HashMap<&Serves, u64> = HashMap::new();
        for (_, serves, _) in self.slots.running() {
            left.entry(serves).or_insert_with(|| self.waiting(serves));
            *width.entry(serves).or_default() += 1;
        }
        let mut rooms = Vec::new();
        for (upstream, serves, running) in self.slots.running() {
            let (left, width) = (left.entry(serves).or_default(), width.entry(serves).or_default());
            let part = left.div_ceil((*width).max(1));
            *left -= part;
            *width -= 1;
            rooms.push(Occupancy {
                upstream: upstream.clone(),
                online_running: running,
                online_waiting: part as u32,
            });
        }
        rooms
    }

    fn check_wait(&self, ticket: &Ticket, weight: u32, now: Time) -> Result<(), Refusal> {
        let left = now.until(ticket.deadline);
        if left.is_zero() {
            return Err(Refusal::Late(Duration::ZERO));
        }
        if !self.slots.free(ticket).is_empty() {
            return Ok(());
        }
        let Some(target) = self.targets.get(&ticket.target) else { return Ok(()) };
        let ahead = target.flows.ahead(&ticket.organisation, weight) + 1;
        match target.hold.wait(ahead, self.slots.limit(&ticket.target)) {
            Some(wait) if wait > left => Err(Refusal::Late(wait - left)),
            _ => Ok(()),
        }
    }
}
