//! Waiting requests of one target, in scheduling order.
//!
//! Deficit round robin (Shreedhar and Varghese, 1995): each organisation in turn receives a
//! quantum in proportion to its weight and keeps what it didn't spend while it has requests
//! waiting.

use std::collections::{BTreeMap, VecDeque};

use crate::admission::Ticket;
use crate::clock::Time;
use crate::id::Organisation;

/// Number of an organisation's waiting requests that are tried, as the first may be unable to run.
const LOOKAHEAD: usize = 8;

key! {
    /// Order in which waiting requests are served.
    #[derive(Default)]
    pub enum Policy {
        /// Deficit round robin over organisations.
        #[default]
        Fair,
        /// First come, first served; a baseline for comparison.
        Arrival,
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Identifier within the queue, in order of arrival.
    pub id: u64,
    /// The request for a slot.
    pub ticket: Ticket,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    waiting: VecDeque<Waiting>,
    deficit: u64,
    weight: u64,
}

/// Waiting requests of one target, by organisation.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    policy: Policy,
    flows: BTreeMap<Organisation, Flow>,
    rotation: VecDeque<Organisation>,
}

impl Flows {
    /// Creates an empty set that is served in the order of `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> u64 {
        self.flows.values().map(|flow| flow.waiting.len() as u64).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of requests that are served before a new one of `organisation`.
    pub fn ahead(&self, organisation: &Organisation, weight: u32) -> u64 {
        if self.policy == Policy::Arrival {
            return self.len();
        }
        let own = self.flows.get(organisation).map_or(0, |flow| flow.waiting.len() as u64);
        let rounds = own + 1;
        let others = self.flows.iter().filter(|(name, _)| *name != organisation);
        let from_others = others.map(|(_, flow)| {
            let share = (rounds * flow.weight).div_ceil(u64::from(weight.max(1)));
            share.min(flow.waiting.len() as u64)
        });
        own + from_others.sum::<u64>()
    }

    /// Appends a request to its organisation's queue.
    pub fn push(&mut self, waiting: Waiting, weight: u32) {
        self.flow_mut(&waiting, weight).waiting.push_back(waiting);
    }

    /// Adds a request to its organisation's queue before those with later deadlines.
    pub fn insert_by_deadline(&mut self, waiting: Waiting, weight: u32) {
        let queue = &mut self.flow_mut(&waiting, weight).waiting;
        let deadline = waiting.ticket.deadline;
        let index = queue.partition_point(|other| other.ticket.deadline <= deadline);
        queue.insert(index, waiting);
    }

    /// Queue of a request's organisation, which is in the rotation from now on.
    fn flow_mut(&mut self, waiting: &Waiting, weight: u32) -> &mut Flow {
        let organisation = waiting.ticket.organisation.clone();
        let flow = self.flows.entry(organisation.clone()).or_default();
        flow.weight = u64::from(weight.max(1));
        if flow.waiting.is_empty() {
            flow.deficit = 0;
            self.rotation.push_back(organisation);
        }
        flow
    }

    /// Removes a request; returns false if it isn't queued.
    pub fn remove(&mut self, organisation: &Organisation, id: u64) -> bool {
        let Some(flow) = self.flows.get_mut(organisation) else { return false };
        let Some(index) = flow.waiting.iter().position(|request| request.id == id) else {
            return false;
        };
        flow.waiting.remove(index);
        self.drop_if_empty(organisation);
        true
    }

    /// Removes requests whose deadline has passed and returns their identifiers.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|request| {
                let late = request.ticket.deadline.passed(now);
                if late {
                    expired.push(request.id);
                }
                !late
            });
        }
        let empty = |flow: &Flow| flow.waiting.is_empty();
        let gone: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, flow)| empty(flow))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().for_each(|organisation| self.drop_if_empty(organisation));
        expired
    }

    /// Removes and returns the next request for which `find_slot` finds a slot.
    pub fn next<P, T>(&mut self, mut find_slot: P) -> Option<(Waiting, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        match self.policy {
            Policy::Fair => self.next_fair(&mut find_slot),
            Policy::Arrival => self.next_arrival(&mut find_slot),
        }
    }

    fn next_fair<P, T>(&mut self, find_slot: &mut P) -> Option<(Waiting, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        let quantum = self.quantum();
        // The quantum covers the most expensive candidate of any organisation, so every
        // organisation that can be served has enough deficit after one full round.
        for _ in 0..2 * self.rotation.len() {
            let organisation = self.rotation.front()?.clone();
            let flow = self.flows.get_mut(&organisation)?;
            if let Some((index, placed)) = flow.find(find_slot) {
                let cost = u64::from(flow.waiting[index].ticket.cost.max(1));
                if flow.deficit >= cost {
                    flow.deficit -= cost;
                    let waiting = flow.waiting.remove(index)?;
                    self.drop_if_empty(&organisation);
                    return Some((waiting, placed));
                }
                flow.deficit += quantum * flow.weight;
            }
            self.rotation.rotate_left(1);
        }
        None
    }

    fn next_arrival<P, T>(&mut self, find_slot: &mut P) -> Option<(Waiting, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        let first = |flow: &Flow| flow.waiting.front().map(|request| request.id);
        let mut heads: Vec<_> = self
            .flows
            .iter()
            .filter_map(|(name, flow)| Some((first(flow)?, name.clone())))
            .collect();
        heads.sort();
        for (_, organisation) in heads {
            let flow = self.flows.get_mut(&organisation)?;
            let Some((index, placed)) = flow.find(find_slot) else { continue };
            let waiting = flow.waiting.remove(index)?;
            self.drop_if_empty(&organisation);
            return Some((waiting, placed));
        }
        None
    }

    fn quantum(&self) -> u64 {
        let costs = self.flows.values().flat_map(|flow| flow.waiting.iter().take(LOOKAHEAD));
        costs.map(|request| u64::from(request.ticket.cost)).max().unwrap_or(1).max(1)
    }

    fn drop_if_empty(&mut self, organisation: &Organisation) {
        if self.flows.get(organisation).is_some_and(|flow| flow.waiting.is_empty()) {
            self.flows.remove(organisation);
            self.rotation.retain(|name| name != organisation);
        }
    }
}

impl Flow {
    fn find<P, T>(&self, find_slot: &mut P) -> Option<(usize, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        let candidates = self.waiting.iter().take(LOOKAHEAD).enumerate();
        candidates
            .into_iter()
            .find_map(|(index, request)| Some((index, find_slot(&request.ticket)?)))
    }
}
