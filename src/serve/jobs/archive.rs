//! Jobs as any VM reads them from the store.
//!
//! Heads, items and results never change once they are written, so they are
//! kept; only whether more results exist is asked again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::owner::Stored;
use super::record::{
    self, Head, Listed, Partial, Spec, head_key, partials_prefix, result_key, results_prefix,
    spec_prefix,
};
use crate::clock::Time;
use crate::error::{Error, Kind, Result};
use crate::serve::fleet::Fleet;
use crate::serve::shared;

/// Time for which a read of a job's results stands.
const READ_STANDS: Duration = Duration::from_millis(300);
/// Most bytes of results and items that are kept.
const MAX_BYTES: usize = 16 << 20;

#[derive(Clone, Default)]
struct Kept {
    head: Head,
    results: Vec<Listed>,
    spec: Option<Rc<Spec>>,
    /// When the last read of the results was sent.
    read: Time,
    used: Time,
}

impl Kept {
    fn bytes(&self) -> usize {
        let results: usize = self.results.iter().map(|listed| listed.output.len() + 64).sum();
        results + self.spec.as_ref().map_or(0, |spec| spec.encoded_len())
    }
}

/// Jobs that were read, by identifier.
pub struct Archive {
    fleet: Rc<Fleet>,
    kept: RefCell<HashMap<String, Kept>>,
}

impl Archive {
    /// An empty archive.
    pub fn new(fleet: Rc<Fleet>) -> Self {
        Self { fleet, kept: RefCell::default() }
    }

    /// A job's head; none if no such job was ever accepted.
    pub async fn head(&self, job: &str) -> Result<Option<Head>> {
        if let Some(kept) = self.kept.borrow_mut().get_mut(job) {
            kept.used = self.fleet.now();
            return Ok(Some(kept.head.clone()));
        }
        let Some(entry) = self.fleet.store.get(&head_key(job)).await? else { return Ok(None) };
        let head: Head = record::decode(&entry)?;
        let kept = Kept { head: head.clone(), used: self.fleet.now(), ..Kept::default() };
        self.kept.borrow_mut().entry(job.to_owned()).or_insert(kept);
        self.evict();
        Ok(Some(head))
    }

    /// Results of a job, as far as they are stored; its head must be known.
    pub async fn results(&self, job: &str) -> Result<Vec<Listed>> {
        let asked = self.fleet.now();
        let known = self.kept.borrow().get(job).cloned().unwrap_or_default();
        let whole = known.head.total > 0 && known.results.len() as u64 == known.head.total;
        if whole || !known.read.after(READ_STANDS).passed(asked) {
            return Ok(known.results);
        }
        let fresh = self.fresh_results(job, known.results.len()).await?;
        let mut kept = self.kept.borrow_mut();
        let kept = kept.entry(job.to_owned()).or_insert(known);
        for (position, listed) in fresh {
            if position == kept.results.len() {
                kept.results.push(listed);
            }
        }
        kept.read = kept.read.max(asked);
        Ok(kept.results.clone())
    }

    /// New results, from the job's owner if it can be sure, else from the store.
    async fn fresh_results(&self, job: &str, from: usize) -> Result<Vec<(usize, Listed)>> {
        match shared::ask_owner(&self.fleet, job, from).await {
            Some(answer) => Ok((from..).zip(answer.results).collect()),
            None => self.read_results(job, from).await,
        }
    }

    async fn read_results(&self, job: &str, from: usize) -> Result<Vec<(usize, Listed)>> {
        let mut results = Vec::new();
        loop {
            let position = from + results.len();
            let after = position.checked_sub(1).map(|last| result_key(job, last));
            let page =
                self.fleet.store.list(&results_prefix(job), &after.unwrap_or_default()).await?;
            for entry in &page.entries {
                results.push((from + results.len(), record::decode(entry)?));
            }
            if !page.more || page.entries.is_empty() {
                return Ok(results);
            }
        }
    }

    /// Items of a job; its head must be known.
    pub async fn spec(&self, job: &str) -> Result<Rc<Spec>> {
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
    pub async fn load(&self, job: &str) -> Result<Option<Stored>> {
        let Some(head) = self.head(job).await? else { return Ok(None) };
        let spec = self.spec(job).await?;
        let results = self.read_results(job, 0).await?;
        let results = results.into_iter().map(|(_, listed)| listed).collect();
        let partials = self.read_partials(job).await?;
        Ok(Some(Stored { head, spec: (*spec).clone(), results, partials }))
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
    pub fn keep(&self, job: &str, head: Head, results: Vec<Listed>) {
        let kept = Kept { head, results, spec: None, read: Time(0), used: self.fleet.now() };
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
