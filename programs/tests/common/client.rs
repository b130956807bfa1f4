//! HTTP client for callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde_json::{Value, json};

/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// A response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body, or the part received if the response is `truncated`.
    pub body: Bytes,
    /// Whether the connection failed before the end of the body.
    pub truncated: bool,
}

impl Response {
    /// Parses the body as JSON; returns null if it isn't JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the `run` field of an error: `not-run`, `unknown` or `ran`.
    pub fn run(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the text of all events of a stream, or none if the stream is incomplete.
    pub fn stream_text(&self) -> Option<String> {
        let body = self.text();
        let complete = !self.truncated && body.trim_end().ends_with("data: [DONE]");
        complete.then(|| events_text(&body))
    }
}

/// Returns the text of the events in a part of a stream.
pub fn events_text(body: &str) -> String {
    let events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let texts = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    texts.map(|event| event["choices"][0]["text"].as_str().unwrap_or_default().to_owned()).collect()
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    method: awc::http::Method,
    url: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl Request {
    /// Creates a POST request with a JSON body.
    pub fn post(address: SocketAddr, path: &str, body: &Value) -> Self {
        Self::new("POST", address, path).body(body.to_string())
    }

    /// Creates a request with an empty body.
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

    /// Authenticates with a caller's key or an operator's credential.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends the request on its own connection. Fails if there is no response.
    pub async fn send(self) -> Result<Response, String> {
        self.send_with(|_| {}).await
    }

    /// Sends the request and passes each chunk of the body to `on_chunk` on arrival.
    pub async fn send_with<F>(self, mut on_chunk: F) -> Result<Response, String>
    where
        F: FnMut(&Bytes),
    {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        let mut request = client.request(self.method, self.url);
        for (name, value) in &self.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        let sent = request.send_body(self.body).await;
        let mut response = sent.map_err(|error| error.to_string())?;
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let mut body = BytesMut::new();
        let mut truncated = false;
        while let Some(chunk) = response.next().await {
            match chunk {
                Ok(chunk) => {
                    on_chunk(&chunk);
                    body.extend_from_slice(&chunk);
                }
                Err(_) => {
                    truncated = true;
                    break;
                }
            }
        }
        Ok(Response { status, headers, body: body.freeze(), truncated })
    }
}

/// Creates the body of a completion request.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({"model": "notes", "prompt": prompt, "max_tokens": tokens, "stream": stream})
}
