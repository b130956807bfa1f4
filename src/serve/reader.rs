//! Reads of the store that VMs share, and reads of jobs from their owners.
//!
//! In a large fleet few VMs read the store, and the others fetch their snapshots
//! (`source`). A VM serves the snapshot that it has fetched, too. Each snapshot carries its age, measured by the VM
//! that serves it; the fetching VM subtracts it from the time at which it sent
//! its request, so the age is never understated, even when either VM was
//! suspended in between.
//!
//! Results of a job are fetched from its owner. The owner serves an open job
//! only while its own view is fresh, so a job that was taken over is read from
//! the store; a job whose results are complete never changes again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use prost::Message;

use super::context::Context;
use super::freshness::WATCH_INTERVAL;
use super::held::Charged;
use super::jobs::{ItemResult, Jobs, MAX_PAGE_BYTES, Pending, Summary};
use super::member::Member;
use super::source::{FOLLOWER_MAX_AGE, Order, Plan, Role};
use super::store::{Snapshot, Way};
use crate::clock::Time;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::id::Vm;
use crate::transport::Due;

/// Maximum age of a snapshot that is served to peers.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(900);
/// Maximum age of the view with which an owner serves its open jobs.
const MAX_OWNER_VIEW_AGE: Duration = Duration::from_millis(1_500);
/// Maximum number of peers asked for a snapshot before this VM decides again.
const MAX_ASKED: usize = 3;
/// Time after which no further peer is asked for a snapshot before it decides again.
const MAX_ASK_TIME: Duration = Duration::from_millis(400);
/// Time for which a peer that didn't answer isn't asked.
const AVOID_SILENT: Duration = Duration::from_millis(2_000);
/// Timeout of a request to another VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of another VM's snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 8 << 20;
/// Maximum size of a page of results of another VM, in bytes: one result may be as large as the
/// store's largest value.
const MAX_RESULTS_BYTES: usize = 5 << 18;
/// Path of the last snapshot.
pub const SNAPSHOT_PATH: &str = "/peer/snapshot";
/// Query of that path: age of the view for which a younger snapshot is wanted, in milliseconds.
const YOUNGER_THAN_MS: &str = "younger_than_ms=";
/// Path prefix of a job's results; followed by the job and the first position. Without the query
/// `BYTES`, as older versions ask, all results that follow are meant.
pub const RESULTS_PATH: &str = "/peer/results/";
/// Query of that path: maximum size of the results, in bytes.
const BYTES: &str = "bytes=";
/// Copies of a page for each of its bytes while a peer reads it.
const PAGE_COPIES: usize = 2;
/// Path prefix of an item's body; followed by the job and the item.
pub const BODY_PATH: &str = "/peer/body/";

/// Entries of the store with the age of the read.
#[derive(Clone, PartialEq, Message)]
pub struct CachedSnapshot {
    /// Time since the read was sent, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// Entries, as read from the store.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
}

/// One entry of the store.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Key in the store.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Encoded value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Version in the store.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Field of `Results` that holds the results.
const RESULTS_TAG: u32 = 2;

/// Results of a job, starting at the requested position.
#[derive(Clone, PartialEq, Message)]
pub struct Results {
    /// Number of items of the job.
    #[prost(uint64, tag = "1")]
    pub total: u64,
    /// The stored results, by position; under `RESULTS_TAG`.
    #[prost(message, repeated, tag = "2")]
    pub results: Vec<ItemResult>,
    /// Name of the organisation that submitted the job.
    #[prost(string, tag = "3")]
    pub organisation: String,
    /// Number of results that are stored; zero if the VM doesn't say so.
    #[prost(uint64, tag = "4")]
    pub stored: u64,
}

/// Reader of the shared entries, from the store or from other VMs.
pub struct Reader {
    context: Rc<Context>,
    /// Time at which the last snapshot was current, and its encoded entries as
    /// served to peers, without the age.
    last: RefCell<Option<(Time, Bytes)>>,
    plan: Cell<Plan>,
    /// Number of peers asked in vain; the next round begins with the one after them.
    asked_in_vain: Cell<usize>,
    /// Peers that didn't answer, with the time until which they aren't asked.
    silent: RefCell<HashMap<Vm, Time>>,
}

/// A snapshot and the time at which it was current.
type Fetched = (Vec<Entry>, Time);

impl Reader {
    /// Creates a reader that has read nothing yet.
    pub fn new(context: Rc<Context>) -> Rc<Self> {
        Rc::new(Self {
            context,
            last: RefCell::default(),
            plan: Cell::default(),
            asked_in_vain: Cell::new(0),
            silent: RefCell::default(),
        })
    }

