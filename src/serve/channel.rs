//! Calls to the store, directly or through a peer.
//!
//! The store may be unreachable for single VMs while it serves others. A call
//! that fails directly is relayed through a VM that can reach the store. Its
//! response is as fresh as a direct one, since the peer reads the store after
//! the call was sent. A write whose outcome is unknown is not retried here.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use super::purpose::Purpose;
use super::store::Way;
use crate::clock::{Clock, Time};
use crate::error::{Error, Kind, Result};
use crate::transport::{Direct, Due, Failure, Pool};

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a direct call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a call through a peer; longer than the peer's own `CALL_TIMEOUT`.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time for which calls go through peers first after a direct call failed.
const AVOID_DIRECT: Duration = Duration::from_millis(2_000);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Addresses of the peers that can reach the store and relay calls to it.
pub type Relays = Rc<RefCell<Vec<SocketAddr>>>;

/// Client of the store, with peers as fallback.
pub struct Channel {
    address: SocketAddr,
    pool: Rc<Pool>,
    clock: Arc<dyn Clock>,
    relays: Relays,
    avoid_direct_until: Cell<Time>,
    next: Cell<usize>,
}

/// Status and body of a response of the store.
pub type Reply = (StatusCode, Bytes);

/// Why one attempt failed.
enum CallError {
    /// The call had no effect.
    NoEffect(String),
    /// The connection broke off; as `Unknown`.
    Broken(String),
    /// A write may have been applied, or may still be applied later.
    Unknown(String),
}

impl Channel {
    /// Creates a channel to the store at `address`; `relays` is updated by its owner.
    pub fn new(address: SocketAddr, clock: Arc<dyn Clock>, relays: Relays) -> Self {
        Self {
            address,
            pool: Pool::new(clock.clone(), Rc::new(Direct)),
            clock,
            relays,
            avoid_direct_until: Cell::new(Time(0)),
            next: Cell::new(0),
        }
    }

    /// Makes a call. If it fails, it is retried once over the other path (direct or through
    /// a peer): a read after any failure, a write only if it had no effect. The request's
    /// extensions may hold its `Purpose` and a `Way`.
    pub async fn call(&self, request: Request<Bytes>) -> Result<Reply> {
        let is_write = is_write(&request);
        let now = self.clock.now();
        let is_direct = request.extensions().get() == Some(&Way::Direct);
        let relay = if is_direct { None } else { self.next_relay() };
        let avoid_direct = !self.avoid_direct_until.get().passed(now);
        let (first, second) = match relay {
            Some(relay) if avoid_direct => (relay, self.address),
            Some(relay) => (self.address, relay),
            None => (self.address, self.address),
        };
        let was_kept = self.pool.has_idle(first);
        let failure = match self.attempt(first, &request).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => failure,
        };
        self.record_failure(first);
        let retryable = !is_write || matches!(failure, CallError::NoEffect(_));
        // That the store has closed a kept connection says nothing of the store.
        let is_new_way = first != second || was_kept && matches!(failure, CallError::Broken(_));
        if !retryable || !is_new_way {
            return Err(error(failure, is_write));
        }
        match self.attempt(second, &request).await {
            Ok(reply) => {
                if second == self.address {
                    self.avoid_direct_until.set(Time(0));
                }
                Ok(reply)
            }
            Err(failure) => {
                self.record_failure(second);
                Err(error(failure, is_write))
            }
        }
    }

    /// Forwards a peer's call to the store directly, never through another peer.
    pub async fn forward(&self, mut request: Request<Bytes>) -> Reply {
        request.extensions_mut().insert(Purpose::Relay);
        match self.attempt(self.address, &request).await {
            Ok(reply) => reply,
            Err(CallError::NoEffect(reason)) => (StatusCode::SERVICE_UNAVAILABLE, reason.into()),
            Err(CallError::Broken(reason) | CallError::Unknown(reason)) => {
                (StatusCode::GATEWAY_TIMEOUT, reason.into())
            }
        }
    }

    fn record_failure(&self, address: SocketAddr) {
        self.pool.close_idle(address);
        if address == self.address {
            self.avoid_direct_until.set(self.clock.now().after(AVOID_DIRECT));
        }
    }

    fn next_relay(&self) -> Option<SocketAddr> {
        let relays = self.relays.borrow();
        let next = self.next.get().wrapping_add(1);
        self.next.set(next);
        (!relays.is_empty()).then(|| relays[next % relays.len()])
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
    ) -> std::result::Result<Reply, CallError> {
        let started = self.clock.now();
        let outcome = self.send_once(address, request).await;
        let path = if address == self.address { "direct" } else { "peer" };
        let kind = if is_write(request) { "write" } else { "read" };
        let answer = match &outcome {
            Ok(_) => "answered",
            Err(CallError::NoEffect(_)) => "not done",
            Err(CallError::Broken(_) | CallError::Unknown(_)) => "unknown",
        };
        let purpose = request.extensions().get().map_or("", |purpose: &Purpose| purpose.label());
        metrics::counter!("serve_store_calls_total", "way" => path, "kind" => kind,
            "answer" => answer, "purpose" => purpose)
        .increment(1);
        metrics::histogram!("serve_store_call_seconds", "kind" => kind)
            .record(started.until(self.clock.now()).as_secs_f64());
        outcome
    }

    async fn send_once(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
    ) -> std::result::Result<Reply, CallError> {
        let direct = address == self.address;
        let timeout = if direct { CALL_TIMEOUT } else { RELAY_TIMEOUT };
        let sent = request.clone().map(Full::new);
        let pending = async {
            let due = Due::by(self.clock.now().after(timeout), CONNECT_TIMEOUT);
            let mut answer = self.pool.send(address, sent, due).await?;
            let body = answer.body.collect(MAX_RESPONSE_BYTES).await?;
            Ok((answer.status, body))
        };
        let outcome: std::result::Result<Reply, Failure> =
            match tokio::time::timeout(timeout, pending).await {
                Ok(outcome) => outcome,
                Err(_) => {
                    return Err(CallError::Unknown(format!(
                        "no answer in {} ms",
                        timeout.as_millis()
                    )));
                }
            };
        match outcome {
            Ok((status, _)) if had_no_effect(status) => {
                Err(CallError::NoEffect(format!("the service answered {}", status.as_u16())))
            }
            Ok((status, _)) if status.is_server_error() => {
                Err(CallError::Unknown(format!("the service answered {}", status.as_u16())))
            }
            Ok(reply) => Ok(reply),
            Err(failure @ Failure::Late) => Err(CallError::NoEffect(failure.to_string())),
            Err(Failure::NotSent(reason)) => Err(CallError::NoEffect(reason)),
            Err(Failure::Sent(reason)) => Err(CallError::Broken(reason)),
            Err(Failure::Unbounded(passed)) => {
                metrics::counter!("serve_answers_cut_total", "cause" => passed.limit.as_str())
                    .increment(1);
                Err(CallError::Unknown(passed.to_string()))
            }
        }
    }
}

/// Whether a call may modify the store.
fn is_write(request: &Request<Bytes>) -> bool {
    request.method() != Method::GET
}

/// Whether a status guarantees that the call had no effect.
fn had_no_effect(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

fn error(failure: CallError, is_write: bool) -> Error {
    match failure {
        CallError::Broken(reason) | CallError::Unknown(reason) if is_write => {
            Error::new(Kind::WriteUnknown, reason)
        }
        CallError::Broken(reason) | CallError::Unknown(reason) | CallError::NoEffect(reason) => {
            Error::new(Kind::PlatformUnavailable, reason)
        }
    }
}
