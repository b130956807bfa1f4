//! The batch side of an entry VM: leases items, runs them, settles them.

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

/// Pause between looks at upstreams: how soon batch work gives way.
const LOOK: Duration = Duration::from_millis(20);
/// Pause between renewals of leases.
const RENEW: Duration = Duration::from_millis(500);
/// Pause between reports to other VMs' dispatchers without a change.
const REPORT: Duration = Duration::from_millis(250);
/// Pause before a segment that had nothing is asked again, at first and at most.
const MIN_IDLE: Duration = Duration::from_millis(100);
const MAX_IDLE: Duration = Duration::from_millis(800);
/// Pause of an upstream that couldn't be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_000);
/// Bound on a lease: later its items couldn't be started anyhow.
const LEASE_TIMEOUT: Duration = START_WINDOW;
/// Bound on telling another dispatcher.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Settlements in one record.
const SETTLE_LIMIT: usize = 256;

type Key = (SegmentId, Attempt);

/// Runs batch items on one arbiter.
pub struct Worker {
    client: Client,
    line: Arc<dyn Scheduler>,
    upstreams: Rc<dyn upstream::Client>,
    /// Name of this worker, another one after each restart.
    name: String,
    preempts: bool,
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    sites: BTreeMap<id::Upstream, Site>,
    running: HashMap<Key, Running>,
    /// Ended attempts that aren't committed yet, by segment and job.
    ended: BTreeMap<(SegmentId, u64), Vec<Settlement>>,
    settling: BTreeMap<SegmentId, Vec<Attempt>>,
    idle: HashMap<(SegmentId, String), (Time, Duration)>,
    /// Items asked for and not here yet.
    leasing: HashMap<(SegmentId, String), u32>,
    /// Number of the latest ask, and asks that may still start something.
    last_ask: u64,
    open_asks: BTreeSet<u64>,
    /// The view that `dispatchers` follows from.
    view: Option<Arc<View>>,
    dispatchers: HashMap<id::Upstream, id::Vm>,
    reported: BTreeMap<id::Upstream, (OnlineLoad, Time)>,
}

struct Site {
    limiter: Limiter,
    running: u32,
    paused_until: Time,
}

struct Running {
    upstream: id::Upstream,
    idempotent: bool,
    task: JoinHandle<()>,
}

/// Starts the batch side of an entry VM on the current arbiter. The result
/// answers this area's messages.
pub fn start(
    client: Client,
    line: Arc<dyn Scheduler>,
    upstreams: Rc<dyn upstream::Client>,
) -> Rc<Worker> {
    start_with(client, line, upstreams, true)
}

/// As `start`; without yielding, online requests are taken no notice of. The
/// bench compares both.
pub fn start_with(
    client: Client,
    line: Arc<dyn Scheduler>,
    upstreams: Rc<dyn upstream::Client>,
    preempts: bool,
) -> Rc<Worker> {
    let name = format!("{}#{:08x}", client.context().vm, rand::random::<u32>());
    let inner = RefCell::default();
    let worker = Rc::new(Worker { client, line, upstreams, name, preempts, inner });
    let looking = worker.clone();
    actix_rt::spawn(async move {
        loop {
            looking.look();
            actix_rt::time::sleep(LOOK).await;
        }
    });
    let renewing = worker.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(RENEW).await;
            renewing.renew().await;
        }
    });
    worker
}

impl Worker {
    fn now(&self) -> Time {
        self.client.context().clock.now()
    }

    /// Looks at every upstream that this VM dispatches to.
    fn look(self: &Rc<Self>) {
        let view = self.client.context().shared.load();
        self.inner.borrow_mut().follow(&view);
        self.tell(&view);
        let wanted = self.wanted(&view);
        for (target, room) in wanted {
            self.lease(&target, room);
        }
        self.settle();
    }

