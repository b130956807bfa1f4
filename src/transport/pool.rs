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
use super::connection::Connection;
use super::connector::Connector;
use crate::clock::{Clock, Time};

/// Idle timeout of a connection whose server announces none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Safety margin before the server's idle timeout within which a connection isn't reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 16;

struct Idle {
    connection: Connection,
    until: Time,
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

impl Pool {
    /// Creates an empty pool of connections that `connector` opens.
    pub fn new(clock: Arc<dyn Clock>, connector: Rc<dyn Connector>) -> Rc<Self> {
        Rc::new(Self { idle: RefCell::default(), clock, connector })
    }

    /// Sends a request, over an idle connection if there is one.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<Response, Failure> {
        let mut request = request;
        while let Some(mut connection) = self.take(address) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.response(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before anything was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Sent(error.into_error().to_string())),
                },
            }
        }
        let mut connection = Connection::open(&*self.connector, address, connect_timeout).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.response(address, connection, response)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unsent { Failure::NotSent(reason) } else { Failure::Sent(reason) })
            }
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

    /// Closes all idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(Idle { connection, until }) = connections.pop() {
            if !until.passed(now) && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
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
        let through = connection.through;
        let body = Body {
            incoming,
            connection: Some(connection),
            address,
            reuse_until,
            pool: self.clone(),
        };
        Response { status: head.status, headers: head.headers, body, through, framed }
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
    /// Returns the next chunk, or none at the end of a complete body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                self.return_to_pool();
                return Ok(None);
            };
            let frame = frame.map_err(|error| Failure::Sent(error.to_string()))?;
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
                return Err(Failure::Sent(format!("the answer is over {limit} bytes")));
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
        let Some(connection) = self.connection.take() else { return };
        if let Some(until) = self.reuse_until {
            self.pool.put(self.address, connection, until);
        }
    }
}
