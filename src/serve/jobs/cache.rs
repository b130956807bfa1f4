//! Read-through cache of jobs, for VMs that don't own them.
//!
//! Heads, items and results are immutable once written and are cached; only the
//! existence of further results is checked again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::directory::Directory;
use super::job::Snapshot;
use super::record::{
    self, Head, ItemResult, Partial, Spec, head_key, listing_prefix, partials_prefix, result_key,
    spec_prefix,
};
use crate::clock::Time;
use crate::error::{Error, Kind, Result};
use crate::serve::context::Context;
use crate::serve::reader;

/// Time for which a job's results are served without another read.
const READ_LIFETIME: Duration = Duration::from_millis(300);
/// Maximum size of cached results and items, in bytes.
const MAX_CACHED_BYTES: usize = 16 << 20;

/// A job as callers see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Organisation that submitted the job.
    pub organisation: String,
    /// Number of items.
    pub total: usize,
    /// Results stored so far, by position.
    pub results: Vec<Rc<ItemResult>>,
}

impl Listing {
    /// Whether all results are present, so that the listing is final.
    pub fn is_complete(&self) -> bool {
        self.total > 0 && self.results.len() == self.total
    }
}

#[derive(Clone, Default)]
struct Entry {
    listing: Listing,
    spec: Option<Rc<Spec>>,
    /// Time at which the latest read of the results was sent.
    read: Time,
    used: Time,
}

impl Entry {
    fn bytes(&self) -> usize {
        let results = self.listing.results.iter();
        let results: usize = results.map(|result| result.output.len() + 64).sum();
        results + self.spec.as_ref().map_or(0, |spec| spec.encoded_len())
    }
}

/// Head and results of a job from one read.
#[derive(Default)]
struct Read {
    head: Option<Head>,
    results: Vec<Rc<ItemResult>>,
}

/// Cache of jobs, by identifier. The least recently used ones are evicted.
pub struct Cache {
    context: Rc<Context>,
    directory: Rc<RefCell<Directory>>,
    entries: RefCell<HashMap<String, Entry>>,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(context: Rc<Context>, directory: Rc<RefCell<Directory>>) -> Self {
        Self { context, directory, entries: RefCell::default() }
    }

    /// Organisation that submitted a job; `None` if no such job was ever
    /// accepted.
    pub async fn organisation(&self, job: &str) -> Result<Option<String>> {
        let known = self.directory.borrow().owner(job).map(|owner| owner.organisation.clone());
        let known = known.or_else(|| {
            self.entries.borrow().get(job).map(|entry| entry.listing.organisation.clone())
        });
        match known {
            Some(organisation) => Ok(Some(organisation)),
            None => Ok(self.listing(job).await?.map(|listing| listing.organisation)),
        }
    }

    /// Listing of a job with the results stored so far; `None` if no such job
    /// was ever accepted.
    pub async fn listing(&self, job: &str) -> Result<Option<Listing>> {
        let requested = self.context.now();
        let known = self.known(job, requested);
        if let Some(known) = &known
            && (known.listing.is_complete() || !known.read.after(READ_LIFETIME).passed(requested))
        {
            return Ok(Some(known.listing.clone()));
        }
        let known = known.map(|known| known.listing);
        let Some(read) = self.read_results(job, known.clone()).await? else { return Ok(None) };
        // The entry may have been evicted or extended meanwhile; what was known stays true.
        let listing = Listing {
            results: known
                .map(|known| known.results)
                .into_iter()
                .flatten()
                .chain(read.results)
                .collect(),
            ..read
        };
        Ok(Some(self.merge(job, listing, requested)))
    }

