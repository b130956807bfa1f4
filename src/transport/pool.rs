//! Connection pool.

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
use super::bound::{Limit, Passed, Terms};
use super::connection::{Connection, READ_BUFFER_BYTES};
use super::connector::Connector;
use crate::clock::{Clock, Time};

/// Idle timeout of a connection whose server announces none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Safety margin before the server's idle timeout within which a connection isn't reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 16;
/// Maximum size of a body on the wire where its reader states no other bound, in bytes: above
/// the largest answer that any reader collects, in small chunks.
const MAX_WIRE_BYTES: usize = 32 << 20;

/// When a request is sent at the latest, and when its answer's head is due.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    /// Deadline of the send.
    pub send: Time,
    /// Maximum time to connect.
    pub connect: Duration,
    /// Deadline of the whole head, interim answers included.
    pub head: Time,
    /// Maximum time from the first byte of the head to its end.
    pub begun: Duration,
    /// Time at which the connection must have been open; `Time::NEVER` if any will do.
    pub opened_by: Time,
}

impl Due {
    /// Due by `head`, whenever it begins.
    pub fn by(head: Time, connect: Duration) -> Self {
        Self { send: Time::NEVER, connect, head, begun: Duration::MAX, opened_by: Time::NEVER }
    }
}

struct Idle {
    connection: Connection,
    until: Time,
}

impl Idle {
    /// Whether a request may be sent over it that needs a connection open at `opened_by`.
    fn is_usable(&self, opened_by: Time, now: Time) -> bool {
        !self.until.passed(now)
            && self.connection.sender.is_ready()
            && self.connection.opened_at <= opened_by
    }
}

/// Pool of idle connections by address.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    clock: Arc<dyn Clock>,
    connector: Rc<dyn Connector>,
}

/// Head of a response, with its body still to be read.
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Body,
    /// The VM that its connection goes through; none if that is direct.
    pub through: Option<SocketAddr>,
    /// When its connection was open.
    pub opened_at: Time,
    /// Whether its connection had carried an answer before.
    pub reused: bool,
    /// Whether the body is delimited by its framing rather than by the end of the connection.
    pub framed: bool,
}

/// Response body that is read in chunks; dropping it early closes the connection.
pub struct Body {
    incoming: Incoming,
    connection: Option<Connection>,
    address: SocketAddr,
    reuse_until: Option<Time>,
    pool: Rc<Pool>,
}

/// What a connection that sends nothing shows of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It stayed open.
    Open,
    /// It was accepted and closed.
    Closed,
    /// It was refused.
    Refused,
    /// Nothing came back in time.
    Silent,
}

impl Pool {
    /// Creates an empty pool of connections that `connector` opens.
    pub fn new(clock: Arc<dyn Clock>, connector: Rc<dyn Connector>) -> Rc<Self> {
        Rc::new(Self { idle: RefCell::default(), clock, connector })
    }

