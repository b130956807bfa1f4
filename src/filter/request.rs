//! A request as it came from the caller.

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;

use crate::error::{Error, Kind, Result};

/// What the caller sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path, undecoded.
    pub path: String,
    /// Query, undecoded.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Request {
    /// Path and query.
    pub fn target(&self) -> String {
        match self.query.is_empty() {
            true => self.path.clone(),
            false => format!("{}?{}", self.path, self.query),
        }
    }

    /// The only value of a header; `Malformed` when it comes twice or holds
    /// anything but visible characters and spaces.
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
