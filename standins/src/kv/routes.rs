//! HTTP paths of the key-value service.

use std::time::Duration;

use actix_web::web::{Bytes, Data};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Shared;
use super::json::Int;
use super::message::{Keys, LeaseCall, Line, Notice, Put, Txn, Watch, WatchCall};
use super::store::NoLease;
use crate::faults::Faults;
use crate::server::{break_connection, json_line};

/// How often a watch looks for lapsed leases and outages.
const WATCH_TICK: Duration = Duration::from_millis(20);

type Kv = Data<Shared>;

/// Code that the gateway gives for a malformed body.
const CODE_INVALID: u32 = 3;
/// Code that the gateway gives for an unknown lease.
const CODE_NOT_FOUND: u32 = 5;

#[derive(Serialize)]
struct Mistake {
    error: String,
    code: u32,
    message: String,
}

fn mistake(code: u32, message: String) -> HttpResponse {
    let body = Mistake { error: message.clone(), code, message };
    match code {
        CODE_NOT_FOUND => HttpResponse::NotFound().json(body),
        _ => HttpResponse::BadRequest().json(body),
    }
}

fn answer<Q, A, F>(body: &Bytes, run: F) -> HttpResponse
where
    Q: DeserializeOwned,
    A: Serialize,
    F: FnOnce(Q) -> Result<A, NoLease>,
{
    match serde_json::from_slice(body).map(run) {
        Ok(Ok(answer)) => HttpResponse::Ok().json(answer),
        Ok(Err(error)) => mistake(CODE_NOT_FOUND, error.to_string()),
        Err(error) => mistake(CODE_INVALID, error.to_string()),
    }
}

pub(super) async fn range(kv: Kv, body: Bytes) -> HttpResponse {
    answer(&body, |keys: Keys| Ok(kv.with(|store, _| store.range(&keys))))
}

pub(super) async fn put(kv: Kv, body: Bytes) -> HttpResponse {
    answer(&body, |put: Put| kv.with(|store, _| store.put(put)))
}

pub(super) async fn delete(kv: Kv, body: Bytes) -> HttpResponse {
    answer(&body, |keys: Keys| Ok(kv.with(|store, _| store.delete(&keys))))
}

pub(super) async fn txn(kv: Kv, body: Bytes) -> HttpResponse {
    answer(&body, |txn: Txn| kv.with(|store, _| store.txn(txn)))
}

pub(super) async fn compact(kv: Kv, body: Bytes) -> HttpResponse {
    #[derive(serde::Deserialize)]
    struct Compaction {
        revision: Int,
    }
    answer(&body, |wanted: Compaction| {
        kv.with(|store, _| store.compact(wanted.revision.0));
        Ok(super::message::Written::default())
    })
}

pub(super) async fn grant(kv: Kv, body: Bytes) -> HttpResponse {
    answer(&body, |call: LeaseCall| Ok(kv.with(|store, now_ms| store.grant(&call, now_ms))))
}

pub(super) async fn keep_alive(kv: Kv, body: Bytes) -> HttpResponse {
    answer(&body, |call: LeaseCall| {
        Ok(Line { result: kv.with(|store, now_ms| store.keep_alive(call.id, now_ms)) })
    })
}

pub(super) async fn revoke(kv: Kv, body: Bytes) -> HttpResponse {
    answer(&body, |call: LeaseCall| kv.with(|store, _| store.revoke(call.id)))
}

pub(super) async fn watching(kv: Kv) -> HttpResponse {
    HttpResponse::Ok().json(*kv.watching.lock())
}

/// Counts a watch as long as it is open.
struct Open(Kv);

impl Open {
    fn new(kv: Kv) -> Self {
        *kv.watching.lock() += 1;
        Self(kv)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        *self.0.watching.lock() -= 1;
    }
}

struct Tail {
    open: Open,
    faults: Data<Faults>,
    request: HttpRequest,
    watch: Watch,
    next: i64,
    quiet_until_ms: u64,
    ended: bool,
}

pub(super) async fn watch(
    kv: Kv,
    faults: Data<Faults>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let watch = match serde_json::from_slice::<WatchCall>(&body) {
        Ok(call) => call.create_request,
        Err(error) => return mistake(CODE_INVALID, error.to_string()),
    };
    let revision = kv.with(|store, _| store.revision());
    let next = if watch.start_revision.is_zero() { revision + 1 } else { watch.start_revision.0 };
    let created = Notice { created: true, header: header(revision), ..Notice::default() };
    let quiet_until_ms = kv.now_ms() + kv.progress_ms;
    let open = Open::new(kv);
    let tail = Tail { open, faults, request, watch, next, quiet_until_ms, ended: false };
    let first = stream::once(async move { Ok(json_line(&Line { result: created })) });
    let rest = stream::unfold(tail, |tail| async { tail.deliver().await });
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming::<_, actix_web::Error>(stream::StreamExt::chain(first, rest))
}

fn header(revision: i64) -> super::message::Header {
    super::message::Header { revision: Int(revision) }
}

impl Tail {
    async fn deliver(mut self) -> Option<(Result<Bytes, actix_web::Error>, Self)> {
        if self.ended {
            return None;
        }
        let mut changed = self.open.0.changed.subscribe();
        loop {
            self.faults.thawed().await;
            if self.faults.outage() {
                break_connection(&self.request);
                return None;
            }
            if let Some(notice) = self.look() {
                actix_rt::time::sleep(self.faults.delay()).await;
                return Some((Ok(json_line(&Line { result: notice })), self));
            }
            let _ = actix_rt::time::timeout(WATCH_TICK, changed.changed()).await;
        }
    }

    fn look(&mut self) -> Option<Notice> {
        let notice = self.open.0.with(|store, _| store.changes_since(&self.watch, self.next));
        let now_ms = self.open.0.now_ms();
        self.ended = notice.canceled;
        let progress = self.watch.progress_notify && now_ms >= self.quiet_until_ms;
        if notice.events.is_empty() && !notice.canceled && !progress {
            return None;
        }
        self.next = notice.header.revision.0 + 1;
        self.quiet_until_ms = now_ms + self.open.0.progress_ms;
        Some(notice)
    }
}
