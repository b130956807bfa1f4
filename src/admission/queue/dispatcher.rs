//! Scheduler around the deterministic `Queue`: wakes waiting requests and applies leases.

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

/// One more spare slot is requested for this many busy ones.
const BUSY_PER_SPARE: u32 = 4;

/// Dispatches queued requests to upstreams; cheap to clone.
#[derive(Clone)]
pub struct Dispatcher {
    inner: Arc<Inner>,
}

struct Inner {
    context: Context,
    pick: Arc<dyn Pick>,
    state: Mutex<Core>,
    starved: Notify,
}

struct Core {
    queue: Queue,
    view: Option<Arc<View>>,
    lessee: Lessee,
    uses_leases: bool,
    /// Time at which the limits must be recomputed.
    limits_valid_until: Time,
    waiting: HashMap<u64, oneshot::Sender<id::Upstream>>,
}

impl Dispatcher {
    /// Creates a scheduler that chooses upstreams by `pick`.
    pub fn new(context: Context, pick: Arc<dyn Pick>) -> Self {
        Self::with_policy(context, pick, Policy::Fair)
    }

    /// Creates a scheduler that serves requests in the order of `policy`.
    pub fn with_policy(context: Context, pick: Arc<dyn Pick>, policy: Policy) -> Self {
        let state = Core {
            queue: Queue::new(policy),
            view: None,
            lessee: Lessee::default(),
            uses_leases: false,
            limits_valid_until: Time::NEVER,
            waiting: HashMap::new(),
        };
        let (state, starved) = (Mutex::new(state), Notify::new());
        Self { inner: Arc::new(Inner { context, pick, state, starved }) }
    }

    /// Starts requests that can run after a change of the view or the slots.
    pub fn refresh(&self) {
        self.start_waiting();
    }

    /// Switches from an even share of the capacity to leased slots.
    pub fn use_leases(&self) {
        let mut state = self.inner.state.lock();
        state.uses_leases = true;
        state.view = None;
    }

    /// Applies a lease of `count` slots that was requested at `requested_at`.
    pub fn receive(&self, upstream: &id::Upstream, count: u32, requested_at: Time) {
        let mut state = self.inner.state.lock();
        state.lessee.receive(upstream, count, requested_at);
        state.limits_valid_until = Time(0);
    }

    /// Current time, and the demand to send to the owners of the upstreams that `selected` accepts.
    pub fn demands<F>(&self, selected: F) -> (Time, Vec<(id::Upstream, Demand)>)
    where
        F: Fn(&id::Upstream) -> bool,
    {
        let now = self.inner.context.clock.now();
        (now, self.inner.state.lock().demands(selected, now))
    }

    /// Completes once a request is waiting for a slot.
    pub async fn starved(&self) {
        self.inner.starved.notified().await;
    }

    fn start_waiting(&self) {
        let now = self.inner.context.clock.now();
        let mut state = self.inner.state.lock();
        state.adopt(self.inner.context.shared.load(), &self.inner.context.vm, now);
        let grants = state.queue.start(&*self.inner.pick, now);
        if state.queue.any_waiting() {
            self.inner.starved.notify_one();
        }
        for Grant { id, upstream } in grants {
            let waiter = state.waiting.remove(&id);
            // A waiter leaves the queue before it goes away, so this send reaches its `Waiter`,
            // which releases the slot if it is dropped.
            if let Some(waiter) = waiter {
                let _ = waiter.send(upstream);
            }
        }
    }

    fn enqueue(&self, ticket: &Ticket, now: Time) -> Result<Waiter> {
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
        Ok(Waiter {
            dispatcher: self.clone(),
            ticket: ticket.clone(),
            id,
            granted,
            resolved: false,
        })
    }

    fn finish(&self, ticket: &Ticket, upstream: &id::Upstream, started: Time) {
        let held = started.until(self.inner.context.clock.now());
        self.inner.state.lock().queue.finish(&ticket.target, upstream, held);
        self.start_waiting();
    }
}

