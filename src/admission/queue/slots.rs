//! Slots that this VM holds at each upstream, and how many are in use.

use std::collections::BTreeMap;

use crate::admission::Ticket;
use crate::config::resource::Serves;
use crate::id;

/// Limit on this VM's requests at one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Model or service that the upstream serves.
    pub serves: Serves,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Whether the upstream accepts new requests.
    pub live: bool,
}

#[derive(Clone, Debug)]
struct Held {
    limit: Limit,
    running: u32,
    exclusive: bool,
}

/// Limits and running requests, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    held: BTreeMap<id::Upstream, Held>,
}

impl Slots {
    /// Replaces the limits; running requests stay counted.
    pub fn set(&mut self, limits: BTreeMap<id::Upstream, Limit>) {
        self.held.retain(|name, held| held.running > 0 || limits.contains_key(name));
        for (name, held) in &mut self.held {
            if !limits.contains_key(name) {
                held.limit.live = false;
            }
        }
        for (name, limit) in limits {
            let held = Held { limit: limit.clone(), running: 0, exclusive: false };
            self.held.entry(name).or_insert(held).limit = limit;
        }
    }

    /// Whether any live upstream serves the ticket's target and isn't excluded.
    pub fn serves(&self, ticket: &Ticket) -> bool {
        self.matching(ticket).next().is_some()
    }

    /// Number of requests for the target that may run concurrently on this VM.
    pub fn limit(&self, target: &Serves) -> u64 {
        let matching = self.held.values().filter(|held| held.limit.serves == *target);
        matching.filter(|held| held.limit.live).map(|held| u64::from(held.limit.concurrency)).sum()
    }

    /// Upstreams with a free slot for this ticket.
    pub fn free(&self, ticket: &Ticket) -> Vec<id::Upstream> {
        let free = self.matching(ticket).filter(|(_, held)| match ticket.exclusive {
            true => held.running == 0 && held.limit.concurrency > 0,
            false => !held.exclusive && held.running < held.limit.concurrency,
        });
        free.map(|(name, _)| name.clone()).collect()
    }

    /// Records that a request starts.
    pub fn start(&mut self, upstream: &id::Upstream, exclusive: bool) {
        if let Some(held) = self.held.get_mut(upstream) {
            assert!(
                held.running < held.limit.concurrency,
                "request started beyond the concurrency limit"
            );
            assert!(!held.exclusive, "request started at an upstream that is held exclusively");
            held.running += 1;
            held.exclusive = exclusive;
        }
    }

    /// Records that a request has ended.
    pub fn end(&mut self, upstream: &id::Upstream) {
        if let Some(held) = self.held.get_mut(upstream) {
            held.running = held.running.saturating_sub(1);
            held.exclusive = false;
        }
    }

    /// Each upstream with its target and number of running requests.
    pub fn running(&self) -> impl Iterator<Item = (&id::Upstream, &Serves, u32)> {
        self.held.iter().map(|(name, held)| (name, &held.limit.serves, held.running))
    }

    fn matching<'a>(
        &'a self,
        ticket: &'a Ticket,
    ) -> impl Iterator<Item = (&'a id::Upstream, &'a Held)> {
        self.held.iter().filter(|(name, held)| {
            held.limit.live && held.limit.serves == ticket.target && !ticket.excluded.contains(name)
        })
    }
}
