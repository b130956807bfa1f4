//! Handles callers' requests about jobs.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::uri::PathAndQuery;

use super::manager::{Jobs, unix_ms};
use super::page::Page;
use super::record::Head;
use crate::error::{Error, Kind, Result};
use crate::id::Organisation;
use crate::serve::configuration::Route;
use crate::serve::exchange::{Body, Reply, authenticate, configuration};
use crate::serve::held::{self, Charged};
use crate::serve::peers::Peers;
use crate::serve::protocol::{self, JobCall, Request};
use crate::serve::refusal::retry_after;

/// Maximum number of items in a job.
const MAX_ITEMS: usize = 200;
/// Maximum time for which a read waits for results.
const MAX_READ_WAIT: Duration = Duration::from_millis(1_000);
/// Interval at which a waiting read checks for results of another VM's job.
const REREAD_INTERVAL: Duration = Duration::from_millis(900);
/// Age of the store's last answer above which jobs are refused.
const MAX_STORE_AGE: Duration = Duration::from_millis(1_900);
/// `Retry-After` for callers whose job was refused because of that age.
const STORE_AGE_RETRY_AFTER: Duration = Duration::from_millis(1_200);
/// `Retry-After` for callers while the store can't be reached or this VM is
/// stopping.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Jobs {
    /// Accepts a job that was submitted on a batch route.
    pub async fn handle_submission(
        self: &Rc<Self>,
        arrival: &Request,
        head: &protocol::Head,
        route: &Route,
        peers: &Rc<Peers>,
    ) -> Result<Reply> {
        let configuration = configuration(&self.context)?;
        let tenant = authenticate(&self.context, &configuration, head, route.anonymous)?;
        let organisation = tenant.map(|tenant| tenant.organisation.to_string());
        let job = head.request_id.as_deref();
        let job = job.ok_or_else(|| Error::new(Kind::Malformed, "the job has no identifier"))?;
        let items = self.context.protocol.items(&arrival.body)?;
        let names: HashSet<&str> = items.iter().map(|item| item.id.as_str()).collect();
        if items.is_empty() || items.len() > MAX_ITEMS || names.len() != items.len() {
            let detail = format!("a job has 1 to {MAX_ITEMS} items with names of their own");
            return Err(Error::new(Kind::Malformed, detail));
        }
        if let Some(item) = items.iter().find(|item| !is_path(&item.path)) {
            let detail = format!("item {} has no valid path", item.id);
            return Err(Error::new(Kind::Malformed, detail));
        }
        if self.context.stopping.get() {
            let detail = "this VM is leaving; use another one";
            return Err(Error::new(Kind::Leaving, detail).retry_after(STORE_RETRY_AFTER));
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
        // Runs to completion even if the caller disconnects, because the job may
        // already be accepted.
        let (jobs, peers) = (self.clone(), peers.clone());
        let (job, route) = (job.to_owned(), route.clone());
        let task = actix_rt::spawn(async move {
            if let Some(pending) = jobs.submit(&job, stored, items, &route).await? {
                peers.announce_job(&job, pending);
            }
            Ok(())
        });
        let aborted = |_| Err(Error::new(Kind::Internal, "the call was dropped"));
        task.await.unwrap_or_else(aborted)?;
        Ok(self.reply(StatusCode::ACCEPTED, head, Body::Whole(Bytes::new())))
    }

    /// Refuses jobs at once while the store doesn't answer: once a write is sent,
    /// it is unknown whether it had an effect.
    fn check_store(&self) -> Result<()> {
        let confirmed = self.context.view.borrow().confirmed_at;
        if !confirmed.after(MAX_STORE_AGE).passed(self.context.now()) {
            return Ok(());
        }
        let detail = "the store that keeps jobs doesn't answer";
        Err(Error::new(Kind::StoreUnavailable, detail).retry_after(STORE_AGE_RETRY_AFTER))
    }

    /// Handles a call about a job.
    pub async fn handle_call(
        self: &Rc<Self>,
        call: JobCall,
        head: &protocol::Head,
        peers: &Peers,
    ) -> Result<Reply> {
        let configuration = configuration(&self.context)?;
        let tenant = authenticate(&self.context, &configuration, head, false)?;
        let organisation = tenant.map(|tenant| &tenant.organisation);
        let answer = match call {
            JobCall::Results { job, after, wait_ms } => {
                self.check_reader(&job, organisation).await?;
                let wait = Duration::from_millis(wait_ms).min(MAX_READ_WAIT);
                let page = self.read_results(&job, after, wait).await?;
                let encoder = self.context.protocol.results(page);
                Body::Page(self.cache.pages.begin(encoder, self.context.now()))
            }
            JobCall::Body { job, item } => {
                self.check_reader(&job, organisation).await?;
                Body::Whole(self.charge(self.body(&job, &item).await?)?)
            }
            JobCall::Cancel { job } => {
                self.check_reader(&job, organisation).await?;
                let owner = self.owner_of(&job);
                if !self.cancel(&job).await.map_err(with_retry_after)? {
                    return Err(unknown_job(&job));
                }
                if let Some(owner) = owner {
                    peers.notify_job_changed(&owner, &job);
                }
                Body::Whole(Bytes::new())
            }
        };
        Ok(self.reply(StatusCode::OK, head, answer))
    }

    fn owner_of(&self, job: &str) -> Option<String> {
        let view = self.context.view.borrow();
        view.pending.get(job).map(|(pending, _)| pending.owner.clone())
    }

    /// Checks that the caller's organisation submitted the job.
    async fn check_reader(&self, job: &str, organisation: Option<&Organisation>) -> Result<()> {
        let submitter = match self.owned_organisation(job) {
            Some(submitter) => Some(submitter),
            None => self.cache.organisation(job).await.map_err(with_retry_after)?,
        };
        let reader = organisation.map_or("", Organisation::as_str);
        match submitter {
            Some(submitter) if submitter == reader => Ok(()),
            _ => Err(unknown_job(job)),
        }
    }

    /// Returns the results from a position on; waits if there are none yet.
    async fn read_results(&self, job: &str, after: usize, wait: Duration) -> Result<Page> {
        let until = self.context.now().after(wait);
        loop {
            let left = self.context.now().until(until);
            let owned = self.owned_summary(job);
            let change = self.owned_change(job);
            let page = self.cache.page(job, after, owned).await.map_err(with_retry_after)?;
            let page = page.ok_or_else(|| unknown_job(job))?;
            let is_complete = self.is_complete(job, &page);
            if !page.results.is_empty() || is_complete || left.is_zero() {
                return Ok(page);
            }
            let left = self.context.now().until(until);
            match change {
                // The wait must not outlast `left`, so a timeout is not an error.
                Some(change) => drop(tokio::time::timeout(left, change.notified()).await),
                None => tokio::time::sleep(left.min(REREAD_INTERVAL)).await,
            }
        }
    }

    /// Whether no results can follow those of a page.
    fn is_complete(&self, job: &str, page: &Page) -> bool {
        page.next >= page.total || self.cache.complete(job).is_some()
    }

    /// Charges an item's body until its caller has read it.
    fn charge(&self, body: Bytes) -> Result<Bytes> {
        let Some(charge) = self.context.held.try_charge(held::Kind::Answer, body.len()) else {
            metrics::counter!("serve_answers_cut_total", "cause" => "refused").increment(1);
            let detail = "callers that read slowly hold this VM's memory; use another one";
            let error = Error::new(Kind::Overloaded, detail);
            return Err(error.retry_after(retry_after(&self.context, 0)));
        };
        Ok(Bytes::from_owner(Charged { bytes: body, charge }))
    }

    async fn body(&self, job: &str, item: &str) -> Result<Bytes> {
        if let Some(body) = self.owned_body(job, item) {
            return Ok(body);
        }
        let found = self.cache.body(job, item).await.map_err(with_retry_after)?;
        found.ok_or_else(|| Error::new(Kind::NotFound, format!("job {job} has no item {item}")))
    }

    fn reply(&self, status: StatusCode, head: &protocol::Head, body: Body) -> Reply {
        let headers = self.context.protocol.own_headers(head.request_id.as_deref());
        Reply { status, headers, body }
    }
}

/// Whether a request can be sent to a path as it stands.
fn is_path(path: &str) -> bool {
    path.starts_with('/') && path.parse::<PathAndQuery>().is_ok()
}

fn unknown_job(job: &str) -> Error {
    Error::new(Kind::NotFound, format!("there is no job {job}"))
}

/// Adds a `Retry-After` to errors of the store.
fn with_retry_after(error: Error) -> Error {
    match error.kind {
        Kind::PlatformUnavailable => error.retry_after(STORE_RETRY_AFTER),
        _ => error,
    }
}
