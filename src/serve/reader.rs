//! Reads of the store that VMs share, and reads of jobs at their owners.
//!
//! In a large fleet one VM of each data centre reads the store; the others ask
//! it for its last answer. A second one keeps what it was told, and is asked
//! when the first doesn't answer. Such an answer carries its age, measured by
//! the VM that gives it; the asking VM counts it from when it asked, so the
//! age is never understated, also when either VM was suspended in between.
//! Without a fresh answer a VM reads the store itself.
//!
//! Results of a job are asked of its owner. The owner answers for an open job
//! only while its own view is fresh, so a job that changed hands is read from
//! the store; a job whose results are all there never changes again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use prost::Message;

use super::context::Context;
use super::jobs::{ItemResult, Jobs, Pending};
use super::member::{self, Member};
use super::store::Snapshot;
use crate::clock::Time;
use crate::error::Result;

/// Members up to which every VM reads the store itself.
const ALL_READ: usize = 14;
/// VMs of a data centre whose last answer others use, in a larger fleet.
const READERS: usize = 2;
/// Pause between two reads of the store where others use them.
const READER_POLL: Duration = Duration::from_millis(600);
/// Age up to which another VM's answer is used.
const MAX_AGE: Duration = Duration::from_millis(900);
/// Age of the view up to which an owner answers for its jobs.
const OWNER_AGE: Duration = Duration::from_millis(1_500);
/// Bound on a call to another VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest answer of another VM, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Path of the last answer of the store.
pub const SNAPSHOT_PATH: &str = "/peer/snapshot";
/// Path of the results of a job; the job and the first position follow.
pub const RESULTS_PATH: &str = "/peer/results/";
/// Path of the body of an item; the job and the item follow.
pub const BODY_PATH: &str = "/peer/body/";

/// A store's answer with its age.
#[derive(Clone, PartialEq, Message)]
pub struct CachedSnapshot {
    /// Time since the call was sent, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// Entries as the store gave them.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
}

/// One entry of the store.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Results of a job from a position on.
#[derive(Clone, PartialEq, Message)]
pub struct Results {
    /// Number of the job's items.
    #[prost(uint64, tag = "1")]
    pub total: u64,
    /// The results.
    #[prost(message, repeated, tag = "2")]
    pub results: Vec<ItemResult>,
    /// Organisation that submitted the job.
    #[prost(string, tag = "3")]
    pub organisation: String,
}

/// Reads that VMs share.
pub struct Reader {
    context: Rc<Context>,
    /// From when the last answer of the store confirms what it says, and the
    /// answer as other VMs get it, without its age.
    last: RefCell<Option<(Time, Bytes)>>,
    turn: Cell<usize>,
}

impl Reader {
    /// Nothing was read yet.
    pub fn new(context: Rc<Context>) -> Rc<Self> {
        Rc::new(Self { context, last: RefCell::default(), turn: Cell::new(0) })
    }

    /// Reads everything the fleet shares. The time is that from which the
    /// answer confirms what it says; none if what this VM holds is as fresh.
    pub async fn read(&self) -> Result<Option<(Snapshot, Time)>> {
        let readers = self.readers();
        let place = readers.iter().position(|member| &member.vm == self.context.vm());
        let told = match self.source(&readers, place) {
            Some(reader) => self.ask(reader).await,
            None => None,
        };
        let (mut entries, confirms) = match told {
            Some((_, confirms)) if confirms <= self.context.view.borrow().confirmed_at => {
                return Ok(None);
            }
            Some(told) => told,
            None => self.read_store().await?,
        };
        if place.is_some() {
            let kept = CachedSnapshot { age_ms: 0, entries };
            *self.last.borrow_mut() = Some((confirms, kept.encode_to_vec().into()));
            entries = kept.entries;
        }
        let entries = entries.into_iter().map(Entry::into).collect();
        Ok(Some((self.context.store.decode(entries), confirms)))
    }

    async fn read_store(&self) -> Result<(Vec<Entry>, Time)> {
        let asked = self.context.now();
        let entries = self.context.store.entries().await?;
        Ok((entries.into_iter().map(Entry::from).collect(), asked))
    }

    /// Pause between two reads, where `poll` is that of a VM that reads for itself.
    pub fn pause(&self, poll: Duration) -> Duration {
        let reads = self.readers().iter().any(|member| &member.vm == self.context.vm());
        if reads { poll.min(READER_POLL) } else { poll }
    }