    /// Sends a request, over an idle connection if there is one. `Failure::Late` if there is none
    /// that was open in time.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        due: Due,
    ) -> Result<Response, Failure> {
        let mut request = request;
        while let Some(mut connection) = self.take(address, due.opened_by) {
            self.check_time(due)?;
            match self.head(&mut connection, request, due).await {
                Ok(response) => return Ok(self.response(address, connection, response)),
                // The idle connection was closed before anything was sent.
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        if due.opened_by != Time::NEVER {
            return Err(Failure::Late);
        }
        let connecting = Connection::open(&*self.connector, &self.clock, address, due.connect);
        let mut connection = connecting.await?;
        self.check_time(due)?;
        match self.head(&mut connection, request, due).await {
            Ok(response) => Ok(self.response(address, connection, response)),
            Err((failure, _)) => Err(failure),
        }
    }

    /// Opens a connection and keeps it idle.
    pub async fn open(&self, address: SocketAddr, timeout: Duration) -> Result<(), Failure> {
        let opening = Connection::open(&*self.connector, &self.clock, address, timeout);
        let mut connection = opening.await?;
        // Until its task has run for the first time, it would be taken for a closed one.
        let ready = connection.sender.ready().await;
        ready.map_err(|error| Failure::NotSent(error.to_string()))?;
        let until = connection.opened_at.after(IDLE_TIMEOUT.saturating_sub(IDLE_MARGIN));
        self.put(address, connection, until);
        Ok(())
    }

    /// Whether a server still accepts connections and keeps one open for `pause`. The connection
    /// is kept idle after that.
    pub async fn probe(&self, address: SocketAddr, timeout: Duration, pause: Duration) -> Probe {
        let began = self.clock.now();
        let opening = Connection::open(&*self.connector, &self.clock, address, timeout);
        let Ok(mut connection) = opening.await else {
            let is_late = began.after(timeout).passed(self.clock.now());
            return if is_late { Probe::Silent } else { Probe::Refused };
        };
        if connection.sender.ready().await.is_err() {
            return Probe::Closed;
        }
        tokio::time::sleep(pause).await;
        if connection.sender.is_closed() {
            return Probe::Closed;
        }
        let until = connection.opened_at.after(IDLE_TIMEOUT.saturating_sub(IDLE_MARGIN));
        self.put(address, connection, until);
        Probe::Open
    }

    /// Fails if it is too late to send.
    fn check_time(&self, due: Due) -> Result<(), Failure> {
        if due.send.passed(self.clock.now()) { Err(Failure::Late) } else { Ok(()) }
    }

    /// Sends a request and reads the head of its answer; the request is returned if no byte of
    /// it was sent.
    async fn head(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        due: Due,
    ) -> Result<http::Response<Incoming>, (Failure, Option<Request<Full<Bytes>>>)> {
        let bound = connection.bound.clone();
        bound.borrow_mut().begin_head(due.head, due.begun);
        let mut sending = std::pin::pin!(connection.sender.try_send_request(request));
        loop {
            let wait = bound.borrow().wait(self.clock.now());
            let Ok(outcome) = tokio::time::timeout(wait, sending.as_mut()).await else {
                let mut bound = bound.borrow_mut();
                let failure = match bound.check(self.clock.now()) {
                    Ok(()) => continue,
                    Err(passed) if bound.has_bytes() => Failure::Unbounded(passed),
                    Err(_) => Failure::Sent("no answer in time".to_owned()),
                };
                return Err((failure, None));
            };
            return outcome.map_err(|mut error| {
                let unsent = error.take_message();
                let error = error.into_error();
                let mut bound = bound.borrow_mut();
                let failure = match bound.passed() {
                    _ if unsent.is_some() => Failure::NotSent(error.to_string()),
                    Some(passed) => Failure::Unbounded(passed),
                    // hyper found the head larger than its buffer.
                    None if error.is_parse() && bound.bytes() >= READ_BUFFER_BYTES => {
                        Failure::Unbounded(bound.pass(Limit::HeadBytes))
                    }
                    None => Failure::Sent(error.to_string()),
                };
                (failure, unsent)
            });
        }
    }

    /// Closes expired idle connections.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections
                .retain(|idle| !idle.until.passed(now) && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Whether an idle connection to `address` is kept.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        self.idle.borrow().get(&address).is_some_and(|connections| !connections.is_empty())
    }

    /// Whether an idle connection to `address` is kept that was open at `by`.
    pub fn has_idle_opened_by(&self, address: SocketAddr, by: Time) -> bool {
        let now = self.clock.now();
        let is_usable = |idle: &Idle| idle.is_usable(by, now);
        self.idle.borrow().get(&address).is_some_and(|idle| idle.iter().any(is_usable))
    }

    /// Whether an idle connection to `address` is kept that was opened after `after`, and by `by`.
    pub fn has_idle_opened_within(&self, address: SocketAddr, after: Time, by: Time) -> bool {
        let now = self.clock.now();
        let is_within = |idle: &Idle| idle.is_usable(by, now) && idle.connection.opened_at > after;
        self.idle.borrow().get(&address).is_some_and(|idle| idle.iter().any(is_within))
    }

    /// Closes all idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// The idle connection last used that was open at `opened_by`.
    fn take(&self, address: SocketAddr, opened_by: Time) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| idle.is_usable(Time::NEVER, now));
        let position = connections.iter().rposition(|idle| idle.is_usable(opened_by, now))?;
        Some(connections.remove(position).connection)
    }

    fn put(&self, address: SocketAddr, connection: Connection, until: Time) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.push(Idle { connection, until });
        if connections.len() > MAX_IDLE {
            connections.remove(0);
        }
    }

    fn response(
        self: &Rc<Self>,
        address: SocketAddr,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> Response {
        let (head, incoming) = response.into_parts();
        let framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING)
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let reuse_until = if framed { self.reuse_until(&head.headers) } else { None };
        let (through, reused) = (connection.through, connection.reused);
        let opened_at = connection.opened_at;
        connection.bound.borrow_mut().begin_body(Terms::bytes(MAX_WIRE_BYTES), self.clock.now());
        let body = Body {
            incoming,
            connection: Some(connection),
            address,
            reuse_until,
            pool: self.clone(),
        };
        Response {
            status: head.status,
            headers: head.headers,
            body,
            through,
            framed,
            reused,
            opened_at,
        }
    }

    fn reuse_until(&self, headers: &HeaderMap) -> Option<Time> {
        let will_close = headers
            .get_all(CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if will_close {
            return None;
        }
        let idle = announced_idle_timeout(headers).unwrap_or(IDLE_TIMEOUT);
        let idle = idle.checked_sub(IDLE_MARGIN)?;
        Some(self.clock.now().after(idle))
    }
}