    /// Reads all shared entries. The time is that at which the snapshot was current;
    /// none if this VM's view is at least as fresh.
    pub async fn read(&self) -> Result<Option<(Snapshot, Time)>> {
        let order = self.order();
        if order.role == Role::Alone {
            let read = self.read_store(order.role, Way::Any).await?;
            return Ok(Some(self.accept(read)));
        }
        let mut failure = None;
        if order.role == Role::Reader(0) && self.is_due(order.role) {
            match self.read_store(order.role, Way::Direct).await {
                Ok(read) => return Ok(Some(self.accept(read))),
                Err(error) => failure = Some(error),
            }
        }
        if let Some(fetched) = self.fetch_newer(&order).await {
            self.update_plan(Plan::fetched);
            self.log_failure(failure);
            return Ok(Some(self.accept(fetched)));
        }
        if failure.is_none() && self.is_due(order.role) {
            match self.read_store(order.role, Way::Direct).await {
                Ok(read) => return Ok(Some(self.accept(read))),
                Err(error) => failure = Some(error),
            }
        }
        if !self.confirmed_at().after(FOLLOWER_MAX_AGE).passed(self.context.now()) {
            self.log_failure(failure);
            return Ok(None);
        }
        let detail = "no other VM has a newer view of the store";
        Err(failure.unwrap_or_else(|| Error::new(Kind::PlatformUnavailable, detail)))
    }

    /// Time of the next read after one that began at `sent_at`; `poll` is the pause of a VM
    /// that reads for itself.
    pub fn next_at(&self, sent_at: Time, poll: Duration) -> Time {
        let (role, now) = (self.order().role, self.context.now());
        self.plan.get().next_at(role, sent_at, self.confirmed_at(), poll, now)
    }

    /// Pause after a failed read, `pause` at most.
    pub fn pause_after_failure(&self, pause: Duration) -> Duration {
        self.plan.get().pause(pause, self.context.now())
    }

    /// The last snapshot, encoded for peers; none if it is too old, or not younger than the
    /// view of the peer by the query.
    pub fn last_snapshot(&self, query: Option<&str>) -> Option<Vec<u8>> {
        let last = self.last.borrow();
        let (current_at, answer) = last.as_ref()?;
        let age = current_at.until(self.context.now());
        if age > MAX_SNAPSHOT_AGE || younger_than(query).is_some_and(|limit| age >= limit) {
            return None;
        }
        // Concatenated encoded messages decode as one merged message.
        let snapshot = CachedSnapshot { age_ms: age.as_millis() as u64 + 1, entries: Vec::new() };
        let mut bytes = snapshot.encode_to_vec();
        bytes.extend_from_slice(answer);
        Some(bytes)
    }

    fn order(&self) -> Order {
        Order::new(&self.context.view.borrow().members, &self.context.member)
    }

    fn confirmed_at(&self) -> Time {
        self.context.view.borrow().confirmed_at
    }

    /// Whether this VM reads the store now if no peer has a newer snapshot.
    fn is_due(&self, role: Role) -> bool {
        let seed = self.context.member.incarnation;
        self.plan.get().is_due(role, self.confirmed_at(), seed, self.context.now())
    }

    fn update_plan<U>(&self, update: U)
    where
        U: FnOnce(&mut Plan),
    {
        let mut plan = self.plan.get();
        update(&mut plan);
        let before = self.plan.replace(plan);
        if plan.reads() == before.reads() {
            return;
        }
        let role = self.order().role;
        if role != Role::Alone {
            emit!(self.context.log, Event::StoreReader, "reads" => plan.reads(),
                "role" => format!("{role:?}"));
        }
    }

    /// Logs a failed read of the store that was replaced by a peer's snapshot, or whose
    /// view is young enough still.
    fn log_failure(&self, failure: Option<Error>) {
        if let Some(error) = failure {
            emit!(self.context.log, Event::StoreCallFailed, "reason" => error.detail.as_str());
        }
    }

    async fn read_store(&self, role: Role, way: Way) -> Result<Fetched> {
        let sent_at = self.context.now();
        self.context.freshness.borrow_mut().record_sent(sent_at);
        match self.watch(self.context.store.entries(way)).await {
            Ok(entries) => {
                self.context.freshness.borrow_mut().record_answered();
                self.update_plan(Plan::answered);
                Ok((entries.into_iter().map(Entry::from).collect(), sent_at))
            }
            Err(error) => {
                self.context.freshness.borrow_mut().record_failed(self.context.now());
                let seed = self.context.random();
                self.update_plan(|plan| plan.failed(role, seed, sent_at));
                Err(error)
            }
        }
    }

