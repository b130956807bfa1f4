//! Read-through cache of jobs.
//!
//! Heads, items and results are immutable once written and are cached; only the existence of
//! further results is checked again. Nothing here holds a job whole: what is known of a job is
//! the number of its results, and a read fetches the page that it asks for, from the job's owner
//! if it can confirm its ownership, else from the store. Reads of one page at one moment are
//! one. Results that weren't used for longest are evicted first.

use std::cell::RefCell;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared, WeakShared};
use lru::LruCache;
use prost::Message;

use super::directory::Directory;
use super::job::Snapshot;
use super::page::{Loaded, MAX_PAGE_BYTES, Page, Pages};
use super::read::{
    Fetched, Outcome, PEER_PAGE_BYTES, Read, STORE_PAGE_BYTES, decode_listing, shortage, turn,
};
use super::record::{
    self, ItemResult, Partial, Spec, listing_prefix, partials_prefix, spec_prefix,
};
use crate::clock::Time;
use crate::error::{Error, Kind, Result};
use crate::serve::context::Context;
use crate::serve::held::{self, Charge};
use crate::serve::reader;

/// Time for which a job's results are served without another read.
const READ_LIFETIME: Duration = Duration::from_millis(300);
/// Maximum number of jobs of which the number of results is kept.
const MAX_JOBS: NonZeroUsize = NonZeroUsize::new(4_096).expect("it isn't zero");
/// Maximum size of an item's body that is read from the job's owner, in bytes.
const PEER_BODY_BYTES: usize = 1 << 20;
/// Part of what items may hold that the items of one job may take in this cache.
const SPEC_PART: usize = 8;
/// Copies of a job's items for each of their bytes, while they are read from the store.
const SPEC_COPIES: usize = 3;

/// What is known of a job's results.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Organisation that submitted the job.
    pub organisation: String,
    /// Number of items.
    pub total: usize,
    /// Number of results that are stored, at least.
    pub stored: usize,
}

impl Summary {
    /// Whether all results are stored, so that nothing changes any more.
    pub fn is_complete(&self) -> bool {
        self.total > 0 && self.stored == self.total
    }
}

#[derive(Clone, Default)]
struct Known {
    summary: Summary,
    /// Position from which on no result was stored when it was last read.
    end: usize,
    /// Time at which that read was sent.
    read: Time,
}

/// Identifies a result.
type Key = (Rc<str>, usize);
/// A read of results that several callers wait for.
type Fetching = Shared<LocalBoxFuture<'static, Outcome>>;

/// A read that is under way, given up once no caller waits for it any more.
struct Running {
    began: Time,
    read: WeakShared<LocalBoxFuture<'static, Outcome>>,
}

/// Cache of jobs, by identifier.
pub struct Cache {
    context: Rc<Context>,
    directory: Rc<RefCell<Directory>>,
    known: RefCell<LruCache<String, Known>>,
    results: RefCell<LruCache<Key, Rc<Loaded>>>,
    /// Items of the job whose items were read last.
    spec: RefCell<Option<(String, Rc<Spec>, Charge)>>,
    running: RefCell<HashMap<(String, usize), Running>>,
    /// Pages that callers read.
    pub pages: Rc<Pages>,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(context: Rc<Context>, directory: Rc<RefCell<Directory>>) -> Self {
        let pages = Pages::new(context.held.clone());
        Self {
            context,
            directory,
            known: RefCell::new(LruCache::new(MAX_JOBS)),
            results: RefCell::new(LruCache::unbounded()),
            spec: RefCell::default(),
            running: RefCell::default(),
            pages,
        }
    }

    /// Organisation that submitted a job; `None` if no such job was ever
    /// accepted.
    pub async fn organisation(&self, job: &str) -> Result<Option<String>> {
        let known = self.directory.borrow().owner(job).map(|owner| owner.organisation.clone());
        let known = known.or_else(|| {
            let known = self.known.borrow();
            known.peek(job).map(|known| known.summary.organisation.clone())
        });
        match known {
            Some(organisation) => Ok(Some(organisation)),
            None => Ok(self.fetch(job, 0).await?.map(|fetched| fetched.organisation)),
        }
    }

