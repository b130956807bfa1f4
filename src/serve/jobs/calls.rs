//! Callers' calls about jobs.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::manager::{Jobs, unix_ms};
use super::record::{Head, ItemResult};
use crate::error::{Error, Kind, Result};
use crate::id::Organisation;
use crate::serve::configuration::Route;
use crate::serve::exchange::{Body, Reply, authenticate, configuration};
use crate::serve::peers::Peers;
use crate::serve::protocol::{self, JobCall, Request};

/// Most bytes of results in one answer.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Most items of one job.
const MAX_ITEMS: usize = 200;
/// Longest time that a reader is kept waiting.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Time after which a reader's VM asks the store once more for results.
const REREAD: Duration = Duration::from_millis(900);
/// Age of the store's last answer from which no job is accepted.
const STORE_AWAY: Duration = Duration::from_millis(1_900);
/// Wait named to callers whose job was refused for that.
const STORE_AWAY_RETRY: Duration = Duration::from_millis(1_200);
/// Wait named to callers while the store can't be reached.
const STORE_RETRY: Duration = Duration::from_millis(500);

impl Jobs {
    /// Accepts a job that was submitted on a batch route.
    pub async fn handle_submission(
        self: &Rc<Self>,
        arrival: &Request,
        head: &protocol::Head,
        route: &Route,
        peers: &Rc<Peers>,
    ) -> Result<Reply> {
        let configuration = configuration(&self.fleet)?;
        let tenant = authenticate(&self.fleet, &configuration, head, route.anonymous)?;
        let organisation = tenant.map(|tenant| tenant.organisation.to_string());
        let job = head.request_id.as_deref();
        let job = job.ok_or_else(|| Error::new(Kind::Malformed, "the job has no identifier"))?;
        let items = self.fleet.protocol.items(&arrival.body)?;
        let names: HashSet<&str> = items.iter().map(|item| item.id.as_str()).collect();
        if items.is_empty() || items.len() > MAX_ITEMS || names.len() != items.len() {
            let detail = format!("a job has 1 to {MAX_ITEMS} items with names of their own");
            return Err(Error::new(Kind::Malformed, detail));
        }
        if self.fleet.stopping.get() {
            let detail = "this VM is leaving; use another one";
            return Err(Error::new(Kind::Leaving, detail).retry_after(STORE_RETRY));
        }
        self.check_store()?;
        let stored = Head {
            organisation: organisation.unwrap_or_default(),
            host: head.host.clone(),
            path: arrival.path.clone(),
            accepted_unix_ms: unix_ms(),
            total: 0,
            chunks: 0,
        };
        // Goes on when the caller leaves: the job may be accepted already.
        let (jobs, peers) = (self.clone(), peers.clone());
        let (job, route) = (job.to_owned(), route.clone());
        let accepting = actix_rt::spawn(async move {
            if let Some(pending) = jobs.submit(&job, stored, items, &route).await? {
                peers.announce_job(&job, pending);
            }
            Ok(())
        });
        let broken = |_| Err(Error::new(Kind::Internal, "the call was dropped"));
        accepting.await.unwrap_or_else(broken)?;
        Ok(self.reply(StatusCode::ACCEPTED, head, Bytes::new()))
    }

    /// Refuses jobs at once while the store doesn't answer: a write that was
    /// sent could not be said to have had no effect.
    fn check_store(&self) -> Result<()> {
        let confirmed = self.fleet.view.borrow().confirmed_at;
        if !confirmed.after(STORE_AWAY).passed(self.fleet.now()) {
            return Ok(());
        }
        let detail = "the store that keeps jobs doesn't answer";
        Err(Error::new(Kind::StoreUnavailable, detail).retry_after(STORE_AWAY_RETRY))
    }

