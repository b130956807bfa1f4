//! The line that requests wait in, around the pure queue.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::flow::Order;
use super::machine::{Grant, Queue, Refusal};
use super::slots::Slot;
use crate::admission::{Line, Permit, Pick, Ticket, rank, refusal};
use crate::clock::Time;
use crate::context::Context;
use crate::error::Result;
use crate::id;
use crate::upstream::Room;
use crate::view::{Role, State, View};

/// Line over fair queues; cheap to clone.
#[derive(Clone)]
pub struct Fair {
    inner: Arc<Inner>,
}

struct Inner {
    context: Context,
    pick: Arc<dyn Pick>,
    state: Mutex<Inside>,
}

struct Inside {
    queue: Queue,
    view: Option<Arc<View>>,
    waiting: HashMap<u64, oneshot::Sender<id::Upstream>>,
}

impl Fair {
    /// Makes a line that chooses upstreams by `pick`.
    pub fn new(context: Context, pick: Arc<dyn Pick>) -> Self {
        Self::with_order(context, pick, Order::Fair)
    }

    /// Makes a line that serves in `order`.
    pub fn with_order(context: Context, pick: Arc<dyn Pick>, order: Order) -> Self {
        let state = Inside { queue: Queue::new(order), view: None, waiting: HashMap::new() };
        Self { inner: Arc::new(Inner { context, pick, state: Mutex::new(state) }) }
    }

    /// Starts what can run after the view or the slots changed.
    pub fn refresh(&self) {
        self.start();
    }

    fn start(&self) {
        let now = self.inner.context.clock.now();
        let mut state = self.inner.state.lock();
        state.adopt(self.inner.context.shared.load(), &self.inner.context.vm);
        let grants = state.queue.start(&*self.inner.pick, now);
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
        state.adopt(view, &self.inner.context.vm);
        let id = state.queue.enter(ticket.clone(), weight, now).map_err(|reason| match reason {
            Refusal::NoUpstream => refusal::no_upstream(),
            Refusal::Late(span) => refusal::overloaded(span),
        })?;
        let (sender, granted) = oneshot::channel();
        state.waiting.insert(id, sender);
        Ok(Wait { line: self.clone(), ticket: ticket.clone(), id, granted, settled: false })
    }

    fn end(&self, ticket: &Ticket, upstream: &id::Upstream, started: Time) {
        let held = started.until(self.inner.context.clock.now());
        self.inner.state.lock().queue.end(&ticket.target, upstream, held);
        self.start();
    }
}

impl Inside {
    fn adopt(&mut self, view: Arc<View>, own: &id::Vm) {
        if self.view.as_ref().is_some_and(|held| Arc::ptr_eq(held, &view)) {
            return;
        }
        self.queue.set_slots(static_slots(&view, own));
        self.view = Some(view);
    }
}

/// Splits each upstream's capacity evenly over the entry members; the rest
/// goes to those that rank first.
fn static_slots(view: &View, own: &id::Vm) -> BTreeMap<id::Upstream, Slot> {
    let entries = || view.members.values().filter(|member| member.role == Role::Entry);
    let count = entries().count().max(1) as u32;
    let slot = |upstream: &crate::view::Upstream| {
        let order = rank::order(&upstream.name, entries().map(|member| &member.vm));
        let place = order.iter().position(|vm| *vm == own).unwrap_or(0) as u32;
        let extra = u32::from(place < upstream.spec.capacity % count);
        Slot {
            serves: upstream.spec.serves.clone(),
            limit: upstream.spec.capacity / count + extra,
            live: upstream.state == State::Live,
        }
    };
    view.upstreams.iter().map(|(name, upstream)| (name.clone(), slot(upstream))).collect()
}

/// A request in the queue; dropping it leaves the queue or ends its grant.
struct Wait {
    line: Fair,
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
        if state.queue.leave(&self.ticket, self.id) {
            return;
        }
        drop(state);
        if let Ok(upstream) = self.granted.try_recv() {
            let now = self.line.inner.context.clock.now();
            self.line.end(&self.ticket, &upstream, now);
        }
    }
}

impl Line for Fair {
    fn enter(&self, ticket: Ticket) -> LocalBoxFuture<'_, Result<Permit>> {
        Box::pin(async move {
            let wait = self.enter_now(&ticket, self.inner.context.clock.now())?;
            self.start();
            wait.wait().await
        })
    }

    fn room(&self) -> Vec<Room> {
        self.inner.state.lock().queue.room()
    }
}