    /// Free batch slots by target, after making too many give way.
    fn wanted(&self, view: &View) -> BTreeMap<String, u32> {
        let now = self.now();
        let own = &self.client.context().vm;
        let mut inner = self.inner.borrow_mut();
        let mut wanted: BTreeMap<String, u32> = BTreeMap::new();
        let mut excess = Vec::new();
        let Inner { sites, dispatchers, .. } = &mut *inner;
        let mine = |name: &id::Upstream| dispatchers.get(name) == Some(own);
        for upstream in view.upstreams.values().filter(|each| mine(&each.name)) {
            let capacity = upstream.spec.capacity;
            let site = sites.entry(upstream.name.clone()).or_insert_with(|| Site {
                limiter: match self.preempts {
                    true => Limiter::new(capacity),
                    false => Limiter::without_preemption(capacity),
                },
                running: 0,
                paused_until: Time(0),
            });
            site.limiter.resize(capacity);
            let limits = site.limiter.limits(now);
            let (running, paused) = (site.running, !site.paused_until.passed(now));
            if running > limits.preempt_above {
                excess.push((upstream.name.clone(), running - limits.preempt_above));
            } else if upstream.state == State::Live && !paused {
                *wanted.entry(target(upstream)).or_default() +=
                    limits.start_below.saturating_sub(running);
            }
        }
        sites.retain(|name, site| site.running > 0 || mine(name));
        excess.iter().for_each(|(name, count)| inner.interrupt(name, *count));
        wanted.retain(|_, room| *room > 0);
        wanted
    }

    /// Asks segments for items, each at most once at a time.
    fn lease(self: &Rc<Self>, target: &str, room: u32) {
        let now = self.now();
        let mut due = Vec::new();
        let room = {
            let inner = self.inner.borrow();
            for segment in SegmentId::all() {
                let key = (segment, target.to_owned());
                let idle = inner.idle.get(&key).is_some_and(|(until, _)| !until.passed(now));
                if !idle && !inner.leasing.contains_key(&key) {
                    due.push(key);
                }
            }
            let asked = inner.leasing.iter().filter(|((_, other), _)| other == target);
            room.saturating_sub(asked.map(|(_, share)| share).sum())
        };
        if due.is_empty() || room == 0 {
            return;
        }
        // Begins elsewhere each time, so that every segment gets its turn.
        let start = rand::random::<u32>() as usize % due.len();
        due.rotate_left(start);
        let share = (room / due.len() as u32).max(1);
        for key in due.into_iter().take(room as usize) {
            self.inner.borrow_mut().leasing.insert(key.clone(), share);
            let worker = self.clone();
            actix_rt::spawn(async move { worker.lease_from(key, share).await });
        }
    }

    async fn lease_from(self: Rc<Self>, key: (SegmentId, String), limit: u32) {
        let asked = self.now();
        let number = self.inner.borrow_mut().open_ask();
        let ask = Operation::Lease(wire::batch::Lease {
            sequence: number,
            worker: self.name.clone(),
            target: key.1.clone(),
            limit,
        });
        let reply = self.client.ask_until(key.0, ask, asked.after(LEASE_TIMEOUT)).await;
        let items = match reply {
            Ok(Reply::Leased(leased)) => leased.items,
            _ => Vec::new(),
        };
        {
            let now = self.now();
            let mut inner = self.inner.borrow_mut();
            inner.leasing.remove(&key);
            if items.is_empty() {
                let idle = inner.idle.get(&key).map_or(MIN_IDLE, |(_, idle)| *idle);
                inner.idle.insert(key.clone(), (now.after(idle), (idle * 2).min(MAX_IDLE)));
            } else {
                inner.idle.remove(&key);
            }
        }
        let view = self.client.context().shared.load();
        for item in items {
            self.begin(key.0, &key.1, item, &view, asked.after(START_WINDOW));
        }
        self.inner.borrow_mut().open_asks.remove(&number);
    }

