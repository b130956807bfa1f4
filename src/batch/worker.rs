//! Batch worker of an entry VM: leases items, runs them and reports the
//! outcomes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::future::LocalBoxFuture;

use super::START_WINDOW;
use super::client::Client;
use super::limiter::{Limiter, OnlineLoad};
use super::record::{Attempt, AttemptOutcome, Event, Settle, Settlement};
use super::rendezvous::dispatcher;
use super::run::{AttemptResult, run};
use crate::admission::Scheduler;
use crate::clock::Time;
use crate::config::resource::Serves;
use crate::error::{Error, Kind, Result};
use crate::id;
use crate::segment::SegmentId;
use crate::upstream;
use crate::view::{State, Upstream, View};
use crate::wire::batch::{Body, Demand, LeasedItem, Message, Operation, Renew, Reply, Waiting};
use crate::wire::{self, Handler, Peer};

/// Interval at which limits are applied; it bounds how long preemption takes.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between renewals of leases.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reports to other VMs' dispatchers while nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Initial and maximum backoff before a segment that had no items is polled
/// again.
const MIN_IDLE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_IDLE_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which an unreachable upstream gets no items.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_000);
/// Timeout of a lease request; a later answer couldn't be used, because the
/// start window is over.
const LEASE_TIMEOUT: Duration = START_WINDOW;
/// Timeout of a report to another dispatcher.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of settlements in one record.
const MAX_SETTLEMENTS: usize = 256;

type Key = (SegmentId, Attempt);

/// Leases and runs batch items on one arbiter.
pub struct Worker {
    client: Client,
    scheduler: Arc<dyn Scheduler>,
    upstreams: Rc<dyn upstream::Client>,
    /// Name of this worker; it differs after each restart.
    name: String,
    preempts: bool,
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    upstream_states: BTreeMap<id::Upstream, UpstreamState>,
    running: HashMap<Key, RunningItem>,
    /// Settlements that aren't committed yet, by segment and job.
    ended: BTreeMap<(SegmentId, u64), Vec<Settlement>>,
    settling: BTreeMap<SegmentId, Vec<Attempt>>,
    idle: HashMap<(SegmentId, String), (Time, Duration)>,
    /// Number of items requested in each pending lease request.
    leasing: HashMap<(SegmentId, String), u32>,
    /// Number of the latest lease request, and requests whose items may still
    /// be started.
    last_request: u64,
    open_requests: BTreeSet<u64>,
    /// View from which `dispatchers` was computed.
    view: Option<Arc<View>>,
    dispatchers: HashMap<id::Upstream, id::Vm>,
    reported: BTreeMap<id::Upstream, (OnlineLoad, Time)>,
}

struct UpstreamState {
    limiter: Limiter,
    running: u32,
    paused_until: Time,
}

struct RunningItem {
    upstream: id::Upstream,
    idempotent: bool,
    task: JoinHandle<()>,
}

/// Starts a batch worker on the current arbiter. The returned worker handles
/// batch messages from other VMs.
pub fn start(
    client: Client,
    scheduler: Arc<dyn Scheduler>,
    upstreams: Rc<dyn upstream::Client>,
) -> Rc<Worker> {
    start_with(client, scheduler, upstreams, true)
}

/// Like `start`, with preemption optional: without it the worker ignores online
/// requests. The benchmark compares both.
pub fn start_with(
    client: Client,
    scheduler: Arc<dyn Scheduler>,
    upstreams: Rc<dyn upstream::Client>,
    preempts: bool,
) -> Rc<Worker> {
    let name = format!("{}#{:08x}", client.context().vm, rand::random::<u32>());
    let inner = RefCell::default();
    let worker = Rc::new(Worker { client, scheduler, upstreams, name, preempts, inner });
    let dispatching = worker.clone();
    actix_rt::spawn(async move {
        loop {
            dispatching.dispatch();
            actix_rt::time::sleep(DISPATCH_INTERVAL).await;
        }
    });
    let renewing = worker.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(RENEW_INTERVAL).await;
            renewing.renew().await;
        }
    });
    worker
}

impl Worker {
    fn now(&self) -> Time {
        self.client.context().clock.now()
    }

    /// Applies the limits of all upstreams that this VM dispatches to, requests
    /// items for free slots and commits settlements.
    fn dispatch(self: &Rc<Self>) {
        let view = self.client.context().shared.load();
        self.inner.borrow_mut().update_dispatchers(&view);
        self.report_online(&view);
        let free = self.free_slots(&view);
        for (target, slots) in free {
            self.lease(&target, slots);
        }
        self.settle();
    }

