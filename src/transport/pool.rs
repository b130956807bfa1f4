//! Connections kept for reuse, and calls over them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::Failure;
use super::connection::Connection;
use crate::clock::{Clock, Time};

/// Idle time after which a connection isn't used again, if its server names none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Safety margin before the server's own idle timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Most idle connections kept for one address.
const MAX_IDLE: usize = 16;

struct Idle {
    connection: Connection,
    until: Time,
}

/// Connections by address.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    clock: Arc<dyn Clock>,
}

/// The head of an answer, and its body still to come.
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
    /// Whether the body's end is told by its framing, not by the connection's end.
    pub framed: bool,
}

/// A body that is read piece by piece; dropping it early closes the connection.
pub struct Body {
    incoming: Incoming,
    connection: Option<Connection>,
    address: SocketAddr,
    reuse_until: Option<Time>,
    pool: Rc<Pool>,
}

impl Pool {
    /// An empty pool.
    pub fn new(clock: Arc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self { idle: RefCell::default(), clock })
    }

    /// Sends one request, over an idle connection if one is left.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<Response, Failure> {
        let mut request = request;
        while let Some(mut connection) = self.take(address) {
            match connection.sender.try_send_request(request).await {
                Ok(answer) => return Ok(self.answer(address, connection, answer)),
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before anything was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Sent(error.into_error().to_string())),
                },
            }
        }
        let mut connection = Connection::open(address, connect_timeout).await?;
        match connection.sender.try_send_request(request).await {
            Ok(answer) => Ok(self.answer(address, connection, answer)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unsent { Failure::NotSent(reason) } else { Failure::Sent(reason) })
            }
        }
    }

    /// Closes idle connections that are past their time.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|idle| !idle.until.passed(now) && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(Idle { connection, until }) = kept.pop() {
            if !until.passed(now) && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, connection: Connection, until: Time) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.push(Idle { connection, until });
        if kept.len() > MAX_IDLE {
            kept.remove(0);
        }
    }

    fn answer(
        self: &Rc<Self>,
        address: SocketAddr,
        connection: Connection,
        answer: http::Response<Incoming>,
    ) -> Response {
        let (head, incoming) = answer.into_parts();
        let framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING)
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let reuse_until = if framed { self.reuse_until(&head.headers) } else { None };
        let body = Body {
            incoming,
            connection: Some(connection),
            address,
            reuse_until,
            pool: self.clone(),
        };
        Response { status: head.status, headers: head.headers, body, framed }
    }

    fn reuse_until(&self, headers: &HeaderMap) -> Option<Time> {
        let closes = headers
            .get_all(CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            return None;
        }
        let idle = named_idle_timeout(headers).unwrap_or(IDLE_TIMEOUT);
        let idle = idle.checked_sub(IDLE_MARGIN)?;
        Some(self.clock.now().after(idle))
    }
}

/// Reads `timeout=SECONDS` of a `Keep-Alive` header.
fn named_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

impl Body {
    /// The next piece; none at the end of a whole body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                self.release();
                return Ok(None);
            };
            let frame = frame.map_err(|error| Failure::Sent(error.to_string()))?;
            if let Ok(piece) = frame.into_data() {
                return Ok(Some(piece));
            }
        }
    }

    /// Reads the rest, at most `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                return Err(Failure::Sent(format!("the answer is over {limit} bytes")));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Closes the connection: the rest isn't wanted.
    pub fn close(&mut self) {
        self.connection = None;
    }

    fn release(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if let Some(until) = self.reuse_until {
            self.pool.put(self.address, connection, until);
        }
    }
}