/// Parses `timeout=SECONDS` of a `Keep-Alive` header.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

impl Body {
    /// States the bounds of the body, before it is read.
    pub fn bound(&mut self, terms: Terms) {
        if let Some(connection) = &self.connection {
            connection.bound.borrow_mut().begin_body(terms, self.pool.clock.now());
        }
    }

    /// Records that chunks made up a complete event.
    pub fn record_progress(&mut self) {
        if let Some(connection) = &self.connection {
            connection.bound.borrow_mut().progressed(self.pool.clock.now());
        }
    }

    /// Records that the body wasn't read for `span`, since its reader had no use for it.
    pub fn postpone(&mut self, span: Duration) {
        if let Some(connection) = &self.connection {
            connection.bound.borrow_mut().postpone(span);
        }
    }

    /// The failure of a body whose reader found it too large.
    pub fn too_large(&self) -> Failure {
        let passed = match &self.connection {
            Some(connection) => connection.bound.borrow_mut().pass(Limit::BodyBytes),
            None => Passed { limit: Limit::BodyBytes, bytes: 0 },
        };
        Failure::Unbounded(passed)
    }

    /// Returns the next chunk, or none at the end of a complete body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(bound) = self.connection.as_ref().map(|open| open.bound.clone()) else {
            return Err(Failure::Sent("the connection was closed".to_owned()));
        };
        let clock = self.pool.clock.clone();
        // Bytes that made up no event don't get by the deadline. Without such bytes, what has
        // arrived is taken first: this process may have been suspended.
        if bound.borrow().has_bytes() {
            bound.borrow_mut().check(clock.now()).map_err(Failure::Unbounded)?;
        }
        loop {
            let wait = bound.borrow().wait(clock.now());
            let Ok(frame) = tokio::time::timeout(wait, self.incoming.frame()).await else {
                let mut bound = bound.borrow_mut();
                match bound.check(clock.now()) {
                    Ok(()) => continue,
                    Err(passed) if bound.has_bytes() => return Err(Failure::Unbounded(passed)),
                    Err(_) => return Err(Failure::Sent("the stream fell silent".to_owned())),
                }
            };
            let Some(frame) = frame else {
                self.return_to_pool();
                return Ok(None);
            };
            let frame = frame.map_err(|error| match bound.borrow().passed() {
                Some(passed) => Failure::Unbounded(passed),
                None => Failure::Sent(error.to_string()),
            })?;
            if let Ok(chunk) = frame.into_data() {
                return Ok(Some(chunk));
            }
        }
    }

    /// Reads the rest of the body; fails if it exceeds `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut collected = BytesMut::new();
        while let Some(chunk) = self.next().await? {
            if collected.len() + chunk.len() > limit {
                return Err(self.too_large());
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }

    /// Closes the connection and discards the rest of the body.
    pub fn close(&mut self) {
        self.connection = None;
    }

    fn return_to_pool(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.bound.borrow_mut().end();
        if let Some(until) = self.reuse_until {
            connection.reused = true;
            self.pool.put(self.address, connection, until);
        }
    }
}