    /// The last answer of the store, for other VMs.
    pub fn last(&self) -> Option<Vec<u8>> {
        let last = self.last.borrow();
        let (confirms, answer) = last.as_ref()?;
        let age = confirms.until(self.context.now());
        if age > MAX_AGE {
            return None;
        }
        // The parts of a message may follow each other in any order.
        let aged = CachedSnapshot { age_ms: age.as_millis() as u64 + 1, entries: Vec::new() };
        let mut bytes = aged.encode_to_vec();
        bytes.extend_from_slice(answer);
        Some(bytes)
    }

    /// The VM whose answer this one uses, given its own place among the
    /// readers; none if it reads itself.
    fn source<'a>(&self, readers: &'a [Member], place: Option<usize>) -> Option<&'a Member> {
        match place {
            Some(place) => readers[..place].first(),
            None if readers.is_empty() => None,
            None => Some(&readers[self.turn.get() % readers.len()]),
        }
    }

    /// VMs of this data centre that others ask; none if all read the store.
    fn readers(&self) -> Vec<Member> {
        let view = self.context.view.borrow();
        if view.members.len() <= ALL_READ {
            return Vec::new();
        }
        let here = &self.context.member.data_centre;
        let mut local: Vec<&Member> = view
            .members
            .iter()
            .map(|listed| &listed.member)
            .filter(|member| &member.data_centre == here && !member.leaving)
            .collect();
        local.sort_by_key(|member| member::rank(&member.vm, "reader"));
        local.into_iter().take(READERS).cloned().collect()
    }

    /// Asks a reader for its last answer, and from when that confirms what it says.
    async fn ask(&self, reader: &Member) -> Option<(Vec<Entry>, Time)> {
        let asked = self.context.now();
        let body = get(&self.context, reader, SNAPSHOT_PATH).await;
        let aged = body.and_then(|body| CachedSnapshot::decode(body).ok());
        if aged.is_none() {
            self.turn.set(self.turn.get().wrapping_add(1));
        }
        let CachedSnapshot { age_ms, entries } = aged?;
        let age = Duration::from_millis(age_ms);
        Some((entries, Time(asked.0.saturating_sub(age.as_micros() as u64))))
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

/// Results of a job, for other VMs: of a job that this VM owns if it can be
/// sure that it still does, else of one whose results never change again.
pub fn results(context: &Context, jobs: &Jobs, job: &str, after: usize) -> Option<Vec<u8>> {
    let owned = jobs.owned_listing(job);
    let sure = !context.view.borrow().confirmed_at.after(OWNER_AGE).passed(context.now());
    let listing = owned.filter(|_| sure).or_else(|| jobs.cache.complete_listing(job))?;
    let rest = listing.results.get(after..).unwrap_or_default();
    let results = rest.iter().map(|listed| ItemResult::clone(listed)).collect();
    let (total, organisation) = (listing.total as u64, listing.organisation);
    Some(Results { total, results, organisation }.encode_to_vec())
}

/// Asks the VM that runs or ran a job for results; none if it can't be sure.
pub async fn fetch_results(
    context: &Context,
    owner: &Pending,
    job: &str,
    after: usize,
) -> Option<Results> {
    let owner = process(context, owner)?;
    let body = get(context, &owner, &format!("{RESULTS_PATH}{job}/{after}")).await?;
    Results::decode(body).ok()
}

/// Asks the VM that runs a job for the body of an item; none if it doesn't have it.
pub async fn fetch_body(
    context: &Context,
    owner: &Pending,
    job: &str,
    item: &str,
) -> Option<Bytes> {
    let owner = process(context, owner)?;
    get(context, &owner, &format!("{BODY_PATH}{job}/{item}")).await
}

/// The member whose present process is named as an owner.
fn process(context: &Context, owner: &Pending) -> Option<Member> {
    let view = context.view.borrow();
    let listed = view.members.iter().find(|listed| owner.is_owned_by(&listed.member));
    listed.filter(|listed| &listed.member.vm != context.vm()).map(|listed| listed.member.clone())
}

/// Reads from another VM; none if it doesn't answer well and soon.
async fn get(context: &Context, member: &Member, path: &str) -> Option<Bytes> {
    let request = Request::get(path)
        .header("host", member.relay.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let calling = async {
        let mut answer = context.pool.send(member.relay, request, CALL_TIMEOUT).await.ok()?;
        let body = answer.body.collect(MAX_ANSWER_BYTES).await.ok()?;
        (answer.status == StatusCode::OK).then_some(body)
    };
    tokio::time::timeout(CALL_TIMEOUT, calling).await.ok().flatten()
}
