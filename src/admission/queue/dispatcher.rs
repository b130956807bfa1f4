//! The line that requests wait in, around the pure queue.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::flow::Policy;
use super::machine::{Grant, Queue, Refusal};
use super::slots::Limit;
use crate::admission::capacity::{Demand, Lessee, fallback};
use crate::admission::{Permit, Pick, Scheduler, Ticket, refusal};
use crate::clock::Time;
use crate::context::Context;
use crate::error::Result;
use crate::id;
use crate::upstream::Occupancy;
use crate::view::{State, View};

/// One spare slot is wanted for this many busy ones.
const SPARE_PART: u32 = 4;

/// Scheduler over fair queues; cheap to clone.
#[derive(Clone)]
pub struct Dispatcher {
    inner: Arc<Inner>,
}

struct Inner {
    context: Context,
    pick: Arc<dyn Pick>,
    state: Mutex<Inside>,
    starved: Notify,
}

struct Inside {
    queue: Queue,
    view: Option<Arc<View>>,
    lessee: Lessee,
    leases: bool,
    /// When the slots must be computed anew.
    changes: Time,
    waiting: HashMap<u64, oneshot::Sender<id::Upstream>>,
}

impl Dispatcher {
    /// Makes a line that chooses upstreams by `pick`.
    pub fn new(context: Context, pick: Arc<dyn Pick>) -> Self {
        Self::with_order(context, pick, Policy::Fair)
    }

    /// Makes a line that serves in `order`.
    pub fn with_order(context: Context, pick: Arc<dyn Pick>, order: Policy) -> Self {
        let state = Inside {
            queue: Queue::new(order),
            view: None,
            lessee: Lessee::default(),
            leases: false,
            changes: Time::NEVER,
            waiting: HashMap::new(),
        };
        let (state, starved) = (Mutex::new(state), Notify::new());
        Self { inner: Arc::new(Inner { context, pick, state, starved }) }
    }

    /// Starts what can run after the view or the slots changed.
    pub fn refresh(&self) {
        self.start();
    }

    /// Uses leased slots from here on, not an even part of the capacity.
    pub fn use_leases(&self) {
        let mut state = self.inner.state.lock();
        state.leases = true;
        state.view = None;
    }

    /// Takes a lease in.
    pub fn receive(&self, upstream: &id::Upstream, count: u32, asked: Time) {
        let mut state = self.inner.state.lock();
        state.lessee.receive(upstream, count, asked);
        state.changes = Time(0);
    }

    /// What to ask now of the owners of those upstreams that `ask` chooses.
    pub fn wants<F>(&self, ask: F) -> (Time, Vec<(id::Upstream, Demand)>)
    where
        F: Fn(&id::Upstream) -> bool,
    {
        let now = self.inner.context.clock.now();
        (now, self.inner.state.lock().wants(ask, now))
    }

    /// Waits until a request waits for want of a slot.
    pub async fn starved(&self) {
        self.inner.starved.notified().await;
    }

    fn start(&self) {
        let now = self.inner.context.clock.now();
        let mut state = self.inner.state.lock();
        state.adopt(self.inner.context.shared.load(), &self.inner.context.vm, now);
        let grants = state.queue.start(&*self.inner.pick, now);
        if state.queue.any_waiting() {
            self.inner.starved.notify_one();
        }
        for Grant { id, upstream } in grants {
            let waiter = state.waiting.remove(&id);
            // A waiter that is gone has left the queue before, so this send
            // reaches its `Wait`, which ends the request if it is dropped.
            if let Some(waiter) = waiter {
                let _ = waiter.send(upstream);
            }
        }
    }

    fn enter_now(&self, ticket: &Ticket, now: Time) -> Result<Wait> {
        let mut state = self.inner.state.lock();
        let view = self.inner.context.shared.load();
        let weight = view.organisations.get(&ticket.organisation).map_or(1, |spec| spec.weight);
        state.adopt(view, &self.inner.context.vm, now);
        let id =
            state.queue.enqueue(ticket.clone(), weight, now).map_err(|reason| match reason {
                Refusal::NoUpstream => refusal::no_upstream(),
                Refusal::Late(span) => refusal::overloaded(span),
            })?;
        let (sender, granted) = oneshot::channel();
        state.waiting.insert(id, sender);
        Ok(Wait { line: self.clone(), ticket: ticket.clone(), id, granted, settled: false })
    }

