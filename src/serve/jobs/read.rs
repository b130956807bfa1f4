//! One read of a job's results, from its owner or the store.

use std::rc::Rc;
use std::time::Duration;

use super::cache::Summary;
use super::page::{Loaded, MAX_PAGE_BYTES};
use super::record::{self, Head, ItemResult, Pending, head_key, listing_prefix, result_key};
use crate::error::{Error, Kind, Result};
use crate::kv::Entry;
use crate::serve::context::Context;
use crate::serve::held::Turn;
use crate::serve::reader;
use crate::serve::refusal::retry_after;

/// Time for which a read waits for its turn.
const TURN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Copies of a page of the store while it is read, in bytes: its body in base64, its values,
/// and the records that they hold.
pub(super) const STORE_PAGE_BYTES: usize = 4 << 20;
/// Copies of a page of results, or of an item's body, while it is read from the job's owner, in
/// bytes.
pub(super) const PEER_PAGE_BYTES: usize = 2 << 20;

/// Results from one read, from a position on.
#[derive(Clone)]
pub(super) struct Fetched {
    pub(super) organisation: String,
    pub(super) total: usize,
    pub(super) results: Vec<Rc<Loaded>>,
    /// Position from which on no result was stored; none if there may be further ones.
    pub(super) end: Option<usize>,
}

/// Outcome of a read of results; none if there is no such job.
pub(super) type Outcome = Result<Option<Fetched>>;

/// Error of a read for which no memory is left.
pub(super) fn shortage(context: &Context, detail: &str) -> Error {
    metrics::counter!("serve_answers_cut_total", "cause" => "refused").increment(1);
    Error::new(Kind::Overloaded, detail).retry_after(retry_after(context, 0))
}

/// Waits for the turn to make copies of `bytes`.
pub(super) async fn turn(context: &Context, bytes: usize) -> Result<Turn> {
    let turn = tokio::time::timeout(TURN_TIMEOUT, context.held.copies(bytes)).await;
    turn.ok().flatten().ok_or_else(|| shortage(context, "other reads take this VM's memory"))
}

/// A read of results from a position on.
pub(super) struct Read {
    pub(super) context: Rc<Context>,
    /// Pending entry of the job's current or last owner.
    pub(super) owner: Option<Pending>,
    pub(super) known: Option<Summary>,
    pub(super) job: String,
    pub(super) from: usize,
}

impl Read {
    /// Reads from the job's owner if it can confirm its ownership, else from the store.
    pub(super) async fn run(self) -> Outcome {
        if let Some(owner) = &self.owner
            && let Some(fetched) = self.ask(owner).await?
        {
            return Ok(Some(fetched));
        }
        let _turn = turn(&self.context, STORE_PAGE_BYTES).await?;
        let (summary, (results, is_last)) = match (&self.known, self.from) {
            // The head is read with the first results.
            (_, 0) => {
                let (head, found) = self.list("").await?;
                (head.map(summary).or_else(|| self.known.clone()), found)
            }
            (Some(known), from) => {
                (Some(known.clone()), self.list(&result_key(&self.job, from - 1)).await?.1)
            }
            (None, from) => {
                let head = self.context.store.get(&head_key(&self.job)).await?;
                let Some(head) = head.as_ref().map(record::decode).transpose()? else {
                    return Ok(None);
                };
                (Some(summary(head)), self.list(&result_key(&self.job, from - 1)).await?.1)
            }
        };
        Ok(summary.map(|Summary { organisation, total, .. }| {
            let end = is_last.then_some(self.from + results.len());
            Fetched { organisation, total, results: self.load(results), end }
        }))
    }

    /// Asks the owner; none if it can't be sure of the results.
    async fn ask(&self, owner: &Pending) -> Outcome {
        let context = &self.context;
        let _turn = turn(context, PEER_PAGE_BYTES).await?;
        let answer = reader::fetch_results(context, owner, &self.job, self.from, MAX_PAGE_BYTES);
        let Some(reader::Results { total, results, organisation, stored }) = answer.await else {
            return Ok(None);
        };
        // A VM of an older version sends all results and doesn't say how many there are.
        let end = Some((self.from + results.len()).max(stored as usize));
        Ok(Some(Fetched { organisation, total: total as usize, results: self.load(results), end }))
    }

    fn load(&self, results: Vec<ItemResult>) -> Vec<Rc<Loaded>> {
        let held = &self.context.held;
        results.into_iter().map(|result| Loaded::new(Rc::new(result), held)).collect()
    }

    /// Reads the page of the store with the job's first result after a key, whether it is the last
    /// one, and the job's head if that comes after the key, too.
    async fn list(&self, after: &str) -> Result<(Option<Head>, (Vec<ItemResult>, bool))> {
        let (mut head, mut after) = (None, after.to_owned());
        loop {
            let page = self.context.store.list(&listing_prefix(&self.job), &after).await?;
            let (found, results) = decode_listing(&self.job, &page.entries)?;
            head = head.or(found);
            match page.entries.last() {
                Some(last) if page.more && results.is_empty() => after = last.key.clone(),
                _ => return Ok((head, (results, !page.more))),
            }
        }
    }
}

fn summary(head: Head) -> Summary {
    Summary { organisation: head.organisation, total: head.total as usize, stored: 0 }
}

pub(super) fn decode_listing(
    job: &str,
    entries: &[Entry],
) -> Result<(Option<Head>, Vec<ItemResult>)> {
    let (mut head, mut results) = (None, Vec::new());
    for entry in entries {
        if entry.key == head_key(job) {
            head = Some(record::decode(entry)?);
        } else {
            results.push(record::decode(entry)?);
        }
    }
    Ok((head, results))
}
