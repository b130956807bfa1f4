//! Key-value client for etcd's gateway, which serves JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::mpsc;

use super::gateway::{
    Base64, Compare, Int, KeepAliveResponse, LeaseRequest, LeaseResponse, Operation, PutRequest,
    RangeRequest, RangeResponse, TxnRequest, TxnResponse, WatchCreate, WatchLine, WatchRequest,
    WatchResponse,
};
use super::http::{Body, Failure, Http, read_only};
use super::{Change, Entry, KeyValue, LeaseId, Notice, Range, Swap, Swapped};
use crate::error::{Error, Kind, Result};

/// Capacity of a watch's queue; when a slow reader fills it, the watch stops
/// reading from the connection.
const NOTICE_QUEUE: usize = 256;
/// Maximum length of a watch line, in bytes: one event with the largest value.
const MAX_LINE_BYTES: usize = 8 << 20;

/// Client of an etcd v3 gateway, bound to the arbiter that created it.
pub struct Etcd {
    http: Http,
}

impl Etcd {
    /// Creates a client of the gateway at `addresses`, using one address at a time.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { http: Http::new(addresses) }
    }

    async fn read(&self, request: RangeRequest) -> Result<Range> {
        let response: RangeResponse = read_only(self.http.post("/v3/kv/range", &request).await)?;
        let entries = response.kvs.into_iter().map(Entry::from).collect();
        Ok(Range { version: response.header.revision.version(), entries })
    }

    async fn swap_with(&self, swap: Swap, marker: Option<String>) -> Result<Swapped> {
        let request = transaction(swap, marker);
        let response: TxnResponse =
            self.http.post("/v3/kv/txn", &request).await.map_err(Failure::into_write_error)?;
        if response.succeeded {
            return Ok(Swapped::Applied(response.header.revision.version()));
        }
        let current = response.responses.into_iter().find_map(|response| response.response_range);
        Ok(Swapped::Refused(
            current.and_then(|range| range.kvs.into_iter().next()).map(Entry::from),
        ))
    }

    async fn lease(&self, path: &str, request: LeaseRequest) -> Result<LeaseResponse> {
        self.http.post(path, &request).await.map_err(Failure::into_write_error)
    }
}

fn transaction(swap: Swap, marker: Option<String>) -> TxnRequest {
    let key = Base64(swap.key.into_bytes());
    let lease = swap.lease.map(|lease| Int(lease.0));
    let write = match swap.value {
        Some(value) => Operation::Put(PutRequest { key: key.clone(), value: Base64(value), lease }),
        None => Operation::DeleteRange(key_request(key.clone())),
    };
    let mark = marker.map(|marker| {
        let key = Base64(marker.into_bytes());
        Operation::Put(PutRequest { key, value: Base64::default(), lease: None })
    });
    let compare = Compare {
        key: key.clone(),
        target: "MOD",
        result: "EQUAL",
        mod_revision: swap.expected.into(),
    };
    TxnRequest {
        compare: vec![compare],
        success: std::iter::once(write).chain(mark).collect(),
        failure: vec![Operation::Range(key_request(key))],
    }
}

fn key_request(key: Base64) -> RangeRequest {
    RangeRequest { key, range_end: None, min_mod_revision: None }
}

fn prefix_request(prefix: &str) -> RangeRequest {
    let range_end = Some(Base64(prefix_end(prefix)));
    RangeRequest { key: Base64(prefix.into()), range_end, min_mod_revision: None }
}

/// Returns the first key after all keys that begin with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    // UTF-8 never contains 0xff, so incrementing the last byte can't overflow.
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

impl KeyValue for Etcd {
    fn range(&self, prefix: &str) -> LocalBoxFuture<'_, Result<Range>> {
        Box::pin(self.read(prefix_request(prefix)))
    }

    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>>> {
        let request = key_request(Base64(key.into()));
        Box::pin(async move { Ok(self.read(request).await?.entries.into_iter().next()) })
    }

    fn since(&self, prefix: &str, version: u64) -> LocalBoxFuture<'_, Result<Range>> {
        let mut request = prefix_request(prefix);
        request.min_mod_revision = Some((version + 1).into());
        Box::pin(async move {
            let mut range = self.read(request).await?;
            range.entries.retain(|entry| entry.version > version);
            Ok(range)
        })
    }

    fn swap(&self, swap: Swap) -> LocalBoxFuture<'_, Result<Swapped>> {
        Box::pin(self.swap_with(swap, None))
    }

    fn swap_marked(&self, swap: Swap, marker: &str) -> LocalBoxFuture<'_, Result<Swapped>> {
        Box::pin(self.swap_with(swap, Some(marker.to_owned())))
    }

    fn grant(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId>> {
        let seconds = ttl.as_secs().max(1);
        Box::pin(async move {
            let request = LeaseRequest { ttl: Some(seconds.into()), id: None };
            Ok(LeaseId(self.lease("/v3/lease/grant", request).await?.id.0))
        })
    }

    fn renew(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let request = LeaseRequest { ttl: None, id: Some(Int(lease.0)) };
            let response: KeepAliveResponse =
                read_only(self.http.post("/v3/lease/keepalive", &request).await)?;
            match response.result.ttl.0 {
                1.. => Ok(()),
                _ => Err(Error::new(Kind::NotFound, "the lease has ended")),
            }
        })
    }

    fn revoke(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let request = LeaseRequest { ttl: None, id: Some(Int(lease.0)) };
            self.lease("/v3/lease/revoke", request).await.map(drop)
        })
    }

    fn watch(&self, prefix: &str, from: u64) -> LocalBoxFuture<'_, Result<mpsc::Receiver<Notice>>> {
        let create_request = WatchCreate {
            key: Base64(prefix.into()),
            range_end: Base64(prefix_end(prefix)),
            start_revision: from.into(),
            progress_notify: true,
        };
        Box::pin(async move {
            let request = WatchRequest { create_request };
            let body = read_only(self.http.stream("/v3/watch", &request).await)?;
            let (sender, receiver) = mpsc::channel(NOTICE_QUEUE);
            actix_rt::spawn(forward(body, sender));
            Ok(receiver)
        })
    }
}

/// Sends the lines of a watch as notices until either side closes.
async fn forward(mut body: Body, notices: mpsc::Sender<Notice>) {
    let mut buffer = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            chunk = body.next() => chunk,
            () = notices.closed() => return,
        };
        let Some(Ok(chunk)) = chunk else { return };
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            let Ok(line) = serde_json::from_slice::<WatchLine>(&line) else { return };
            let compacted = line.result.canceled;
            let notice = notice(line.result);
            if notices.send(notice).await.is_err() || compacted {
                return;
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            return;
        }
    }
}

fn notice(response: WatchResponse) -> Notice {
    if response.canceled || response.compact_revision.0 > 0 {
        return Notice::TooOld;
    }
    if response.created || response.events.is_empty() {
        return Notice::Progress(response.header.revision.version());
    }
    let changes = response.events.into_iter().map(|event| {
        let deleted = event.kind == "DELETE";
        let entry = Entry::from(event.kv);
        Change { version: entry.version, key: entry.key, value: (!deleted).then_some(entry.value) }
    });
    Notice::Changes(changes.collect())
}