    fn end(&self, ticket: &Ticket, upstream: &id::Upstream, started: Time) {
        let held = started.until(self.inner.context.clock.now());
        self.inner.state.lock().queue.finish(&ticket.target, upstream, held);
        self.start();
    }
}

impl Inside {
    fn adopt(&mut self, view: Arc<View>, own: &id::Vm, now: Time) {
        let known = self.view.as_ref().is_some_and(|held| Arc::ptr_eq(held, &view));
        if known && !self.changes.passed(now) {
            return;
        }
        if !known {
            let part = |upstream| fallback(&view, upstream).get(own).copied().unwrap_or(0);
            let parts = view.upstreams.values().map(|one| (one.name.clone(), part(one)));
            self.lessee.configure(parts.collect(), now);
        }
        let limit = |name: &id::Upstream| match self.leases {
            true => self.lessee.limit(name, now),
            false => self.lessee.fallback(name),
        };
        let slot = |upstream: &crate::view::Upstream| Limit {
            serves: upstream.spec.serves.clone(),
            concurrency: limit(&upstream.name),
            live: upstream.state == State::Live,
        };
        let slots: BTreeMap<_, _> =
            view.upstreams.iter().map(|(name, upstream)| (name.clone(), slot(upstream))).collect();
        self.queue.set_limits(slots);
        self.changes = if self.leases { self.lessee.next_change(now) } else { Time::NEVER };
        self.view = Some(view);
    }

    fn wants<F>(&mut self, ask: F, now: Time) -> Vec<(id::Upstream, Demand)>
    where
        F: Fn(&id::Upstream) -> bool,
    {
        let mut wants = Vec::new();
        for room in self.queue.occupancy().into_iter().filter(|room| ask(&room.upstream)) {
            let running = room.online_running;
            let busy = running + room.online_waiting;
            let want = busy + spare(busy);
            let held = self.lessee.request(&room.upstream, want, now);
            wants.push((
                room.upstream,
                Demand { wanted: want, needed: busy, running, held, sequence: now.0 },
            ));
        }
        self.changes = Time(0);
        wants
    }
}

/// Slots kept for the next requests, so that they needn't wait for an owner.
fn spare(busy: u32) -> u32 {
    1 + busy / SPARE_PART
}

/// A request in the queue; dropping it leaves the queue or ends its grant.
struct Wait {
    line: Dispatcher,
    ticket: Ticket,
    id: u64,
    granted: oneshot::Receiver<id::Upstream>,
    settled: bool,
}

impl Wait {
    async fn wait(mut self) -> Result<Permit> {
        let clock = self.line.inner.context.clock.clone();
        let left = clock.now().until(self.ticket.deadline);
        let Ok(Ok(upstream)) = tokio::time::timeout(left, &mut self.granted).await else {
            return Err(refusal::overloaded(std::time::Duration::ZERO));
        };
        self.settled = true;
        let (line, ticket, started) = (self.line.clone(), self.ticket.clone(), clock.now());
        let place = upstream.clone();
        Ok(Permit::new(upstream, move || line.end(&ticket, &place, started)))
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.line.inner.state.lock();
        state.waiting.remove(&self.id);
        if state.queue.cancel(&self.ticket, self.id) {
            return;
        }
        drop(state);
        if let Ok(upstream) = self.granted.try_recv() {
            let now = self.line.inner.context.clock.now();
            self.line.end(&self.ticket, &upstream, now);
        }
    }
}

impl Scheduler for Dispatcher {
    fn acquire(&self, ticket: Ticket) -> LocalBoxFuture<'_, Result<Permit>> {
        Box::pin(async move {
            let wait = self.enter_now(&ticket, self.inner.context.clock.now())?;
            self.start();
            wait.wait().await
        })
    }

    fn occupancy(&self) -> Vec<Occupancy> {
        self.inner.state.lock().queue.occupancy()
    }
}
