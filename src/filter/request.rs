//! A request as received from the caller.

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;

use crate::error::{Error, Kind, Result};

/// A caller's HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path, without percent-decoding.
    pub path: String,
    /// Query string, without percent-decoding; empty if absent.
    pub query: String,
    /// All headers, unchecked.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Request {
    /// Path and query, as in the request line.
    pub fn target(&self) -> String {
        match self.query.is_empty() {
            true => self.path.clone(),
            false => format!("{}?{}", self.path, self.query),
        }
    }

    /// The value of a header; fails with `Malformed` if the header is repeated or has other than
    /// visible ASCII characters and spaces.
    pub fn header(&self, name: &str) -> Result<Option<&str>> {
        let mut values = self.headers.get_all(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(Error::new(Kind::Malformed, format!("header {name} comes twice")));
        }
        let text = value.to_str().map_err(|_| unreadable(name))?;
        match text.bytes().all(|byte| (b' '..=b'~').contains(&byte)) {
            true => Ok(Some(text)),
            false => Err(unreadable(name)),
        }
    }
}

fn unreadable(name: &str) -> Error {
    Error::new(Kind::Malformed, format!("header {name} holds other than visible characters"))
}