    /// Summary of a job whose results are all known to be stored.
    pub fn complete(&self, job: &str) -> Option<Summary> {
        let known = self.known.borrow();
        known.peek(job).map(|known| known.summary.clone()).filter(Summary::is_complete)
    }

    /// Page of a job from position `after` on; `None` if no such job was ever accepted. `owned`
    /// is what this VM knows of the job as its owner.
    pub async fn page(
        &self,
        job: &str,
        after: usize,
        owned: Option<Summary>,
    ) -> Result<Option<Page>> {
        let requested = self.context.now();
        let mut loaded = self.loaded(job, after, MAX_PAGE_BYTES);
        let known = match owned {
            Some(summary) => Some((summary.stored, summary)),
            None => self.fresh(job, requested),
        };
        if let Some((known_end, summary)) = &known {
            let end = after + loaded.len();
            // A result in the middle may have been evicted; a shorter page is as good.
            let is_end_known = end >= *known_end && end >= summary.stored;
            if is_end_known || (!loaded.is_empty() && end < summary.stored) {
                return self.pin(summary.total, after, &loaded).map(Some);
            }
        }
        let from = after + loaded.len();
        let fetched = match self.fetch(job, from).await {
            Ok(fetched) => fetched,
            // What was read before stays true.
            Err(_) if !loaded.is_empty() => {
                let total = known.map_or(0, |(_, summary)| summary.total);
                return self.pin(total, after, &loaded).map(Some);
            }
            Err(error) => return Err(error),
        };
        let Some(fetched) = fetched else { return Ok(None) };
        loaded.extend(fetched.results);
        let stored = self.known.borrow().peek(job).map_or(0, |known| known.summary.stored);
        let stored = known.map_or(0, |(_, summary)| summary.stored).max(stored);
        if loaded.is_empty() && after < stored {
            let detail = format!("the result at position {after} of job {job} can't be read now");
            return Err(Error::new(Kind::PlatformUnavailable, detail));
        }
        self.pin(fetched.total, after, &loaded).map(Some)
    }

    /// The position from which on no result is stored, as far as it is known without another
    /// read, and what is known of a job.
    fn fresh(&self, job: &str, now: Time) -> Option<(usize, Summary)> {
        let mut known = self.known.borrow_mut();
        let Known { summary, end, read } = known.get(job)?;
        let end = match summary.is_complete() {
            true => summary.total,
            false if read.after(READ_LIFETIME).passed(now) => usize::MAX,
            false => *end,
        };
        Some((end, summary.clone()))
    }

    /// Results in memory from a position on, without a gap, as far as they fit into `bytes`;
    /// one at least, if there is one.
    fn loaded(&self, job: &str, from: usize, bytes: usize) -> Vec<Rc<Loaded>> {
        let job = Rc::<str>::from(job);
        let mut results = self.results.borrow_mut();
        let mut loaded: Vec<Rc<Loaded>> = Vec::new();
        let mut sum = 0;
        while let Some(next) = results.get(&(job.clone(), from + loaded.len())) {
            sum += next.page_bytes();
            if sum > bytes && !loaded.is_empty() {
                break;
            }
            loaded.push(next.clone());
        }
        loaded
    }

    /// Results in memory for another VM, `bytes` at most but one at least; none if the one at
    /// `after`, which is stored, isn't in memory.
    pub fn loaded_for_peer(
        &self,
        job: &str,
        after: usize,
        stored: usize,
        bytes: usize,
    ) -> Option<Vec<Rc<Loaded>>> {
        let loaded = self.loaded(job, after, bytes);
        (!loaded.is_empty() || after >= stored).then_some(loaded)
    }

    fn pin(&self, total: usize, after: usize, loaded: &[Rc<Loaded>]) -> Result<Page> {
        let Some(results) = self.pages.pin(loaded, self.context.now()) else {
            return Err(self.shortage("callers that read slowly hold this VM's memory"));
        };
        Ok(Page { total, next: after + results.len(), results })
    }

