//! Waiting requests of one target, in the order they are served.
//!
//! Deficit round robin (Shreedhar and Varghese, 1995): each organisation in
//! turn may spend a quantum in proportion to its weight, and what it didn't
//! spend stays with it while it waits.

use std::collections::{BTreeMap, VecDeque};

use crate::admission::Ticket;
use crate::clock::Time;
use crate::id::Organisation;

/// Requests of one organisation that are tried when its first one can't run.
const LOOKAHEAD: usize = 8;

key! {
    /// In which order waiting requests are served.
    #[derive(Default)]
    pub enum Policy {
        /// Deficit round robin over organisations.
        #[default]
        Fair,
        /// First come, first served: the baseline.
        Arrival,
    }
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its number in the queue.
    pub id: u64,
    /// What it wants.
    pub ticket: Ticket,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    waiting: VecDeque<Waiting>,
    deficit: u64,
    weight: u64,
}

/// All waiting requests of one target.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    order: Policy,
    flows: BTreeMap<Organisation, Flow>,
    turn: VecDeque<Organisation>,
}

impl Flows {
    /// Makes an empty set that is served in `order`.
    pub fn new(order: Policy) -> Self {
        Self { order, ..Self::default() }
    }

    /// How many wait.
    pub fn len(&self) -> u64 {
        self.flows.values().map(|flow| flow.waiting.len() as u64).sum()
    }

    /// How many requests run before one more of `organisation`.
    pub fn ahead(&self, organisation: &Organisation, weight: u32) -> u64 {
        if self.order == Policy::Arrival {
            return self.len();
        }
        let own = self.flows.get(organisation).map_or(0, |flow| flow.waiting.len() as u64);
        let rounds = own + 1;
        let others = self.flows.iter().filter(|(name, _)| *name != organisation);
        let theirs = others.map(|(_, flow)| {
            let share = (rounds * flow.weight).div_ceil(u64::from(weight.max(1)));
            share.min(flow.waiting.len() as u64)
        });
        own + theirs.sum::<u64>()
    }

    /// Adds a request at its organisation's end.
    pub fn push(&mut self, waiting: Waiting, weight: u32) {
        let organisation = waiting.ticket.organisation.clone();
        let flow = self.flows.entry(organisation.clone()).or_default();
        flow.weight = u64::from(weight.max(1));
        if flow.waiting.is_empty() {
            flow.deficit = 0;
            self.turn.push_back(organisation);
        }
        flow.waiting.push_back(waiting);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, organisation: &Organisation, id: u64) -> bool {
        let Some(flow) = self.flows.get_mut(organisation) else { return false };
        let Some(index) = flow.waiting.iter().position(|one| one.id == id) else { return false };
        flow.waiting.remove(index);
        self.drop_if_empty(organisation);
        true
    }

    /// Removes requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|one| {
                let late = one.ticket.deadline.passed(now);
                if late {
                    expired.push(one.id);
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

    /// Removes the next request for which `place` finds a slot.
    pub fn next<P, T>(&mut self, mut place: P) -> Option<(Waiting, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        match self.order {
            Policy::Fair => self.next_fair(&mut place),
            Policy::Arrival => self.next_arrival(&mut place),
        }
    }

    fn next_fair<P, T>(&mut self, place: &mut P) -> Option<(Waiting, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        let quantum = self.quantum();
        // One full turn serves every organisation that can be served, as the
        // quantum covers the dearest request at any head.
        for _ in 0..2 * self.turn.len() {
            let organisation = self.turn.front()?.clone();
            let flow = self.flows.get_mut(&organisation)?;
            if let Some((index, placed)) = flow.find(place) {
                let cost = u64::from(flow.waiting[index].ticket.cost.max(1));
                if flow.deficit >= cost {
                    flow.deficit -= cost;
                    let waiting = flow.waiting.remove(index)?;
                    self.drop_if_empty(&organisation);
                    return Some((waiting, placed));
                }
                flow.deficit += quantum * flow.weight;
            }
            self.turn.rotate_left(1);
        }
        None
    }

    fn next_arrival<P, T>(&mut self, place: &mut P) -> Option<(Waiting, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        let first = |flow: &Flow| flow.waiting.front().map(|one| one.id);
        let mut heads: Vec<_> = self
            .flows
            .iter()
            .filter_map(|(name, flow)| Some((first(flow)?, name.clone())))
            .collect();
        heads.sort();
        for (_, organisation) in heads {
            let flow = self.flows.get_mut(&organisation)?;
            let Some((index, placed)) = flow.find(place) else { continue };
            let waiting = flow.waiting.remove(index)?;
            self.drop_if_empty(&organisation);
            return Some((waiting, placed));
        }
        None
    }

    fn quantum(&self) -> u64 {
        let costs = self.flows.values().flat_map(|flow| flow.waiting.iter().take(LOOKAHEAD));
        costs.map(|one| u64::from(one.ticket.cost)).max().unwrap_or(1).max(1)
    }

    fn drop_if_empty(&mut self, organisation: &Organisation) {
        if self.flows.get(organisation).is_some_and(|flow| flow.waiting.is_empty()) {
            self.flows.remove(organisation);
            self.turn.retain(|one| one != organisation);
        }
    }
}

impl Flow {
    fn find<P, T>(&self, place: &mut P) -> Option<(usize, T)>
    where
        P: FnMut(&Ticket) -> Option<T>,
    {
        let tried = self.waiting.iter().take(LOOKAHEAD).enumerate();
        tried.into_iter().find_map(|(index, one)| Some((index, place(&one.ticket)?)))
    }
}