    /// The entry of a job, which counts as used now.
    fn known(&self, job: &str, now: Time) -> Option<Entry> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(job)?;
        entry.used = now;
        Some(entry.clone())
    }

    /// Adds what a read that was sent at `requested` has found; all that is known then.
    fn merge(&self, job: &str, listing: Listing, requested: Time) -> Listing {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(job.to_owned()).or_default();
        if listing.results.len() >= entry.listing.results.len() {
            entry.listing = listing;
        }
        entry.read = entry.read.max(requested);
        entry.used = entry.used.max(requested);
        let listing = entry.listing.clone();
        drop(entries);
        self.evict();
        listing
    }

    /// Complete listing of a job, if it is cached.
    pub fn complete_listing(&self, job: &str) -> Option<Listing> {
        let known = self.known(job, self.context.now())?;
        Some(known.listing).filter(Listing::is_complete)
    }

    /// Reads the results after those already known: from the job's owner if it
    /// can confirm its ownership, else from the store.
    async fn read_results(&self, job: &str, known: Option<Listing>) -> Result<Option<Listing>> {
        let from = known.as_ref().map_or(0, |known| known.results.len());
        let owner = self.directory.borrow().owner(job).cloned();
        if let Some(owner) = owner
            && let Some(answer) = reader::fetch_results(&self.context, &owner, job, from).await
        {
            let reader::Results { total, results, organisation } = answer;
            let results = results.into_iter().map(Rc::new).collect();
            return Ok(Some(Listing { organisation, total: total as usize, results }));
        }
        let after = match (&known, from) {
            (None, _) => String::new(),
            (Some(_), 0) => head_key(job),
            (Some(_), _) => result_key(job, from - 1),
        };
        let Read { head, results } = self.read_listing(job, after).await?;
        let listing = |head: Head| Listing {
            organisation: head.organisation,
            total: head.total as usize,
            results: Vec::new(),
        };
        let listing = known.or_else(|| head.map(listing));
        Ok(listing.map(|listing| Listing { results, ..listing }))
    }

    /// Reads the head and results whose keys sort after `after`.
    async fn read_listing(&self, job: &str, mut after: String) -> Result<Read> {
        let mut read = Read::default();
        loop {
            let page = self.context.store.list(&listing_prefix(job), &after).await?;
            for entry in &page.entries {
                if entry.key == head_key(job) {
                    read.head = Some(record::decode(entry)?);
                } else {
                    read.results.push(Rc::new(record::decode(entry)?));
                }
                after = entry.key.clone();
            }
            if !page.more || page.entries.is_empty() {
                return Ok(read);
            }
        }
    }

    /// Request body of an item; `None` if the job has no such item.
    pub async fn body(&self, job: &str, item: &str) -> Result<Option<Bytes>> {
        let owner = self.directory.borrow().owner(job).cloned();
        if let Some(owner) = owner
            && let Some(body) = reader::fetch_body(&self.context, &owner, job, item).await
        {
            return Ok(Some(body));
        }
        let spec = self.spec(job).await?;
        let found = spec.items.iter().find(|stored| stored.id == item);
        Ok(found.map(|stored| stored.body.clone()))
    }

    /// Items of a job, from the cache or the store.
    async fn spec(&self, job: &str) -> Result<Rc<Spec>> {
        if let Some(spec) = self.entries.borrow().get(job).and_then(|entry| entry.spec.clone()) {
            return Ok(spec);
        }
        let spec = Rc::new(self.read_spec(job).await?);
        if let Some(entry) = self.entries.borrow_mut().get_mut(job) {
            entry.spec = Some(spec.clone());
        }
        self.evict();
        Ok(spec)
    }

    async fn read_spec(&self, job: &str) -> Result<Spec> {
        let mut bytes = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.context.store.list(&spec_prefix(job), &after).await?;
            for entry in &page.entries {
                bytes.extend_from_slice(&entry.value);
                after = entry.key.clone();
            }
            if !page.more || page.entries.is_empty() {
                break;
            }
        }
        let unreadable = |error: prost::DecodeError| {
            Error::new(Kind::Internal, format!("the items of job {job} can't be read: {error}"))
        };
        Spec::decode(bytes.as_slice()).map_err(unreadable)
    }

    /// Reads the stored state of a job; `None` if no such job was ever accepted.
    pub async fn load(&self, job: &str) -> Result<Option<Snapshot>> {
        let Read { head, results } = self.read_listing(job, String::new()).await?;
        let Some(head) = head else { return Ok(None) };
        let results = results.into_iter().map(Rc::unwrap_or_clone).collect();
        let spec = self.spec(job).await?;
        let partials = self.read_partials(job).await?;
        Ok(Some(Snapshot { head, spec: (*spec).clone(), results, partials }))
    }

    async fn read_partials(&self, job: &str) -> Result<Vec<Partial>> {
        let mut partials = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.context.store.list(&partials_prefix(job), &after).await?;
            for entry in &page.entries {
                partials.push(record::decode(entry)?);
                after = entry.key.clone();
            }
            if !page.more || page.entries.is_empty() {
                return Ok(partials);
            }
        }
    }

    /// Caches a job that this VM has stored itself.
    pub fn insert(&self, job: &str, listing: Listing) {
        let entry = Entry { listing, spec: None, read: Time(0), used: self.context.now() };
        self.entries.borrow_mut().insert(job.to_owned(), entry);
        self.evict();
    }

    /// Evicts the least recently used jobs until the rest fits.
    fn evict(&self) {
        let mut entries = self.entries.borrow_mut();
        let mut bytes: usize = entries.values().map(Entry::bytes).sum();
        while bytes > MAX_CACHED_BYTES {
            let oldest =
                entries.iter().min_by_key(|(_, entry)| entry.used).map(|(job, _)| job.clone());
            let Some(job) = oldest else { return };
            bytes -= entries.remove(&job).map_or(0, |entry| entry.bytes());
        }
    }
}