    /// Returns the free batch slots by target, after preempting excess items.
    fn free_slots(&self, view: &View) -> BTreeMap<String, u32> {
        let now = self.now();
        let own = &self.client.context().vm;
        let mut inner = self.inner.borrow_mut();
        let mut free: BTreeMap<String, u32> = BTreeMap::new();
        let mut excess = Vec::new();
        let Inner { upstream_states, dispatchers, .. } = &mut *inner;
        let is_dispatcher = |name: &id::Upstream| dispatchers.get(name) == Some(own);
        for upstream in view.upstreams.values().filter(|each| is_dispatcher(&each.name)) {
            let capacity = upstream.spec.capacity;
            let state =
                upstream_states.entry(upstream.name.clone()).or_insert_with(|| UpstreamState {
                    limiter: match self.preempts {
                        true => Limiter::new(capacity),
                        false => Limiter::without_preemption(capacity),
                    },
                    running: 0,
                    paused_until: Time(0),
                });
            state.limiter.resize(capacity);
            let limits = state.limiter.limits(now);
            let (running, paused) = (state.running, !state.paused_until.passed(now));
            if running > limits.preempt_above {
                excess.push((upstream.name.clone(), running - limits.preempt_above));
            } else if upstream.state == State::Live && !paused {
                *free.entry(target(upstream)).or_default() +=
                    limits.start_below.saturating_sub(running);
            }
        }
        upstream_states.retain(|name, state| state.running > 0 || is_dispatcher(name));
        excess.iter().for_each(|(name, count)| inner.preempt(name, *count));
        free.retain(|_, slots| *slots > 0);
        free
    }

    /// Requests items from the segments, with at most one pending request to
    /// each.
    fn lease(self: &Rc<Self>, target: &str, slots: u32) {
        let now = self.now();
        let mut due = Vec::new();
        let slots = {
            let inner = self.inner.borrow();
            for segment in SegmentId::all() {
                let key = (segment, target.to_owned());
                let idle = inner.idle.get(&key).is_some_and(|(until, _)| !until.passed(now));
                if !idle && !inner.leasing.contains_key(&key) {
                    due.push(key);
                }
            }
            let pending = inner.leasing.iter().filter(|((_, other), _)| other == target);
            slots.saturating_sub(pending.map(|(_, share)| share).sum())
        };
        if due.is_empty() || slots == 0 {
            return;
        }
        // Starts at a random segment, so that all of them are polled.
        let start = rand::random::<u32>() as usize % due.len();
        due.rotate_left(start);
        let share = (slots / due.len() as u32).max(1);
        for key in due.into_iter().take(slots as usize) {
            self.inner.borrow_mut().leasing.insert(key.clone(), share);
            let worker = self.clone();
            actix_rt::spawn(async move { worker.lease_from(key, share).await });
        }
    }

    async fn lease_from(self: Rc<Self>, key: (SegmentId, String), limit: u32) {
        let requested = self.now();
        let number = self.inner.borrow_mut().open_request();
        let operation = Operation::Lease(wire::batch::Lease {
            sequence: number,
            worker: self.name.clone(),
            target: key.1.clone(),
            limit,
        });
        let reply = self.client.ask_until(key.0, operation, requested.after(LEASE_TIMEOUT)).await;
        let items = match reply {
            Ok(Reply::Leased(leased)) => leased.items,
            _ => Vec::new(),
        };
        {
            let now = self.now();
            let mut inner = self.inner.borrow_mut();
            inner.leasing.remove(&key);
            if items.is_empty() {
                let idle = inner.idle.get(&key).map_or(MIN_IDLE_BACKOFF, |(_, idle)| *idle);
                inner.idle.insert(key.clone(), (now.after(idle), (idle * 2).min(MAX_IDLE_BACKOFF)));
            } else {
                inner.idle.remove(&key);
            }
        }
        let view = self.client.context().shared.load();
        for item in items {
            self.start_item(key.0, &key.1, item, &view, requested.after(START_WINDOW));
        }
        self.inner.borrow_mut().open_requests.remove(&number);
    }

    /// Starts an item on the upstream with the most free slots, or settles it as
    /// not sent.
    fn start_item(
        self: &Rc<Self>,
        segment: SegmentId,
        required_target: &str,
        item: LeasedItem,
        view: &View,
        start_by: Time,
    ) {
        let attempt = item.attempt;
        let Some(upstream) = self.choose_upstream(required_target, view) else {
            let ended =
                AttemptResult::without_answer(AttemptOutcome::NotSent, "no upstream has room");
            self.inner.borrow_mut().record_settlement(segment, attempt, ended);
            return;
        };
        let timeout = view.routes.get(&item.path).map_or(30_000, |route| route.timeout_ms);
        let worker = self.clone();
        let (name, idempotent) = (upstream.name.clone(), item.idempotent);
        let task = actix_rt::spawn(async move {
            let clock = worker.client.context().clock.clone();
            let timeout = Duration::from_millis(timeout);
            let client = worker.upstreams.clone();
            let ended = run(client, &*clock, &upstream, &item, start_by, timeout).await;
            let now = worker.now();
            let mut inner = worker.inner.borrow_mut();
            inner.release(&(segment, attempt));
            if let Some(state) =
                inner.upstream_states.get_mut(&upstream.name).filter(|_| ended.unreachable)
            {
                state.paused_until = now.after(UNREACHABLE_PAUSE);
            }
            inner.record_settlement(segment, attempt, ended);
        });
        let running = RunningItem { upstream: name, idempotent, task };
        self.inner.borrow_mut().running.insert((segment, attempt), running);
    }

