//! Reads the headers that steer a request.
//!
//! Only values checked here ever reach an upstream, so no header can be
//! injected and no copy of the caller's key can hide in one.

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::Method;
use futures_util::future::LocalBoxFuture;

use super::{Exchange, Filter, Services};
use crate::error::{Error, Kind, Result};

/// Names a request, from and to callers and upstreams.
pub const REQUEST_ID: &str = "x-request-id";
/// Milliseconds that the caller waits.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Names a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest request identifier that is taken, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Longest idempotency key that is taken, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Longest time that a caller may wait.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Reads headers.
pub struct Parse {
    services: Rc<Services>,
}

impl Parse {
    /// Makes the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }

    fn read(&self, exchange: &mut Exchange) -> Result<()> {
        let arrival = &exchange.request;
        exchange.request_id = match arrival.header(REQUEST_ID)? {
            Some(text) if is_identifier(text) => text.into(),
            Some(_) => return Err(malformed(REQUEST_ID)),
            None => format!("{:032x}", rand::random::<u128>()),
        };
        if arrival.method != Method::POST {
            return Err(Error::new(Kind::UnknownRoute, "routes take POST only"));
        }
        exchange.key = match arrival.header("authorization")? {
            Some(text) => Some(bearer(text)?),
            None => None,
        };
        exchange.deadline = match arrival.header(DEADLINE_MS)? {
            Some(text) => {
                let millis: u64 = text.parse().map_err(|_| malformed(DEADLINE_MS))?;
                let span = Duration::from_millis(millis.min(MAX_DEADLINE_MS));
                Some(self.services.context.clock.now().after(span))
            }
            None => None,
        };
        exchange.traceparent = match arrival.header(TRACEPARENT)? {
            Some(text) if is_traceparent(text) => Some(text.into()),
            Some(_) => return Err(malformed(TRACEPARENT)),
            None => None,
        };
        exchange.idempotency_key = match arrival.header(IDEMPOTENCY_KEY)? {
            Some(text) if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len()) => {
                Some(text.into())
            }
            Some(_) => return Err(malformed(IDEMPOTENCY_KEY)),
            None => None,
        };
        arrival.header("content-type")?;
        hide_key(exchange)
    }
}

impl Filter for Parse {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move { self.read(exchange) })
    }
}

/// Refuses a request that carries its key where an upstream would see it.
fn hide_key(exchange: &Exchange) -> Result<()> {
    let Some(key) = exchange.key.as_deref() else { return Ok(()) };
    let arrival = &exchange.request;
    let traceparent = exchange.traceparent.as_deref().unwrap_or_default();
    let content_type = arrival.header("content-type")?.unwrap_or_default();
    let texts = [arrival.query.as_str(), arrival.path.as_str(), traceparent, content_type];
    let shown =
        texts.into_iter().any(|text| text.contains(key)) || contains(&arrival.body, key.as_bytes());
    match shown {
        true => Err(Error::new(Kind::Malformed, "the key may stand in Authorization only")),
        false => Ok(()),
    }
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    let Some(first) = needle.first() else { return false };
    let mut rest = haystack;
    while let Some(at) = rest.iter().position(|byte| byte == first) {
        if rest[at..].starts_with(needle) {
            return true;
        }
        rest = &rest[at + 1..];
    }
    false
}

fn bearer(text: &str) -> Result<String> {
    let (scheme, key) = text.split_once(' ').unwrap_or((text, ""));
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(Error::new(Kind::KeyMissing, "Authorization must be: Bearer KEY"));
    }
    Ok(key.into())
}

fn is_identifier(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Whether the text is a trace context: version, trace, parent, flags.
fn is_traceparent(text: &str) -> bool {
    let lengths = [2, 32, 16, 2];
    let fields: Vec<&str> = text.split('-').collect();
    let hex = |field: &str| field.bytes().all(|byte| byte.is_ascii_hexdigit());
    fields.len() == lengths.len()
        && fields.iter().zip(lengths).all(|(field, length)| field.len() == length && hex(field))
}

fn malformed(header: &str) -> Error {
    Error::new(Kind::Malformed, format!("header {header} can't be read"))
}
