//! Jobs as any VM reads them from the store.
//!
//! Heads, items and results never change once they are written, so they are
//! kept; only whether more results exist is asked again.

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

/// Time for which a read of a job's results stands.
const READ_STANDS: Duration = Duration::from_millis(300);
/// Most bytes of results and items that are kept.
const MAX_BYTES: usize = 16 << 20;

/// A job as its readers see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Organisation that submitted it.
    pub organisation: String,
    /// Number of its items.
    pub total: usize,
    /// Its results, by position.
    pub results: Vec<Rc<ItemResult>>,
}

impl Listing {
    /// Whether all results are there, so that it never changes again.
    pub fn is_complete(&self) -> bool {
        self.total > 0 && self.results.len() == self.total
    }
}

#[derive(Clone, Default)]
struct Kept {
    listing: Listing,
    spec: Option<Rc<Spec>>,
    /// When the last read of the results was sent.
    read: Time,
    used: Time,
}

impl Kept {
    fn bytes(&self) -> usize {
        let results = self.listing.results.iter();
        let results: usize = results.map(|listed| listed.output.len() + 64).sum();
        results + self.spec.as_ref().map_or(0, |spec| spec.encoded_len())
    }
}

/// What one read of a job's head and results brought.
#[derive(Default)]
struct Read {
    head: Option<Head>,
    results: Vec<Rc<ItemResult>>,
}

/// Jobs that were read, by identifier.
pub struct Cache {
    fleet: Rc<Context>,
    directory: Rc<RefCell<Directory>>,
    kept: RefCell<HashMap<String, Kept>>,
}

impl Cache {
    /// An empty cache.
    pub fn new(fleet: Rc<Context>, directory: Rc<RefCell<Directory>>) -> Self {
        Self { fleet, directory, kept: RefCell::default() }
    }

    /// Organisation of a job; none if no such job was ever accepted.
    pub async fn organisation(&self, job: &str) -> Result<Option<String>> {
        let known = self.directory.borrow().owner(job).map(|owner| owner.organisation.clone());
        let known = known
            .or_else(|| self.kept.borrow().get(job).map(|kept| kept.listing.organisation.clone()));
        match known {
            Some(organisation) => Ok(Some(organisation)),
            None => Ok(self.listing(job).await?.map(|listing| listing.organisation)),
        }
    }

    /// A job as far as its results are stored; none if no such job was ever accepted.
    pub async fn listing(&self, job: &str) -> Result<Option<Listing>> {
        let asked = self.fleet.now();
        let known = self.kept.borrow().get(job).cloned();
        if let Some(known) = &known
            && (known.listing.is_complete() || !known.read.after(READ_STANDS).passed(asked))
        {
            return Ok(Some(known.listing.clone()));
        }
        let listing = known.map(|known| known.listing);
        let from = listing.as_ref().map_or(0, |listing| listing.results.len());
        let Some(fresh) = self.fresh(job, listing).await? else { return Ok(None) };
        let mut all = self.kept.borrow_mut();
        let kept = all.entry(job.to_owned()).or_default();
        let Listing { organisation, total, results } = fresh;
        kept.listing.organisation = organisation;
        kept.listing.total = total;
        for (position, listed) in (from..).zip(results) {
            if position == kept.listing.results.len() {
                kept.listing.results.push(listed);
            }
        }
        kept.read = kept.read.max(asked);
        kept.used = asked;
        let listing = kept.listing.clone();
        drop(all);
        self.evict();
        Ok(Some(listing))
    }

    /// A listing that never changes again, if this VM has it.
    pub fn complete_listing(&self, job: &str) -> Option<Listing> {
        let kept = self.kept.borrow();
        kept.get(job).map(|kept| &kept.listing).filter(|listing| listing.is_complete()).cloned()
    }

    /// Results beyond those known, from the job's owner if it can be sure, else
    /// from the store.
    async fn fresh(&self, job: &str, known: Option<Listing>) -> Result<Option<Listing>> {
        let from = known.as_ref().map_or(0, |known| known.results.len());
        let owner = self.directory.borrow().owner(job).cloned();
        if let Some(owner) = owner
            && let Some(answer) = reader::fetch_results(&self.fleet, &owner, job, from).await
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

    /// Reads head and results that come after a key.
    async fn read_listing(&self, job: &str, mut after: String) -> Result<Read> {
        let mut read = Read::default();
        loop {
            let page = self.fleet.store.list(&listing_prefix(job), &after).await?;
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

    /// Body of an item that isn't listed yet; none if the job has no such item.
    pub async fn body(&self, job: &str, item: &str) -> Result<Option<Bytes>> {
        let owner = self.directory.borrow().owner(job).cloned();
        if let Some(owner) = owner
            && let Some(body) = reader::fetch_body(&self.fleet, &owner, job, item).await
        {
            return Ok(Some(body));
        }
        let spec = self.spec(job).await?;
        let found = spec.items.iter().find(|stored| stored.id == item);
        Ok(found.map(|stored| stored.body.clone()))
    }

    /// Items of a job.
    async fn spec(&self, job: &str) -> Result<Rc<Spec>> {
        if let Some(spec) = self.kept.borrow().get(job).and_then(|kept| kept.spec.clone()) {
            return Ok(spec);
        }
        let spec = Rc::new(self.read_spec(job).await?);
        if let Some(kept) = self.kept.borrow_mut().get_mut(job) {
            kept.spec = Some(spec.clone());
        }
        self.evict();
        Ok(spec)
    }

    async fn read_spec(&self, job: &str) -> Result<Spec> {
        let mut bytes = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.fleet.store.list(&spec_prefix(job), &after).await?;
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

    /// All that is stored of a job; none if no such job was ever accepted.
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
            let page = self.fleet.store.list(&partials_prefix(job), &after).await?;
            for entry in &page.entries {
                partials.push(record::decode(entry)?);
                after = entry.key.clone();
            }
            if !page.more || page.entries.is_empty() {
                return Ok(partials);
            }
        }
    }

    /// Keeps a job that this VM has stored itself.
    pub fn insert(&self, job: &str, listing: Listing) {
        let kept = Kept { listing, spec: None, read: Time(0), used: self.fleet.now() };
        self.kept.borrow_mut().insert(job.to_owned(), kept);
        self.evict();
    }

    /// Drops what was used longest ago until the rest fits.
    fn evict(&self) {
        let mut kept = self.kept.borrow_mut();
        let mut bytes: usize = kept.values().map(Kept::bytes).sum();
        while bytes > MAX_BYTES {
            let oldest = kept.iter().min_by_key(|(_, kept)| kept.used).map(|(job, _)| job.clone());
            let Some(job) = oldest else { return };
            bytes -= kept.remove(&job).map_or(0, |kept| kept.bytes());
        }
    }
}