    fn choose_upstream(&self, required_target: &str, view: &View) -> Option<Upstream> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let own = &self.client.context().vm;
        let mut best: Option<(u32, &Upstream)> = None;
        for upstream in view.upstreams.values() {
            let is_dispatcher = inner.dispatchers.get(&upstream.name) == Some(own);
            if !is_dispatcher
                || upstream.state != State::Live
                || target(upstream) != required_target
            {
                continue;
            }
            let Some(state) = inner.upstream_states.get_mut(&upstream.name) else { continue };
            let slots = state.limiter.limits(now).start_below.saturating_sub(state.running);
            let usable = slots > 0 && state.paused_until.passed(now);
            if usable && best.is_none_or(|(most, _)| slots > most) {
                best = Some((slots, upstream));
            }
        }
        let chosen = best?.1.clone();
        inner
            .upstream_states
            .get_mut(&chosen.name)
            .expect("the chosen upstream has a state")
            .running += 1;
        Some(chosen)
    }

    /// Commits settlements, with at most one pending record for each segment.
    fn settle(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        let keys: Vec<(SegmentId, u64)> = inner.ended.keys().copied().collect();
        for key in keys {
            if inner.settling.contains_key(&key.0) {
                continue;
            }
            let Some(waiting) = inner.ended.get_mut(&key) else { continue };
            let count = waiting.len().min(MAX_SETTLEMENTS);
            let settlements: Vec<Settlement> = waiting.drain(..count).collect();
            if waiting.is_empty() {
                inner.ended.remove(&key);
            }
            let attempts = settlements.iter().map(|each| each.attempt).collect();
            inner.settling.insert(key.0, attempts);
            let worker = self.clone();
            actix_rt::spawn(async move { worker.commit_settlements(key, settlements).await });
        }
    }

    async fn commit_settlements(&self, key: (SegmentId, u64), settlements: Vec<Settlement>) {
        let event = Event::Settle(Settle { settlements: settlements.clone() });
        let settled = self.client.commit(key.0, event).await;
        let mut inner = self.inner.borrow_mut();
        inner.settling.remove(&key.0);
        if settled.is_err() {
            // Retried at the next interval. Settling an attempt is idempotent.
            inner.ended.entry(key).or_default().extend(settlements);
        }
    }

    /// Renews all leases and stops the attempts that the segments no longer
    /// need.
    async fn renew(&self) {
        let mut attempts_by_segment: BTreeMap<SegmentId, Vec<Attempt>> =
            SegmentId::all().map(|segment| (segment, Vec::new())).collect();
        let closed = {
            let inner = self.inner.borrow();
            for (segment, attempt) in inner.running.keys() {
                attempts_by_segment.entry(*segment).or_default().push(*attempt);
            }
            for ((segment, _), ended) in &inner.ended {
                attempts_by_segment
                    .entry(*segment)
                    .or_default()
                    .extend(ended.iter().map(|each| each.attempt));
            }
            for (segment, attempts) in &inner.settling {
                attempts_by_segment.entry(*segment).or_default().extend(attempts);
            }
            // Every attempt of a closed request is on this list or will never
            // be started.
            inner.open_requests.first().map_or(inner.last_request, |open| open - 1)
        };
        let renewals = attempts_by_segment.into_iter().map(|(segment, attempts)| async move {
            let deadline = self.now().after(RENEW_INTERVAL);
            let operation = Operation::Renew(Renew { attempts, worker: self.name.clone(), closed });
            (segment, self.client.ask_until(segment, operation, deadline).await)
        });
        for (segment, reply) in futures_util::future::join_all(renewals).await {
            let Ok(Reply::Stop(stop)) = reply else { continue };
            let mut inner = self.inner.borrow_mut();
            for attempt in stop.attempts {
                if let Some(running) = inner.release(&(segment, attempt)) {
                    running.task.abort();
                }
            }
        }
    }

    /// Reports this VM's online requests to the dispatchers of their upstreams.
    fn report_online(self: &Rc<Self>, view: &View) {
        let now = self.now();
        let context = self.client.context();
        let mut messages: BTreeMap<id::Vm, Vec<Demand>> = BTreeMap::new();
        let mut inner = self.inner.borrow_mut();
        for occupancy in self.scheduler.occupancy() {
            let online =
                OnlineLoad { running: occupancy.online_running, waiting: occupancy.online_waiting };
            let Some(vm) = inner.dispatchers.get(&occupancy.upstream).cloned() else { continue };
            if vm == context.vm {
                if let Some(state) = inner.upstream_states.get_mut(&occupancy.upstream) {
                    state.limiter.report(vm.clone(), online, now);
                }
                continue;
            }
            let last_report = inner.reported.get(&occupancy.upstream);
            let changed =
                last_report.is_none_or(|(last, _)| (last.waiting > 0) != (online.waiting > 0));
            if changed || last_report.is_some_and(|(_, until)| until.passed(now)) {
                inner
                    .reported
                    .insert(occupancy.upstream.clone(), (online, now.after(REPORT_INTERVAL)));
                let demand = Demand {
                    upstream: occupancy.upstream.as_str().into(),
                    waiting: online.waiting,
                    running: online.running,
                };
                messages.entry(vm).or_default().push(demand);
            }
        }
        for (vm, demands) in messages {
            let Some(member) = view.members.get(&vm) else { continue };
            let client = context.peers.get(member.peer);
            actix_rt::spawn(async move {
                let body = Message::frame(Body::Waiting(Waiting { demands }));
                let _ = client.call(body, REPORT_TIMEOUT).await;
            });
        }
    }

    fn handle_report(&self, peer: &Peer, waiting: Waiting) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        for demand in waiting.demands {
            let Some(state) = inner.upstream_states.get_mut(&id::Upstream::from(demand.upstream))
            else {
                continue;
            };
            let online = OnlineLoad { running: demand.running, waiting: demand.waiting };
            state.limiter.report(peer.vm.clone(), online, now);
        }
    }
}