impl Core {
    fn adopt(&mut self, view: Arc<View>, own: &id::Vm, now: Time) {
        let known = self.view.as_ref().is_some_and(|held| Arc::ptr_eq(held, &view));
        if known && !self.limits_valid_until.passed(now) {
            return;
        }
        if !known {
            let share = |upstream| fallback(&view, upstream).get(own).copied().unwrap_or(0);
            let shares =
                view.upstreams.values().map(|upstream| (upstream.name.clone(), share(upstream)));
            self.lessee.configure(shares.collect(), now);
        }
        let limit = |name: &id::Upstream| match self.uses_leases {
            true => self.lessee.limit(name, now),
            false => self.lessee.fallback(name),
        };
        let limit_of = |upstream: &crate::view::Upstream| Limit {
            serves: upstream.spec.serves.clone(),
            concurrency: limit(&upstream.name),
            live: upstream.state == State::Live,
        };
        let limits: BTreeMap<_, _> = view
            .upstreams
            .iter()
            .map(|(name, upstream)| (name.clone(), limit_of(upstream)))
            .collect();
        self.queue.set_limits(limits);
        self.limits_valid_until =
            if self.uses_leases { self.lessee.next_change(now) } else { Time::NEVER };
        self.view = Some(view);
    }

    fn demands<F>(&mut self, selected: F, now: Time) -> Vec<(id::Upstream, Demand)>
    where
        F: Fn(&id::Upstream) -> bool,
    {
        let mut demands = Vec::new();
        for load in self.queue.occupancy().into_iter().filter(|load| selected(&load.upstream)) {
            let running = load.online_running;
            let busy = running + load.online_waiting;
            let wanted = busy + spare(busy);
            let held = self.lessee.request(&load.upstream, wanted, now);
            demands.push((
                load.upstream,
                Demand { wanted, needed: busy, running, held, sequence: now.0 },
            ));
        }
        self.limits_valid_until = Time(0);
        demands
    }
}

/// Spare slots for the next requests, so that they needn't wait for the owner.
fn spare(busy: u32) -> u32 {
    1 + busy / BUSY_PER_SPARE
}

/// A queued request; dropping it removes the request from the queue or releases its grant.
struct Waiter {
    dispatcher: Dispatcher,
    ticket: Ticket,
    id: u64,
    granted: oneshot::Receiver<id::Upstream>,
    resolved: bool,
}

impl Waiter {
    async fn wait(mut self) -> Result<Permit> {
        let clock = self.dispatcher.inner.context.clock.clone();
        let remaining = clock.now().until(self.ticket.deadline);
        let Ok(Ok(upstream)) = tokio::time::timeout(remaining, &mut self.granted).await else {
            return Err(refusal::overloaded(std::time::Duration::ZERO));
        };
        self.resolved = true;
        let (dispatcher, ticket, started) =
            (self.dispatcher.clone(), self.ticket.clone(), clock.now());
        let held_upstream = upstream.clone();
        Ok(Permit::new(upstream, move || dispatcher.finish(&ticket, &held_upstream, started)))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut state = self.dispatcher.inner.state.lock();
        state.waiting.remove(&self.id);
        if state.queue.cancel(&self.ticket, self.id) {
            return;
        }
        drop(state);
        if let Ok(upstream) = self.granted.try_recv() {
            let now = self.dispatcher.inner.context.clock.now();
            self.dispatcher.finish(&self.ticket, &upstream, now);
        }
    }
}

impl Scheduler for Dispatcher {
    fn acquire(&self, ticket: Ticket) -> LocalBoxFuture<'_, Result<Permit>> {
        Box::pin(async move {
            let waiter = self.enqueue(&ticket, self.inner.context.clock.now())?;
            self.start_waiting();
            waiter.wait().await
        })
    }

    fn occupancy(&self) -> Vec<Occupancy> {
        self.inner.state.lock().queue.occupancy()
    }
}
