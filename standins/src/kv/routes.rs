//! HTTP handlers of the key-value service.

use std::time::Duration;

use actix_web::web::{Bytes, Data};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Shared;
use super::json::Int;
use super::message::{Keys, LeaseCall, Put, StreamResponse, Txn, Watch, WatchCall, WatchResponse};
use super::store::LeaseNotFound;
use crate::faults::Faults;
use crate::server::{close_connection, json_line};

/// Interval at which a watch checks for expired leases and outages.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

type Kv = Data<Shared>;

/// gRPC status code for a malformed body (`INVALID_ARGUMENT`).
const CODE_INVALID: u32 = 3;
/// gRPC status code for an unknown lease (`NOT_FOUND`).
const CODE_NOT_FOUND: u32 = 5;

#[derive(Serialize)]
struct ErrorBody {
    error: String,
    code: u32,
    message: String,
}

fn error_response(code: u32, message: String) -> HttpResponse {
    let body = ErrorBody { error: message.clone(), code, message };
    match code {
        CODE_NOT_FOUND => HttpResponse::NotFound().json(body),
        _ => HttpResponse::BadRequest().json(body),
    }
}

fn respond<Q, R, F>(body: &Bytes, run: F) -> HttpResponse
where
    Q: DeserializeOwned,
    R: Serialize,
    F: FnOnce(Q) -> Result<R, LeaseNotFound>,
{
    match serde_json::from_slice(body).map(run) {
        Ok(Ok(response)) => HttpResponse::Ok().json(response),
        Ok(Err(error)) => error_response(CODE_NOT_FOUND, error.to_string()),
        Err(error) => error_response(CODE_INVALID, error.to_string()),
    }
}

pub(super) async fn range(kv: Kv, body: Bytes) -> HttpResponse {
    respond(&body, |keys: Keys| Ok(kv.with(|store, _| store.range(&keys))))
}

pub(super) async fn put(kv: Kv, body: Bytes) -> HttpResponse {
    respond(&body, |put: Put| kv.with(|store, _| store.put(put)))
}

pub(super) async fn delete(kv: Kv, body: Bytes) -> HttpResponse {
    respond(&body, |keys: Keys| Ok(kv.with(|store, _| store.delete(&keys))))
}

pub(super) async fn txn(kv: Kv, body: Bytes) -> HttpResponse {
    respond(&body, |txn: Txn| kv.with(|store, _| store.txn(txn)))
}

pub(super) async fn compact(kv: Kv, body: Bytes) -> HttpResponse {
    #[derive(serde::Deserialize)]
    struct Compaction {
        revision: Int,
    }
    respond(&body, |compaction: Compaction| {
        kv.with(|store, _| store.compact(compaction.revision.0));
        Ok(super::message::PutResponse::default())
    })
}

pub(super) async fn grant(kv: Kv, body: Bytes) -> HttpResponse {
    respond(&body, |request: LeaseCall| Ok(kv.with(|store, now_ms| store.grant(&request, now_ms))))
}

pub(super) async fn keep_alive(kv: Kv, body: Bytes) -> HttpResponse {
    respond(&body, |request: LeaseCall| {
        Ok(StreamResponse { result: kv.with(|store, now_ms| store.keep_alive(request.id, now_ms)) })
    })
}

pub(super) async fn revoke(kv: Kv, body: Bytes) -> HttpResponse {
    respond(&body, |request: LeaseCall| kv.with(|store, _| store.revoke(request.id)))
}

pub(super) async fn watching(kv: Kv) -> HttpResponse {
    HttpResponse::Ok().json(*kv.open_watches.lock())
}

/// Counts an open watch until it is dropped.
struct WatchGuard(Kv);

impl WatchGuard {
    fn new(kv: Kv) -> Self {
        *kv.open_watches.lock() += 1;
        Self(kv)
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        *self.0.open_watches.lock() -= 1;
    }
}

struct WatchStream {
    guard: WatchGuard,
    faults: Data<Faults>,
    request: HttpRequest,
    watch: Watch,
    next_revision: i64,
    next_progress_ms: u64,
    ended: bool,
}

pub(super) async fn watch(
    kv: Kv,
    faults: Data<Faults>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let watch = match serde_json::from_slice::<WatchCall>(&body) {
        Ok(message) => message.create_request,
        Err(error) => return error_response(CODE_INVALID, error.to_string()),
    };
    let revision = kv.with(|store, _| store.revision());
    let next_revision =
        if watch.start_revision.is_zero() { revision + 1 } else { watch.start_revision.0 };
    let created =
        WatchResponse { created: true, header: header(revision), ..WatchResponse::default() };
    let next_progress_ms = kv.now_ms() + kv.progress_ms;
    let guard = WatchGuard::new(kv);
    let state = WatchStream {
        guard,
        faults,
        request,
        watch,
        next_revision,
        next_progress_ms,
        ended: false,
    };
    let first = stream::once(async move { Ok(json_line(&StreamResponse { result: created })) });
    let rest = stream::unfold(state, |state| async { state.next_line().await });
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming::<_, actix_web::Error>(stream::StreamExt::chain(first, rest))
}

fn header(revision: i64) -> super::message::Header {
    super::message::Header { revision: Int(revision) }
}

impl WatchStream {
    async fn next_line(mut self) -> Option<(Result<Bytes, actix_web::Error>, Self)> {
        if self.ended {
            return None;
        }
        let mut changed = self.guard.0.changed.subscribe();
        loop {
            self.faults.wait_unfrozen().await;
            if self.faults.outage() {
                close_connection(&self.request);
                return None;
            }
            if let Some(response) = self.poll() {
                actix_rt::time::sleep(self.faults.delay()).await;
                return Some((Ok(json_line(&StreamResponse { result: response })), self));
            }
            let _ = actix_rt::time::timeout(WATCH_POLL_INTERVAL, changed.changed()).await;
        }
    }

    fn poll(&mut self) -> Option<WatchResponse> {
        let response =
            self.guard.0.with(|store, _| store.changes_since(&self.watch, self.next_revision));
        let now_ms = self.guard.0.now_ms();
        self.ended = response.canceled;
        let progress = self.watch.progress_notify && now_ms >= self.next_progress_ms;
        if response.events.is_empty() && !response.canceled && !progress {
            return None;
        }
        self.next_revision = response.header.revision.0 + 1;
        self.next_progress_ms = now_ms + self.guard.0.progress_ms;
        Some(response)
    }
}