    fn shortage(&self, detail: &str) -> Error {
        shortage(&self.context, detail)
    }

    /// Reads results from a position on; reads that begin meanwhile are the same one.
    async fn fetch(&self, job: &str, from: usize) -> Result<Option<Fetched>> {
        let requested = self.context.now();
        loop {
            let (began, read) = self.fetching(job, from);
            let outcome = read.await;
            let Ok(Some(fetched)) = &outcome else { return outcome };
            self.record(job, from, fetched, began);
            // An earlier read may have missed what others have seen since.
            if !fetched.results.is_empty() || began >= requested {
                return outcome;
            }
        }
    }

    /// The read of results from a position on that is under way, or a new one; when it began.
    fn fetching(&self, job: &str, from: usize) -> (Time, Fetching) {
        let key = (job.to_owned(), from);
        let mut running = self.running.borrow_mut();
        running.retain(|_, Running { read, .. }| {
            read.upgrade().is_some_and(|read| read.peek().is_none())
        });
        if let Some(Running { began, read }) = running.get(&key)
            && let Some(read) = read.upgrade()
        {
            return (*began, read);
        }
        let read = Read {
            context: self.context.clone(),
            owner: self.directory.borrow().owner(job).cloned(),
            known: self.known.borrow().peek(job).map(|known| known.summary.clone()),
            job: job.to_owned(),
            from,
        };
        let (began, fetching) = (self.context.now(), read.run().boxed_local().shared());
        running.extend(fetching.downgrade().map(|read| (key, Running { began, read })));
        (began, fetching)
    }

    /// Keeps what a read that was sent at `began` has found.
    fn record(&self, job: &str, from: usize, fetched: &Fetched, began: Time) {
        let mut known = self.known.borrow_mut();
        let entry = known.get_or_insert_mut(job.to_owned(), Known::default);
        entry.summary.organisation = fetched.organisation.clone();
        entry.summary.total = fetched.total;
        if !fetched.results.is_empty() {
            // What follows these wasn't there before, or wasn't read.
            let end = from + fetched.results.len();
            entry.summary.stored = entry.summary.stored.max(end);
            entry.read = Time(0);
        }
        if let Some(end) = fetched.end {
            (entry.end, entry.read) = (end, began);
        }
        drop(known);
        self.insert(job, from, &fetched.results);
    }

    /// Caches results of a job, from a position on.
    fn insert(&self, job: &str, from: usize, loaded: &[Rc<Loaded>]) {
        let job = Rc::<str>::from(job);
        let mut results = self.results.borrow_mut();
        for (index, loaded) in loaded.iter().enumerate() {
            results.get_or_insert((job.clone(), from + index), || loaded.clone());
        }
        drop(results);
        self.evict();
    }

    /// Caches results that this VM has stored itself.
    pub fn insert_stored(&self, job: &str, from: usize, stored: &[Rc<ItemResult>]) {
        let held = &self.context.held;
        let loaded: Vec<_> =
            stored.iter().map(|result| Loaded::new(result.clone(), held)).collect();
        self.insert(job, from, &loaded);
    }

    /// Keeps the summary of a job that this VM has owned until its end.
    pub fn insert_complete(&self, job: &str, summary: Summary) {
        self.known.borrow_mut().put(job.to_owned(), Known { summary, ..Known::default() });
    }

    /// Evicts the least recently used results until the rest fits, but for those that pages
    /// hold on to.
    fn evict(&self) {
        let held = &self.context.held;
        let mut results = self.results.borrow_mut();
        let mut pinned = Vec::new();
        while held.sum(held::Kind::Result) > held.limit(held::Kind::Result) {
            match results.pop_lru() {
                Some((key, loaded)) if loaded.is_pinned() => pinned.push((key, loaded)),
                Some(_) => {}
                None => break,
            }
        }
        for (key, loaded) in pinned.into_iter().rev() {
            results.put(key.clone(), loaded);
            results.demote(&key);
        }
    }

