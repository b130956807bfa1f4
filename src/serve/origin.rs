//! Origins of streams: the service and the software version that began them.
//!
//! Events of different versions of an upstream's software don't fit together,
//! so a broken stream is resumed only at its origin. The VM that forwards a
//! stream's first event records the origin; `resume` sends the record to a few
//! other VMs and asks them when a caller resumes the stream elsewhere.
//!
//! A stream that no VM has a record of is resumed only if its service has had a
//! single version for longer than a stream lasts (`History`).

use std::collections::{HashMap, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use prost::Message;
use siphasher::sip::SipHasher13;

use super::store::Registration;
use crate::clock::Time;
use crate::id::{Service, Version};

/// Time for which a record is kept after the deadline of the stream's last attempt.
const RETENTION: Duration = Duration::from_secs(30);
/// Longest time between two reads of the store in which a version can't have come and gone: an
/// upstream stays listed for 2 s after it has said that it leaves.
const MAX_READ_GAP: Duration = Duration::from_secs(2);
/// Time for which versions are remembered. Streams of attempts that last longer aren't resumed
/// without a record.
const MEMORY: Duration = Duration::from_secs(600);
/// Age of the last read up to which other VMs are told what it showed.
pub const MAX_READ_AGE: Duration = Duration::from_secs(2);
/// Maximum number of records; the oldest are dropped first.
const MAX_RECORDS: usize = 65_536;

key! {
    /// A stream: the hash of the identifier of the attempt that received its first event.
    pub struct Stream(u64);
}

impl Stream {
    /// The stream whose first event went to the caller's attempt `request_id`.
    pub fn of(request_id: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(request_id.as_bytes());
        Self(hasher.finish())
    }

    /// The stream of a hash that another VM reported.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Hash that identifies the stream in datagrams.
    pub fn hash(self) -> u64 {
        self.0
    }

    /// Name by which VMs that keep the stream's record are chosen.
    pub fn name(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// What a stream's events were made by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Service of the upstream.
    pub service: Service,
    /// Version of the upstream's software.
    pub version: Version,
}

impl Origin {
    /// The origin of streams that an upstream begins.
    pub fn of(registration: &Registration) -> Self {
        Self { service: registration.service.clone(), version: registration.version.clone() }
    }
}

/// The origin of a stream, as VMs report it to each other.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Hash that identifies the stream.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Software version of the upstream that sent its first event.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Time for which the record is still needed, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub remaining_ms: u32,
    /// Service of that upstream.
    #[prost(string, tag = "4")]
    pub service: String,
}

impl Record {
    /// The stream that the record is about.
    pub fn stream(&self) -> Stream {
        Stream(self.stream)
    }

    /// The origin that the record states.
    pub fn origin(&self) -> Origin {
        Origin { service: self.service.as_str().into(), version: self.version.as_str().into() }
    }
}

struct Row {
    origin: Origin,
    until: Time,
}

/// Origins of streams, as far as this VM knows.
#[derive(Default)]
pub struct Origins {
    rows: HashMap<Stream, Row>,
    /// Streams in the order in which their records may be dropped.
    order: VecDeque<(Time, Stream)>,
    /// Streams whose records other VMs are to be sent.
    unsent: Vec<Stream>,
}

impl Origins {
    /// Records the origin of a stream at this VM, to be sent to others; `deadline`
    /// is that of the attempt that the stream is sent to.
    pub fn record(&mut self, stream: Stream, origin: &Origin, deadline: Time, now: Time) {
        self.insert(stream, origin.clone(), deadline.after(RETENTION), now);
        self.unsent.push(stream);
    }

    /// Drops the origin of a stream that was only assumed, before it is recorded.
    pub fn forget(&mut self, stream: Stream) {
        self.rows.remove(&stream);
    }

    /// Adds records that another VM sent.
    pub fn merge(&mut self, records: &[Record], now: Time) {
        for record in records {
            let remaining = Duration::from_millis(record.remaining_ms.into());
            self.insert(record.stream(), record.origin(), now.after(remaining), now);
        }
    }

    fn insert(&mut self, stream: Stream, origin: Origin, until: Time, now: Time) {
        self.expire(now);
        let row = self.rows.entry(stream).or_insert(Row { origin, until });
        row.until = row.until.max(until);
        self.order.push_back((row.until, stream));
    }

    fn expire(&mut self, now: Time) {
        while let Some((until, stream)) = self.order.front().copied() {
            if !until.passed(now) && self.order.len() < MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            if self.rows.get(&stream).is_some_and(|row| row.until <= until) {
                self.rows.remove(&stream);
            }
        }
    }

    /// The origin of a stream; none if this VM doesn't know it.
    pub fn origin(&self, stream: Stream, now: Time) -> Option<&Origin> {
        let row = self.rows.get(&stream).filter(|row| !row.until.passed(now));
        row.map(|row| &row.origin)
    }

    /// The record of a stream; none if this VM doesn't know it.
    pub fn get(&self, stream: Stream, now: Time) -> Option<Record> {
        let row = self.rows.get(&stream).filter(|row| !row.until.passed(now))?;
        Some(Record {
            stream: stream.0,
            version: row.origin.version.to_string(),
            service: row.origin.service.to_string(),
            remaining_ms: u32::try_from(now.until(row.until).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Takes the records that other VMs are to be sent.
    pub fn take_unsent(&mut self, now: Time) -> Vec<Record> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.into_iter().filter_map(|stream| self.get(stream, now)).collect()
    }

    /// All records that are still needed.
    pub fn all(&self, now: Time) -> Vec<Record> {
        self.rows.keys().filter_map(|stream| self.get(*stream, now)).collect()
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Versions that the upstreams of each service have had of late.
#[derive(Default)]
pub struct History {
    /// Start and end of the time in which the store was read without a long gap.
    read: Option<(Time, Time)>,
    /// When each version of a service was last registered.
    seen: HashMap<Origin, Time>,
}

impl History {
    /// Adds the registrations of a read of the store that was current at `read_at`.
    pub fn observe(&mut self, registrations: &[Registration], read_at: Time) {
        let since = match self.read {
            Some((since, last)) if !last.after(MAX_READ_GAP).passed(read_at) => since,
            _ => read_at,
        };
        self.read = Some((since, read_at));
        self.seen.retain(|_, last| !last.after(MEMORY).passed(read_at));
        for registration in registrations {
            self.seen.insert(Origin::of(registration), read_at);
        }
    }

    /// The only version that a service has had since a stream whose attempts last `attempt` can
    /// have begun that is resumed at `resumed_at`; none if there were several or this VM has read
    /// the store for less time. A read before `resumed_at` says nothing of a version that joined
    /// after it and may have begun the stream.
    pub fn only_version(
        &self,
        service: &Service,
        attempt: Duration,
        resumed_at: Time,
    ) -> Option<&Version> {
        let (_, last) = self.read?;
        if last < resumed_at { None } else { self.claim(service, attempt, resumed_at) }
    }

    /// What this VM tells another one: the only version by its last read, which may be up to
    /// `MAX_READ_AGE` old.
    pub fn claim(&self, service: &Service, attempt: Duration, now: Time) -> Option<&Version> {
        let (since, last) = self.read?;
        let lifetime = attempt.saturating_add(RETENTION);
        let is_known = since.after(lifetime).passed(now) && lifetime <= MEMORY;
        if !is_known || last.after(MAX_READ_AGE).passed(now) {
            return None;
        }
        let mut versions = self.versions_since(service, lifetime, now);
        let only = versions.next()?;
        versions.next().is_none().then_some(only)
    }

    /// Whether another VM's claim, asked for at `asked_at`, holds for a stream resumed then: this
    /// VM has read the store from before the last read of that VM until now, and knows no other
    /// version.
    pub fn confirms(&self, claim: &Origin, attempt: Duration, asked_at: Time) -> bool {
        let covers = self
            .read
            .is_some_and(|(since, last)| since.after(MAX_READ_AGE) <= asked_at && last >= asked_at);
        covers && !self.has_other(claim, attempt, asked_at)
    }

    /// Whether a service has had another version than this one for as long.
    pub fn has_other(&self, origin: &Origin, attempt: Duration, now: Time) -> bool {
        let lifetime = attempt.saturating_add(RETENTION);
        self.versions_since(&origin.service, lifetime, now).any(|seen| seen != &origin.version)
    }

    fn versions_since(
        &self,
        service: &Service,
        lifetime: Duration,
        now: Time,
    ) -> impl Iterator<Item = &Version> {
        let seen = self.seen.iter().filter(move |(origin, last)| {
            &origin.service == service && !last.after(lifetime).passed(now)
        });
        seen.map(|(origin, _)| &origin.version)
    }
}