    /// Waits for a read of the store, and records that it goes on without an answer.
    async fn watch<F>(&self, read: F) -> F::Output
    where
        F: Future,
    {
        let mut read = std::pin::pin!(read);
        loop {
            match tokio::time::timeout(WATCH_INTERVAL, read.as_mut()).await {
                Ok(outcome) => return outcome,
                Err(_) => self.context.freshness.borrow_mut().record_waiting(self.context.now()),
            }
        }
    }

    /// Keeps a snapshot for peers and decodes it.
    fn accept(&self, (entries, current_at): Fetched) -> (Snapshot, Time) {
        let cached = CachedSnapshot { age_ms: 0, entries };
        *self.last.borrow_mut() = Some((current_at, cached.encode_to_vec().into()));
        let entries = cached.entries.into_iter().map(Entry::into).collect();
        (self.context.store.decode(entries), current_at)
    }

    /// Asks peers for a snapshot newer than this VM's view.
    async fn fetch_newer(&self, order: &Order) -> Option<Fetched> {
        let until = self.context.now().after(MAX_ASK_TIME);
        for peer in self.peers_to_ask(order) {
            match self.fetch_snapshot(&peer).await {
                Some(fetched) if fetched.1 > self.confirmed_at() => return Some(fetched),
                _ => self.asked_in_vain.set(self.asked_in_vain.get().wrapping_add(1)),
            }
            if until.passed(self.context.now()) {
                break;
            }
        }
        None
    }

    /// Peers to ask now. Once this VM's view is old, or its own read has failed, one of them
    /// is any peer, which may be among the VMs that the store answers.
    fn peers_to_ask(&self, order: &Order) -> Vec<Member> {
        let now = self.context.now();
        self.silent.borrow_mut().retain(|_, until| !until.passed(now));
        let silent = self.silent.borrow();
        let answers = |member: &&Member| !silent.contains_key(&member.vm);
        // Bytes between data centres cost: readers of others are asked after all of this one.
        let data_centre = &self.context.member.data_centre;
        let (local, remote): (Vec<&Member>, Vec<&Member>) = order
            .sources
            .iter()
            .filter(answers)
            .partition(|member| &member.data_centre == data_centre);
        let from = match order.role {
            Role::Follower => self.asked_in_vain.get() % local.len().max(1),
            Role::Alone | Role::Unlisted | Role::Reader(_) => 0,
        };
        let local = local.iter().cycle().skip(from).take(local.len()).copied();
        let known = local.chain(remote);
        let is_old = self.confirmed_at().after(FOLLOWER_MAX_AGE).passed(now);
        if !is_old && !self.plan.get().has_failed(now) {
            return known.take(MAX_ASKED).cloned().collect();
        }
        let others: Vec<&Member> = order.fallbacks.iter().filter(answers).collect();
        let from = self.context.random() as usize % others.len().max(1);
        let others = others.iter().cycle().skip(from).take(others.len()).copied();
        let known: Vec<&Member> = known.take(MAX_ASKED - 1).collect();
        let left = MAX_ASKED - known.len();
        known.into_iter().chain(others.take(left)).cloned().collect()
    }

    /// Fetches a peer's last snapshot and the time at which it was current.
    async fn fetch_snapshot(&self, peer: &Member) -> Option<Fetched> {
        let sent_at = self.context.now();
        let own_age = self.confirmed_at().until(sent_at).as_millis();
        let path = format!("{SNAPSHOT_PATH}?{YOUNGER_THAN_MS}{own_age}");
        let body = match ask(&self.context, peer, &path, MAX_SNAPSHOT_BYTES).await {
            Answer::Found(body) => body,
            Answer::Missing => return None,
            Answer::Silent => {
                let until = self.context.now().after(AVOID_SILENT);
                self.silent.borrow_mut().insert(peer.vm.clone(), until);
                return None;
            }
        };
        match CachedSnapshot::decode(body) {
            Ok(CachedSnapshot { age_ms, entries }) => {
                let age = Duration::from_millis(age_ms);
                Some((entries, Time(sent_at.0.saturating_sub(age.as_micros() as u64))))
            }
            Err(error) => {
                emit!(self.context.log, Event::PeerRefused,
                    "address" => peer.relay.to_string(), "reason" => error.to_string());
                None
            }
        }
    }
}

impl From<crate::kv::Entry> for Entry {
    fn from(entry: crate::kv::Entry) -> Self {
        Self { key: entry.key, value: entry.value, version: entry.version }
    }
}

impl From<Entry> for crate::kv::Entry {
    fn from(entry: Entry) -> Self {
        Self { key: entry.key, value: entry.value, version: entry.version }
    }
}

