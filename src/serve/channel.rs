//! Calls to the store, directly or through a peer.
//!
//! The store may turn single VMs away while it serves others. A call that
//! can't be made directly goes through a VM that the store answers; its answer
//! is as fresh as a direct one, since it is read after the call was sent. A
//! write whose outcome is unknown is not repeated here.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::clock::{Clock, Time};
use crate::error::{Error, Kind, Result};
use crate::transport::{Failure, Pool};

/// Bound on connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bound on a direct call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bound on a call through a peer; the peer's own call fits in.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time for which calls go through peers after a direct one failed.
const AVOID_DIRECT: Duration = Duration::from_millis(2_000);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Addresses of peers that pass calls on, those that the store answers only.
pub type Relays = Rc<RefCell<Vec<SocketAddr>>>;

/// The way to the store.
pub struct Channel {
    address: SocketAddr,
    pool: Rc<Pool>,
    clock: Arc<dyn Clock>,
    relays: Relays,
    avoid_direct_until: Cell<Time>,
    turn: Cell<usize>,
}

/// An answer of the store.
pub type Reply = (StatusCode, Bytes);

/// How one attempt failed.
enum Lost {
    /// Nothing was done.
    NotDone(String),
    /// A write may have been done, or may still be.
    Unknown(String),
}

impl Channel {
    /// The way to the store at `address`.
    pub fn new(address: SocketAddr, clock: Arc<dyn Clock>, relays: Relays) -> Self {
        Self {
            address,
            pool: Pool::new(clock.clone()),
            clock,
            relays,
            avoid_direct_until: Cell::new(Time(0)),
            turn: Cell::new(0),
        }
    }

    /// Makes a call. Reads are repeated through a peer after any failure,
    /// writes only if nothing was done.
    pub async fn call(&self, request: Request<Bytes>) -> Result<Reply> {
        let writes = writes(&request);
        let now = self.clock.now();
        let relay = self.next_relay();
        let avoid = !self.avoid_direct_until.get().passed(now);
        let (first, second) = match relay {
            Some(relay) if avoid => (relay, self.address),
            Some(relay) => (self.address, relay),
            None => (self.address, self.address),
        };
        let lost = match self.attempt(first, &request).await {
            Ok(reply) => return Ok(reply),
            Err(lost) => lost,
        };
        self.note_failure(first);
        let repeatable = !writes || matches!(lost, Lost::NotDone(_));
        if !repeatable || first == second {
            return Err(error(lost, writes));
        }
        match self.attempt(second, &request).await {
            Ok(reply) => {
                if second == self.address {
                    self.avoid_direct_until.set(Time(0));
                }
                Ok(reply)
            }
            Err(lost) => {
                self.note_failure(second);
                Err(error(lost, writes))
            }
        }
    }

    /// Passes a peer's call on; never through another peer.
    pub async fn forward(&self, request: Request<Bytes>) -> Reply {
        match self.attempt(self.address, &request).await {
            Ok(reply) => reply,
            Err(Lost::NotDone(reason)) => (StatusCode::SERVICE_UNAVAILABLE, reason.into()),
            Err(Lost::Unknown(reason)) => (StatusCode::GATEWAY_TIMEOUT, reason.into()),
        }
    }

    fn note_failure(&self, address: SocketAddr) {
        self.pool.close_idle(address);
        if address == self.address {
            self.avoid_direct_until.set(self.clock.now().after(AVOID_DIRECT));
        }
    }

    fn next_relay(&self) -> Option<SocketAddr> {
        let relays = self.relays.borrow();
        let turn = self.turn.get().wrapping_add(1);
        self.turn.set(turn);
        (!relays.is_empty()).then(|| relays[turn % relays.len()])
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
    ) -> std::result::Result<Reply, Lost> {
        let begun = self.clock.now();
        let outcome = self.exchange(address, request).await;
        let way = if address == self.address { "direct" } else { "peer" };
        let kind = if writes(request) { "write" } else { "read" };
        let answer = match &outcome {
            Ok(_) => "answered",
            Err(Lost::NotDone(_)) => "not done",
            Err(Lost::Unknown(_)) => "unknown",
        };
        metrics::counter!("serve_store_calls_total", "way" => way, "kind" => kind,
            "answer" => answer)
        .increment(1);
        metrics::histogram!("serve_store_call_seconds", "kind" => kind)
            .record(begun.until(self.clock.now()).as_secs_f64());
        outcome
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
    ) -> std::result::Result<Reply, Lost> {
        let direct = address == self.address;
        let timeout = if direct { CALL_TIMEOUT } else { RELAY_TIMEOUT };
        let sent = request.clone().map(Full::new);
        let calling = async {
            let mut answer = self.pool.send(address, sent, CONNECT_TIMEOUT).await?;
            let body = answer.body.collect(MAX_ANSWER_BYTES).await?;
            Ok((answer.status, body))
        };
        let outcome: std::result::Result<Reply, Failure> =
            match tokio::time::timeout(timeout, calling).await {
                Ok(outcome) => outcome,
                Err(_) => {
                    return Err(Lost::Unknown(format!("no answer in {} ms", timeout.as_millis())));
                }
            };
        match outcome {
            Ok((status, _)) if refuses(status) => {
                Err(Lost::NotDone(format!("the service answered {}", status.as_u16())))
            }
            Ok((status, _)) if status.is_server_error() => {
                Err(Lost::Unknown(format!("the service answered {}", status.as_u16())))
            }
            Ok(reply) => Ok(reply),
            Err(Failure::NotSent(reason)) => Err(Lost::NotDone(reason)),
            Err(Failure::Sent(reason)) => Err(Lost::Unknown(reason)),
        }
    }
}

/// Whether a call may change something.
fn writes(request: &Request<Bytes>) -> bool {
    request.method() != Method::GET
}

/// Statuses that promise that nothing was done.
fn refuses(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

fn error(lost: Lost, writes: bool) -> Error {
    match lost {
        Lost::Unknown(reason) if writes => Error::new(Kind::WriteUnknown, reason),
        Lost::Unknown(reason) | Lost::NotDone(reason) => {
            Error::new(Kind::PlatformUnavailable, reason)
        }
    }
}
