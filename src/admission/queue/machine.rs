//! Scheduling decisions, without I/O: which requests wait, run or are rejected.

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

/// Permission for a queued request to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identifier that `enqueue` returned.
    pub id: u64,
    /// Upstream to run at.
    pub upstream: id::Upstream,
}

/// Reason why a request isn't queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No live upstream serves the target.
    NoUpstream,
    /// The expected wait exceeds the deadline by this duration.
    Late(Duration),
}

/// Queues for all targets on one VM.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    policy: Policy,
    next: u64,
    slots: Slots,
    targets: HashMap<Serves, Target>,
}

#[derive(Clone, Debug, Default)]
struct Target {
    flows: Flows,
    hold_time: Estimate,
}

impl Queue {
    /// Creates an empty queue that is served in the order of `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Replaces the limits per upstream.
    pub fn set_limits(&mut self, limits: BTreeMap<id::Upstream, Limit>) {
        self.slots.set(limits);
    }

    /// Queues a request and returns its identifier, or rejects it at once.
    pub fn enqueue(&mut self, ticket: Ticket, weight: u32, now: Time) -> Result<u64, Refusal> {
        if !self.slots.serves(&ticket) {
            return Err(Refusal::NoUpstream);
        }
        self.check_wait(&ticket, weight, now)?;
        let id = self.next;
        self.next += 1;
        let policy = self.policy;
        let target = self.targets.entry(ticket.target.clone()).or_insert_with(|| Target {
            flows: Flows::new(policy),
            hold_time: Estimate::default(),
        });
        target.flows.push(Waiting { id, ticket }, weight);
        Ok(id)
    }

    /// Removes a waiting request; returns false if it isn't waiting.
    pub fn cancel(&mut self, ticket: &Ticket, id: u64) -> bool {
        let Some(target) = self.targets.get_mut(&ticket.target) else { return false };
        target.flows.remove(&ticket.organisation, id)
    }

    /// Starts all requests that can run.
    pub fn start<P>(&mut self, pick: &P, now: Time) -> Vec<Grant>
    where
        P: Pick + ?Sized,
    {
        let mut grants = Vec::new();
        for target in self.targets.values_mut() {
            target.flows.expire(now);
            let pick_upstream = |slots: &Slots, ticket: &Ticket| {
                let free = slots.free(ticket);
                if free.is_empty() { None } else { pick.pick(ticket, &free, now) }
            };
            while let Some((waiting, upstream)) =
                target.flows.next(|ticket| pick_upstream(&self.slots, ticket))
            {
                self.slots.start(&upstream, waiting.ticket.exclusive);
                grants.push(Grant { id: waiting.id, upstream });
            }
        }
        grants
    }

    /// Records the end of a request that held its slot for `held`.
    pub fn finish(&mut self, target: &Serves, upstream: &id::Upstream, held: Duration) {
        self.slots.end(upstream);
        if let Some(target) = self.targets.get_mut(target) {
            target.hold_time.observe(held);
        }
    }

    /// Whether any request waits.
    pub fn any_waiting(&self) -> bool {
        self.targets.values().any(|target| !target.flows.is_empty())
    }

    /// Number of requests that wait for a target.
    pub fn waiting(&self, target: &Serves) -> u64 {
        self.targets.get(target).map_or(0, |target| target.flows.len())
    }

    /// Running and waiting requests per upstream; each waiting request is attributed to one
    /// upstream.
    pub fn occupancy(&self) -> Vec<Occupancy> {
        let mut remaining: HashMap<&Serves, u64> = HashMap::new();
        let mut upstreams_left: HashMap<&Serves, u64> = HashMap::new();
        for (_, serves, _) in self.slots.running() {
            remaining.entry(serves).or_insert_with(|| self.waiting(serves));
            *upstreams_left.entry(serves).or_default() += 1;
        }
        let mut occupancy = Vec::new();
        for (upstream, serves, running) in self.slots.running() {
            let (remaining, upstreams_left) =
                (remaining.entry(serves).or_default(), upstreams_left.entry(serves).or_default());
            let share = remaining.div_ceil((*upstreams_left).max(1));
            *remaining -= share;
            *upstreams_left -= 1;
            occupancy.push(Occupancy {
                upstream: upstream.clone(),
                online_running: running,
                online_waiting: share as u32,
            });
        }
        occupancy
    }

    fn check_wait(&self, ticket: &Ticket, weight: u32, now: Time) -> Result<(), Refusal> {
        let remaining = now.until(ticket.deadline);
        if remaining.is_zero() {
            return Err(Refusal::Late(Duration::ZERO));
        }
        if !self.slots.free(ticket).is_empty() {
            return Ok(());
        }
        let Some(target) = self.targets.get(&ticket.target) else { return Ok(()) };
        let ahead = target.flows.ahead(&ticket.organisation, weight) + 1;
        match target.hold_time.wait(ahead, self.slots.limit(&ticket.target)) {
            Some(wait) if wait > remaining => Err(Refusal::Late(wait - remaining)),
            _ => Ok(()),
        }
    }
}
