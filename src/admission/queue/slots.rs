//! Slots that this VM holds at upstreams.

use std::collections::BTreeMap;

use crate::admission::Ticket;
use crate::config::resource::Serves;
use crate::id;

/// What this VM may run at one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// What the upstream serves.
    pub serves: Serves,
    /// Requests that may run there at once.
    pub concurrency: u32,
    /// Whether it takes new work.
    pub live: bool,
}

#[derive(Clone, Debug)]
struct Held {
    slot: Limit,
    running: u32,
    alone: bool,
}

/// Slots by upstream.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    held: BTreeMap<id::Upstream, Held>,
}

impl Slots {
    /// Replaces what is known; requests that run stay counted.
    pub fn set(&mut self, slots: BTreeMap<id::Upstream, Limit>) {
        self.held.retain(|name, held| held.running > 0 || slots.contains_key(name));
        for (name, held) in &mut self.held {
            if !slots.contains_key(name) {
                held.slot.live = false;
            }
        }
        for (name, slot) in slots {
            let held = Held { slot: slot.clone(), running: 0, alone: false };
            self.held.entry(name).or_insert(held).slot = slot;
        }
    }

    /// Whether any live upstream serves the target.
    pub fn serves(&self, ticket: &Ticket) -> bool {
        self.matching(ticket).next().is_some()
    }

    /// How many requests of this kind may run at once, on this VM.
    pub fn limit(&self, target: &Serves) -> u64 {
        let matching = self.held.values().filter(|held| held.slot.serves == *target);
        matching.filter(|held| held.slot.live).map(|held| u64::from(held.slot.concurrency)).sum()
    }

    /// Upstreams that have room for this ticket.
    pub fn free(&self, ticket: &Ticket) -> Vec<id::Upstream> {
        let free = self.matching(ticket).filter(|(_, held)| match ticket.exclusive {
            true => held.running == 0 && held.slot.concurrency > 0,
            false => !held.alone && held.running < held.slot.concurrency,
        });
        free.map(|(name, _)| name.clone()).collect()
    }

    /// Counts a request that starts.
    pub fn start(&mut self, upstream: &id::Upstream, alone: bool) {
        if let Some(held) = self.held.get_mut(upstream) {
            assert!(
                held.running < held.slot.concurrency,
                "no request starts beyond the slots held"
            );
            assert!(!held.alone, "nothing joins a request that must run alone");
            held.running += 1;
            held.alone = alone;
        }
    }

    /// Counts a request that ended.
    pub fn end(&mut self, upstream: &id::Upstream) {
        if let Some(held) = self.held.get_mut(upstream) {
            held.running = held.running.saturating_sub(1);
            held.alone = false;
        }
    }

    /// Requests that run, by upstream, with what each serves.
    pub fn running(&self) -> impl Iterator<Item = (&id::Upstream, &Serves, u32)> {
        self.held.iter().map(|(name, held)| (name, &held.slot.serves, held.running))
    }

    fn matching<'a>(
        &'a self,
        ticket: &'a Ticket,
    ) -> impl Iterator<Item = (&'a id::Upstream, &'a Held)> {
        self.held.iter().filter(|(name, held)| {
            held.slot.live && held.slot.serves == ticket.target && !ticket.excluded.contains(name)
        })
    }
}