    /// Starts an item at the upstream with most room, or gives it back.
    fn begin(
        self: &Rc<Self>,
        segment: SegmentId,
        wanted: &str,
        item: LeasedItem,
        view: &View,
        start_by: Time,
    ) {
        let attempt = item.attempt;
        let Some(upstream) = self.choose(wanted, view) else {
            let ended =
                AttemptResult::without_answer(AttemptOutcome::NotSent, "no upstream has room");
            self.inner.borrow_mut().end(segment, attempt, ended);
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
            if let Some(site) = inner.sites.get_mut(&upstream.name).filter(|_| ended.unreachable) {
                site.paused_until = now.after(UNREACHABLE_PAUSE);
            }
            inner.end(segment, attempt, ended);
        });
        let running = Running { upstream: name, idempotent, task };
        self.inner.borrow_mut().running.insert((segment, attempt), running);
    }

    fn choose(&self, wanted: &str, view: &View) -> Option<Upstream> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let own = &self.client.context().vm;
        let mut best: Option<(u32, &Upstream)> = None;
        for upstream in view.upstreams.values() {
            let mine = inner.dispatchers.get(&upstream.name) == Some(own);
            if !mine || upstream.state != State::Live || target(upstream) != wanted {
                continue;
            }
            let Some(site) = inner.sites.get_mut(&upstream.name) else { continue };
            let room = site.limiter.limits(now).start_below.saturating_sub(site.running);
            let usable = room > 0 && site.paused_until.passed(now);
            if usable && best.is_none_or(|(most, _)| room > most) {
                best = Some((room, upstream));
            }
        }
        let chosen = best?.1.clone();
        inner.sites.get_mut(&chosen.name).expect("looked up above").running += 1;
        Some(chosen)
    }

    /// Commits ended attempts, one record at a time for each segment.
    fn settle(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        let keys: Vec<(SegmentId, u64)> = inner.ended.keys().copied().collect();
        for key in keys {
            if inner.settling.contains_key(&key.0) {
                continue;
            }
            let Some(waiting) = inner.ended.get_mut(&key) else { continue };
            let count = waiting.len().min(SETTLE_LIMIT);
            let settlements: Vec<Settlement> = waiting.drain(..count).collect();
            if waiting.is_empty() {
                inner.ended.remove(&key);
            }
            let attempts = settlements.iter().map(|each| each.attempt).collect();
            inner.settling.insert(key.0, attempts);
            let worker = self.clone();
            actix_rt::spawn(async move { worker.settle_now(key, settlements).await });
        }
    }

    async fn settle_now(&self, key: (SegmentId, u64), settlements: Vec<Settlement>) {
        let event = Event::Settle(Settle { settlements: settlements.clone() });
        let settled = self.client.commit(key.0, event).await;
        let mut inner = self.inner.borrow_mut();
        inner.settling.remove(&key.0);
        if settled.is_err() {
            // Tried again at the next look; a repetition changes nothing.
            inner.ended.entry(key).or_default().extend(settlements);
        }
    }

    /// Renews all leases and stops what the segments no longer want run.
    async fn renew(&self) {
        let mut held: BTreeMap<SegmentId, Vec<Attempt>> =
            SegmentId::all().map(|segment| (segment, Vec::new())).collect();
        let closed = {
            let inner = self.inner.borrow();
            for (segment, attempt) in inner.running.keys() {
                held.entry(*segment).or_default().push(*attempt);
            }
            for ((segment, _), ended) in &inner.ended {
                held.entry(*segment).or_default().extend(ended.iter().map(|each| each.attempt));
            }
            for (segment, attempts) in &inner.settling {
                held.entry(*segment).or_default().extend(attempts);
            }
            // An attempt is on this list or will never be started.
            inner.open_asks.first().map_or(inner.last_ask, |open| open - 1)
        };
        let renewals = held.into_iter().map(|(segment, attempts)| async move {
            let deadline = self.now().after(RENEW);
            let ask = Operation::Renew(Renew { attempts, worker: self.name.clone(), closed });
            (segment, self.client.ask_until(segment, ask, deadline).await)
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

    /// Tells dispatchers what online requests this VM has at their upstreams.
    fn tell(self: &Rc<Self>, view: &View) {
        let now = self.now();
        let context = self.client.context();
        let mut messages: BTreeMap<id::Vm, Vec<Demand>> = BTreeMap::new();
        let mut inner = self.inner.borrow_mut();
        for room in self.line.occupancy() {
            let online = OnlineLoad { running: room.online_running, waiting: room.online_waiting };
            let Some(vm) = inner.dispatchers.get(&room.upstream).cloned() else { continue };
            if vm == context.vm {
                if let Some(site) = inner.sites.get_mut(&room.upstream) {
                    site.limiter.report(vm.clone(), online, now);
                }
                continue;
            }
            let known = inner.reported.get(&room.upstream);
            let urgent = known.is_none_or(|(last, _)| (last.waiting > 0) != (online.waiting > 0));
            if urgent || known.is_some_and(|(_, until)| until.passed(now)) {
                inner.reported.insert(room.upstream.clone(), (online, now.after(REPORT)));
                let room = Demand {
                    upstream: room.upstream.as_str().into(),
                    waiting: online.waiting,
                    running: online.running,
                };
                messages.entry(vm).or_default().push(room);
            }
        }
        for (vm, rooms) in messages {
            let Some(member) = view.members.get(&vm) else { continue };
            let client = context.peers.get(member.peer);
            actix_rt::spawn(async move {
                let body = Message::frame(Body::Waiting(Waiting { demands: rooms }));
                let _ = client.call(body, REPORT_TIMEOUT).await;
            });
        }
    }

    fn heard(&self, peer: &Peer, waiting: Waiting) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        for room in waiting.demands {
            let Some(site) = inner.sites.get_mut(&id::Upstream::from(room.upstream)) else {
                continue;
            };
            let online = OnlineLoad { running: room.running, waiting: room.waiting };
            site.limiter.report(peer.vm.clone(), online, now);
        }
    }
}

impl Inner {
    /// Chooses dispatchers anew when the view has changed.
    fn follow(&mut self, view: &Arc<View>) {
        if self.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, view)) {
            return;
        }
        let upstreams = view.upstreams.keys();
        let chosen =
            upstreams.filter_map(|name| Some((name.clone(), dispatcher(view, name)?.clone())));
        self.dispatchers = chosen.collect();
        self.view = Some(view.clone());
    }

    fn open_ask(&mut self) -> u64 {
        self.last_ask += 1;
        self.open_asks.insert(self.last_ask);
        self.last_ask
    }

    /// Frees the slot of an attempt that ended or is stopped.
    fn release(&mut self, key: &Key) -> Option<Running> {
        let running = self.running.remove(key)?;
        if let Some(site) = self.sites.get_mut(&running.upstream) {
            site.running = site.running.saturating_sub(1);
        }
        Some(running)
    }

    fn end(&mut self, segment: SegmentId, attempt: Attempt, ended: AttemptResult) {
        let settlement = Settlement {
            attempt,
            outcome: ended.outcome.into(),
            status: ended.status,
            body: ended.body,
        };
        self.ended.entry((segment, attempt.job)).or_default().push(settlement);
    }

    /// Makes up to `count` calls at an upstream give way to online requests.
    /// Those that may not be repeated run on.
    fn interrupt(&mut self, upstream: &id::Upstream, count: u32) {
        let running = self.running.iter();
        let giving_way = running.filter(|(_, run)| run.upstream == *upstream && run.idempotent);
        let keys: Vec<Key> = giving_way.map(|(key, _)| *key).take(count as usize).collect();
        for key in keys {
            let Some(running) = self.release(&key) else { continue };
            running.task.abort();
            let ended = AttemptResult::without_answer(
                AttemptOutcome::Preempted,
                "gave way to online requests",
            );
            self.end(key.0, key.1, ended);
        }
    }
}

impl Handler for Worker {
    fn handle(&self, peer: Peer, body: wire::Body) -> LocalBoxFuture<'_, Result<wire::Body>> {
        Box::pin(async move {
            match Message::unframe(body)? {
                Body::Waiting(waiting) => {
                    self.heard(&peer, waiting);
                    Ok(Message::frame(Body::Done(())))
                }
                _ => Err(Error::new(Kind::Peer, "an entry VM doesn't answer this")),
            }
        })
    }
}

/// What an upstream can run, as jobs name it.
fn target(upstream: &Upstream) -> String {
    match &upstream.spec.serves {
        Serves::Model(model) => format!("model:{model}"),
        Serves::Service(service) => format!("service:{service}"),
    }
}
