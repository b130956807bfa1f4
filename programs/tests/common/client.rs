//! Callers and operators over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde_json::{Value, json};

/// Longest time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; `broken` if it ended early.
    pub body: Bytes,
    /// Whether the connection broke before the end of the body.
    pub broken: bool,
}

impl Answer {
    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// What an error says of the request: `not-run`, `unknown` or `ran`.
    pub fn run(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// The text of all events of a stream, or none if it isn't whole.
    pub fn streamed(&self) -> Option<String> {
        let body = self.text();
        let whole = !self.broken && body.trim_end().ends_with("data: [DONE]");
        whole.then(|| streamed_text(&body))
    }
}

/// The text of the events in a piece of a stream.
pub fn streamed_text(body: &str) -> String {
    let events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let texts = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    texts.map(|event| event["choices"][0]["text"].as_str().unwrap_or_default().to_owned()).collect()
}

/// A request to make.
#[derive(Clone, Debug)]
pub struct Request {
    method: awc::http::Method,
    url: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl Request {
    /// Posts JSON.
    pub fn post(address: SocketAddr, path: &str, body: &Value) -> Self {
        Self::new("POST", address, path).body(body.to_string())
    }

    /// Any request.
    pub fn new(method: &str, address: SocketAddr, path: &str) -> Self {
        Self {
            method: method.parse().expect("a method"),
            url: format!("http://{address}{path}"),
            headers: vec![("content-type".into(), "application/json".into())],
            body: Bytes::new(),
        }
    }

    /// Sets the body.
    pub fn body<B>(mut self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Shows a caller's key or an operator's credential.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends it on a connection of its own; an error if no answer came.
    pub async fn send(self) -> Result<Answer, String> {
        self.send_watched(|_| {}).await
    }

    /// Sends it and shows each piece of the body as it comes.
    pub async fn send_watched<W>(self, mut watch: W) -> Result<Answer, String>
    where
        W: FnMut(&Bytes),
    {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        let mut request = client.request(self.method, self.url);
        for (name, value) in &self.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        let sent = request.send_body(self.body).await;
        let mut answer = sent.map_err(|error| error.to_string())?;
        let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
        let mut body = BytesMut::new();
        let mut broken = false;
        while let Some(chunk) = answer.next().await {
            match chunk {
                Ok(chunk) => {
                    watch(&chunk);
                    body.extend_from_slice(&chunk);
                }
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        Ok(Answer { status, headers, body: body.freeze(), broken })
    }
}

/// A completion's body.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({"model": "notes", "prompt": prompt, "max_tokens": tokens, "stream": stream})
}