impl Inner {
    /// Recomputes the dispatchers if the view has changed.
    fn update_dispatchers(&mut self, view: &Arc<View>) {
        if self.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, view)) {
            return;
        }
        let upstreams = view.upstreams.keys();
        let chosen =
            upstreams.filter_map(|name| Some((name.clone(), dispatcher(view, name)?.clone())));
        self.dispatchers = chosen.collect();
        self.view = Some(view.clone());
    }

    fn open_request(&mut self) -> u64 {
        self.last_request += 1;
        self.open_requests.insert(self.last_request);
        self.last_request
    }

    /// Frees the slot of an attempt that ended or was stopped.
    fn release(&mut self, key: &Key) -> Option<RunningItem> {
        let running = self.running.remove(key)?;
        if let Some(state) = self.upstream_states.get_mut(&running.upstream) {
            state.running = state.running.saturating_sub(1);
        }
        Some(running)
    }

    fn record_settlement(&mut self, segment: SegmentId, attempt: Attempt, ended: AttemptResult) {
        let settlement = Settlement {
            attempt,
            outcome: ended.outcome.into(),
            status: ended.status,
            body: ended.body,
        };
        self.ended.entry((segment, attempt.job)).or_default().push(settlement);
    }

    /// Preempts up to `count` items at an upstream in favour of online
    /// requests. Items that aren't idempotent keep running.
    fn preempt(&mut self, upstream: &id::Upstream, count: u32) {
        let running = self.running.iter();
        let preemptible = running.filter(|(_, run)| run.upstream == *upstream && run.idempotent);
        let keys: Vec<Key> = preemptible.map(|(key, _)| *key).take(count as usize).collect();
        for key in keys {
            let Some(running) = self.release(&key) else { continue };
            running.task.abort();
            let ended = AttemptResult::without_answer(
                AttemptOutcome::Preempted,
                "gave way to online requests",
            );
            self.record_settlement(key.0, key.1, ended);
        }
    }
}

impl Handler for Worker {
    fn handle(&self, peer: Peer, body: wire::Body) -> LocalBoxFuture<'_, Result<wire::Body>> {
        Box::pin(async move {
            match Message::unframe(body)? {
                Body::Waiting(waiting) => {
                    self.handle_report(&peer, waiting);
                    Ok(Message::frame(Body::Done(())))
                }
                _ => Err(Error::new(Kind::Peer, "an entry VM doesn't answer this")),
            }
        })
    }
}

/// Target of jobs that an upstream can run.
fn target(upstream: &Upstream) -> String {
    match &upstream.spec.serves {
        Serves::Model(model) => format!("model:{model}"),
        Serves::Service(service) => format!("service:{service}"),
    }
}