    /// Request body of an item; `None` if the job has no such item.
    pub async fn body(&self, job: &str, item: &str) -> Result<Option<Bytes>> {
        let owner = self.directory.borrow().owner(job).cloned();
        if let Some(owner) = owner {
            let _turn = turn(&self.context, PEER_PAGE_BYTES).await?;
            let body = reader::fetch_body(&self.context, &owner, job, item, PEER_BODY_BYTES);
            if let Some(body) = body.await {
                return Ok(Some(body));
            }
        }
        let spec = self.spec(job).await?;
        let found = spec.items.iter().find(|stored| stored.id == item);
        Ok(found.map(|stored| stored.body.clone()))
    }

    /// Items of a job, from the cache or the store.
    async fn spec(&self, job: &str) -> Result<Rc<Spec>> {
        if let Some((known, spec, _)) = &*self.spec.borrow()
            && known == job
        {
            return Ok(spec.clone());
        }
        let spec = Rc::new(self.read_spec(job).await?);
        let held = &self.context.held;
        let bytes = spec.encoded_len();
        let is_small = bytes <= held.limit(held::Kind::Item) / SPEC_PART;
        let charge = is_small.then(|| held.try_charge(held::Kind::Item, bytes)).flatten();
        *self.spec.borrow_mut() = charge.map(|charge| (job.to_owned(), spec.clone(), charge));
        Ok(spec)
    }

    async fn read_spec(&self, job: &str) -> Result<Spec> {
        let mut bytes = Vec::new();
        let mut after = String::new();
        loop {
            let turn = turn(&self.context, STORE_PAGE_BYTES + SPEC_COPIES * bytes.len()).await?;
            let page = self.context.store.list(&spec_prefix(job), &after).await?;
            for entry in &page.entries {
                bytes.extend_from_slice(&entry.value);
                after = entry.key.clone();
            }
            if page.more && !page.entries.is_empty() {
                continue;
            }
            let unreadable = |error: prost::DecodeError| {
                let detail = format!("the items of job {job} can't be read: {error}");
                Error::new(Kind::Internal, detail)
            };
            let spec = Spec::decode(Bytes::from(bytes)).map_err(unreadable);
            drop(turn);
            return spec;
        }
    }

    /// Reads the stored state of a job; `None` if no such job was ever accepted. Of its results
    /// only the items are kept.
    pub async fn load(&self, job: &str) -> Result<Option<Snapshot>> {
        let (mut head, mut listed) = (None, Vec::new());
        let mut after = String::new();
        loop {
            let turn = turn(&self.context, STORE_PAGE_BYTES).await?;
            let page = self.context.store.list(&listing_prefix(job), &after).await?;
            let (found, results) = decode_listing(job, &page.entries)?;
            head = head.or(found);
            listed.extend(results.into_iter().map(|result| result.item));
            after = page.entries.last().map_or(after, |entry| entry.key.clone());
            drop(turn);
            if !page.more || page.entries.is_empty() {
                break;
            }
        }
        let Some(head) = head else { return Ok(None) };
        let spec = self.spec(job).await?;
        let partials = self.read_partials(job).await?;
        Ok(Some(Snapshot { head, spec: (*spec).clone(), listed, partials }))
    }

    /// Reads the partial output of a job's items. What there is no room for is left out, but
    /// for the number of failed attempts: these items start over.
    async fn read_partials(&self, job: &str) -> Result<Vec<Partial>> {
        let mut partials: Vec<Partial> = Vec::new();
        let (mut after, mut bytes) = (String::new(), 0);
        loop {
            let turn = turn(&self.context, STORE_PAGE_BYTES).await?;
            let page = self.context.store.list(&partials_prefix(job), &after).await?;
            for entry in &page.entries {
                let mut partial: Partial = record::decode(entry)?;
                if bytes + entry.value.len() > self.context.held.room(held::Kind::Output) {
                    partial = partial.without_output();
                } else {
                    bytes += entry.value.len();
                }
                partials.push(partial);
                after = entry.key.clone();
            }
            drop(turn);
            if !page.more || page.entries.is_empty() {
                return Ok(partials);
            }
        }
    }
}
