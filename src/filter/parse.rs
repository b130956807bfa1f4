//! Parses and validates request headers.
//!
//! Only values validated here reach an upstream, so a caller can't inject headers, and no header
//! can leak a copy of the caller's key.

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::Method;
use futures_util::future::LocalBoxFuture;

use super::{Exchange, Filter, Services};
use crate::error::{Error, Kind, Result};

/// Header with the request identifier, for callers and upstreams.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the time that the caller waits, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Header with the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Header with the key of a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of a request identifier, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Maximum time that a caller may wait, in milliseconds; larger values are reduced to it.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Filter that parses request headers.
pub struct Parse {
    services: Rc<Services>,
}

impl Parse {
    /// Creates the filter.
    pub fn new(services: Rc<Services>) -> Self {
        Self { services }
    }

    fn read(&self, exchange: &mut Exchange) -> Result<()> {
        let request = &exchange.request;
        exchange.request_id = match request.header(REQUEST_ID)? {
            Some(text) if is_identifier(text) => text.into(),
            Some(_) => return Err(malformed(REQUEST_ID)),
            None => format!("{:032x}", rand::random::<u128>()),
        };
        if request.method != Method::POST {
            return Err(Error::new(Kind::UnknownRoute, "routes take POST only"));
        }
        exchange.key = match request.header("authorization")? {
            Some(text) => Some(bearer(text)?),
            None => None,
        };
        exchange.deadline = match request.header(DEADLINE_MS)? {
            Some(text) => {
                let millis: u64 = text.parse().map_err(|_| malformed(DEADLINE_MS))?;
                let span = Duration::from_millis(millis.min(MAX_DEADLINE_MS));
                Some(self.services.context.clock.now().after(span))
            }
            None => None,
        };
        exchange.traceparent = match request.header(TRACEPARENT)? {
            Some(text) if is_traceparent(text) => Some(text.into()),
            Some(_) => return Err(malformed(TRACEPARENT)),
            None => None,
        };
        exchange.idempotency_key = match request.header(IDEMPOTENCY_KEY)? {
            Some(text) if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len()) => {
                Some(text.into())
            }
            Some(_) => return Err(malformed(IDEMPOTENCY_KEY)),
            None => None,
        };
        request.header("content-type")?;
        reject_leaked_key(exchange)
    }
}

impl Filter for Parse {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<()>> {
        Box::pin(async move { self.read(exchange) })
    }
}

/// Rejects a request that contains its API key in a place that is sent to upstreams.
fn reject_leaked_key(exchange: &Exchange) -> Result<()> {
    let Some(key) = exchange.key.as_deref() else { return Ok(()) };
    let request = &exchange.request;
    let traceparent = exchange.traceparent.as_deref().unwrap_or_default();
    let content_type = request.header("content-type")?.unwrap_or_default();
    let texts = [request.query.as_str(), request.path.as_str(), traceparent, content_type];
    let leaked =
        texts.into_iter().any(|text| text.contains(key)) || contains(&request.body, key.as_bytes());
    match leaked {
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

/// Whether the text has the fields of a W3C trace context: version, trace id, parent id, flags.
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
