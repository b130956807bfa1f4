//! Reads items and results from the log and builds replies from them.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;
use serde_json::{Value, json};

use crate::batch::record::{Event, Item, Record};
use crate::batch::{ItemResult, ItemStatus, Job, Outcome, Phase};
use crate::error::{Error, Kind, Result};
use crate::segment::{Disk, SegmentId};
use crate::wire::batch::{Accepted, Finished, Leased, LeasedItem, Page, Reply};

/// Number of decoded records cached for the next page or lease.
const CACHED_RECORDS: usize = 16;
/// Size in bytes after which a page of results ends.
const PAGE_BYTES: usize = 1 << 20;

/// Reads records from one disk and caches the most recently decoded ones.
pub(super) struct Reader {
    cached: VecDeque<((SegmentId, u64), Record)>,
}

impl Reader {
    pub(super) fn new() -> Self {
        Self { cached: VecDeque::new() }
    }

    /// Clears the cache; required when the log may have been truncated.
    pub(super) fn clear(&mut self) {
        self.cached.clear();
    }

    fn record(&mut self, disk: &Disk, segment: SegmentId, seq: u64) -> Result<&Record> {
        let key = (segment, seq);
        if let Some(index) = self.cached.iter().position(|(cached, _)| *cached == key) {
            return Ok(&self.cached[index].1);
        }
        let entry =
            disk.read(segment, seq, seq, usize::MAX)?.pop().ok_or_else(|| unreadable(seq))?;
        let record = Record::decode(entry.payload).map_err(|_| unreadable(seq))?;
        if self.cached.len() == CACHED_RECORDS {
            self.cached.pop_front();
        }
        self.cached.push_back((key, record));
        Ok(&self.cached.back().expect("a record was just added").1)
    }

    fn item(&mut self, disk: &Disk, segment: SegmentId, location: (u64, u32)) -> Result<&Item> {
        match &self.record(disk, segment, location.0)?.event {
            Some(Event::Stage(stage)) => {
                stage.items.get(location.1 as usize).ok_or_else(|| unreadable(location.0))
            }
            _ => Err(unreadable(location.0)),
        }
    }

    /// Builds the reply for an outcome.
    pub(super) fn reply(
        &mut self,
        disk: &Disk,
        segment: SegmentId,
        state: &crate::batch::State,
        outcome: Outcome,
    ) -> Result<Reply> {
        let reply = match outcome {
            Outcome::Done => Reply::Done(()),
            Outcome::Accepted { created, total } => Reply::Accepted(Accepted { created, total }),
            Outcome::Conflict => {
                return Err(Error::new(Kind::Conflict, "the name stands for another body"));
            }
            Outcome::Incomplete => {
                return Err(Error::new(Kind::StoreUnavailable, "the upload is not whole"));
            }
            Outcome::NotFound => return Err(Error::new(Kind::NotFound, "no such job")),
            Outcome::Granted => Reply::Granted(()),
            Outcome::Claimed => Reply::Claimed(()),
            Outcome::Finished(seq) => Reply::Finished(self.finished(disk, segment, seq)?),
            Outcome::Leased(grants) => {
                let mut items = Vec::with_capacity(grants.len());
                for grant in grants {
                    let id = crate::batch::JobId(grant.attempt.job);
                    let Some(job) = state.job_by_id(id) else { continue };
                    let item = self.item(disk, segment, (grant.record, grant.index))?;
                    items.push(LeasedItem {
                        attempt: grant.attempt,
                        path: job.seal().path.clone(),
                        body: item.body.clone(),
                        idempotent: job.seal().idempotent,
                    });
                }
                Reply::Leased(Leased { items })
            }
        };
        Ok(reply)
    }

    fn finished(&mut self, disk: &Disk, segment: SegmentId, seq: u64) -> Result<Finished> {
        match &self.record(disk, segment, seq)?.event {
            Some(Event::Finish(finish)) => Ok(Finished {
                status: finish.status,
                content_type: finish.content_type.clone(),
                body: finish.body.clone(),
            }),
            _ => Err(unreadable(seq)),
        }
    }

    /// Returns up to `limit` results, starting after the first `after`.
    pub(super) fn page(
        &mut self,
        disk: &Disk,
        segment: SegmentId,
        job: &Job,
        after: u32,
        limit: u32,
    ) -> Result<Page> {
        let mut lines = Vec::new();
        let mut next = after;
        for result in job.results().iter().skip(after as usize).take(limit as usize) {
            let line = self.line(disk, segment, job, result)?;
            serde_json::to_writer(&mut lines, &line).expect("a JSON value serializes");
            lines.push(b'\n');
            next += 1;
            if lines.len() > PAGE_BYTES {
                break;
            }
        }
        let complete = job.phase() != Phase::Running && next as usize >= job.results().len();
        Ok(Page { lines: Bytes::from(lines), next, complete })
    }

    fn line(
        &mut self,
        disk: &Disk,
        segment: SegmentId,
        job: &Job,
        result: &ItemResult,
    ) -> Result<Value> {
        let custom_id = self.item(disk, segment, job.locate(result.item))?.custom_id.clone();
        let status = json!(result.status);
        if !result.answered() {
            let error = result.reason.as_str();
            return Ok(json!({ "custom_id": custom_id, "status": status, "error": error }));
        }
        let settlement = match &self.record(disk, segment, result.record)?.event {
            Some(Event::Settle(settle)) => settle.settlements.get(result.index as usize),
            _ => None,
        };
        let settlement = settlement.ok_or_else(|| unreadable(result.record))?;
        let body = serde_json::from_slice(&settlement.body)
            .unwrap_or_else(|_| json!(String::from_utf8_lossy(&settlement.body)));
        let response = json!({ "status": settlement.status, "body": body });
        if result.status == ItemStatus::Succeeded {
            return Ok(json!({ "custom_id": custom_id, "status": status, "response": response }));
        }
        let error = result.reason.as_str();
        Ok(json!({
            "custom_id": custom_id, "status": status, "error": error, "response": response,
        }))
    }
}

fn unreadable(seq: u64) -> Error {
    Error::new(Kind::Internal, format!("record {seq} can't be read back"))
}