/// Age that a snapshot must be below, by the query; none if it states none.
fn younger_than(query: Option<&str>) -> Option<Duration> {
    number(query, YOUNGER_THAN_MS).map(Duration::from_millis)
}

/// A number in a query, after `name`.
fn number(query: Option<&str>, name: &str) -> Option<u64> {
    query?.split('&').find_map(|pair| pair.strip_prefix(name))?.parse().ok()
}

/// Encoded results of a job, for peers: of a job that this VM surely still owns, or else of one
/// whose results are complete. None if they aren't all in memory, or too many peers ask at once:
/// the peer reads the store then.
pub fn results(
    context: &Context,
    jobs: &Jobs,
    job: &str,
    after: usize,
    query: Option<&str>,
) -> Option<Bytes> {
    let view_is_fresh =
        !context.view.borrow().confirmed_at.after(MAX_OWNER_VIEW_AGE).passed(context.now());
    let owned = jobs.owned_summary(job).filter(|_| view_is_fresh);
    let Summary { organisation, total, stored } = owned.or_else(|| jobs.cache.complete(job))?;
    let limit = number(query, BYTES).map(|bytes| bytes as usize);
    let loaded = jobs.cache.loaded_for_peer(job, after, stored, limit.unwrap_or(MAX_PAGE_BYTES))?;
    if limit.is_none() && after + loaded.len() < stored {
        return None;
    }
    let bytes: usize = loaded.iter().map(|loaded| loaded.bytes()).sum();
    let turn = context.held.try_copies(bytes * PAGE_COPIES)?;
    let (total, stored) = (total as u64, stored as u64);
    let head = Results { total, stored, organisation, results: Vec::new() };
    let mut encoded = Vec::with_capacity(bytes);
    // Concatenated encoded messages decode as one merged message. A vector takes all of it.
    head.encode(&mut encoded).ok()?;
    for loaded in &loaded {
        prost::encoding::message::encode(RESULTS_TAG, loaded.result(), &mut encoded);
    }
    Some(Bytes::from_owner(Charged { bytes: encoded.into(), charge: turn }))
}

/// Fetches results from the owner of a job; none if it can't be sure of them.
pub async fn fetch_results(
    context: &Context,
    owner: &Pending,
    job: &str,
    after: usize,
    bytes: usize,
) -> Option<Results> {
    let owner = owner_member(context, owner)?;
    let path = format!("{RESULTS_PATH}{job}/{after}?{BYTES}{bytes}");
    let body = get(context, &owner, &path, MAX_RESULTS_BYTES).await?;
    Results::decode(body).ok()
}

/// Fetches the body of an item from the owner of a job; none if it doesn't have it.
pub async fn fetch_body(
    context: &Context,
    owner: &Pending,
    job: &str,
    item: &str,
    bytes: usize,
) -> Option<Bytes> {
    let owner = owner_member(context, owner)?;
    get(context, &owner, &format!("{BODY_PATH}{job}/{item}"), bytes).await
}

/// The other VM whose current process is named as the owner.
fn owner_member(context: &Context, owner: &Pending) -> Option<Member> {
    let view = context.view.borrow();
    let listed = view.members.iter().find(|listed| owner.is_owned_by(&listed.member));
    listed.filter(|listed| &listed.member.vm != context.vm()).map(|listed| listed.member.clone())
}

/// Answer of another VM to a GET request.
enum Answer {
    /// Status 200, with this body.
    Found(Bytes),
    /// Any other status.
    Missing,
    /// No answer in time.
    Silent,
}

/// Sends a GET request to another VM; none unless it responds with 200 in time, in `bytes` at most.
async fn get(context: &Context, member: &Member, path: &str, bytes: usize) -> Option<Bytes> {
    match ask(context, member, path, bytes).await {
        Answer::Found(body) => Some(body),
        Answer::Missing | Answer::Silent => None,
    }
}

/// Sends a GET request to another VM.
async fn ask(context: &Context, member: &Member, path: &str, bytes: usize) -> Answer {
    let host = member.relay.to_string();
    let request = Request::get(path).header("host", host).body(Full::new(Bytes::new()));
    let Ok(request) = request else { return Answer::Missing };
    let call = async {
        let due = Due::by(context.now().after(CALL_TIMEOUT), CALL_TIMEOUT);
        let mut answer = context.peer_pool.send(member.relay, request, due).await.ok()?;
        let body = answer.body.collect(bytes).await.ok()?;
        Some((answer.status, body))
    };
    match tokio::time::timeout(CALL_TIMEOUT, call).await.ok().flatten() {
        Some((StatusCode::OK, body)) => Answer::Found(body),
        Some(_) => Answer::Missing,
        None => Answer::Silent,
    }
}