    /// Answers a call about a job.
    pub async fn handle_call(
        self: &Rc<Self>,
        call: JobCall,
        head: &protocol::Head,
        peers: &Peers,
    ) -> Result<Reply> {
        let configuration = configuration(&self.fleet)?;
        let tenant = authenticate(&self.fleet, &configuration, head, false)?;
        let organisation = tenant.map(|tenant| &tenant.organisation);
        let answer = match call {
            JobCall::Results { job, after, wait_ms } => {
                self.check_reader(&job, organisation).await?;
                let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
                self.read(&job, after, wait).await?
            }
            JobCall::Body { job, item } => {
                self.check_reader(&job, organisation).await?;
                self.body(&job, &item).await?
            }
            JobCall::Cancel { job } => {
                self.check_reader(&job, organisation).await?;
                let owner = self.owner_of(&job);
                if !self.cancel(&job).await.map_err(retry)? {
                    return Err(unknown(&job));
                }
                if let Some(owner) = owner {
                    peers.notify_job_changed(&owner, &job);
                }
                Bytes::new()
            }
        };
        Ok(self.reply(StatusCode::OK, head, answer))
    }

    fn owner_of(&self, job: &str) -> Option<String> {
        let view = self.fleet.view.borrow();
        view.pending.get(job).map(|(pending, _)| pending.owner.clone())
    }

    /// Only the organisation that submitted a job may see it.
    async fn check_reader(&self, job: &str, organisation: Option<&Organisation>) -> Result<()> {
        let holder = match self.owned_organisation(job) {
            Some(holder) => Some(holder),
            None => self.cache.organisation(job).await.map_err(retry)?,
        };
        let reader = organisation.map_or("", Organisation::as_str);
        match holder {
            Some(holder) if holder == reader => Ok(()),
            _ => Err(unknown(job)),
        }
    }

    /// Results from a position on; waits for the first if there is none.
    async fn read(&self, job: &str, after: usize, wait: Duration) -> Result<Bytes> {
        let until = self.fleet.now().after(wait);
        loop {
            let left = self.fleet.now().until(until);
            let owned = self.owned_listing(job);
            let change = self.owned_change(job);
            let listing = match owned {
                Some(owned) => owned,
                None => {
                    let listing = self.cache.listing(job).await.map_err(retry)?;
                    listing.ok_or_else(|| unknown(job))?
                }
            };
            if listing.results.len() > after || listing.is_complete() || left.is_zero() {
                return Ok(self.page(listing.total, after, &listing.results));
            }
            let left = self.fleet.now().until(until);
            match change {
                // No wait may outlast `left`, so a timeout is no failure.
                Some(change) => drop(tokio::time::timeout(left, change.notified()).await),
                None => tokio::time::sleep(left.min(REREAD)).await,
            }
        }
    }

    fn page(&self, total: usize, after: usize, results: &[Rc<ItemResult>]) -> Bytes {
        let rest = results.get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fits = |listed: &&Rc<ItemResult>| {
            bytes += listed.output.len() + listed.item.len();
            bytes <= MAX_PAGE_BYTES
        };
        let count = rest.iter().take_while(fits).count().max(rest.len().min(1));
        self.fleet.protocol.results(total, after + count, &rest[..count])
    }

    async fn body(&self, job: &str, item: &str) -> Result<Bytes> {
        if let Some(body) = self.owned_body(job, item) {
            return Ok(body);
        }
        let found = self.cache.body(job, item).await.map_err(retry)?;
        found.ok_or_else(|| Error::new(Kind::NotFound, format!("job {job} has no item {item}")))
    }

    fn reply(&self, status: StatusCode, head: &protocol::Head, body: Bytes) -> Reply {
        let headers = self.fleet.protocol.own_headers(head.request_id.as_deref());
        Reply { status, headers, body: Body::Whole(body) }
    }
}

fn unknown(job: &str) -> Error {
    Error::new(Kind::NotFound, format!("there is no job {job}"))
}

/// Says when to come back after a read that failed.
fn retry(error: Error) -> Error {
    match error.kind {
        Kind::PlatformUnavailable => error.retry_after(STORE_RETRY),
        _ => error,
    }
}
