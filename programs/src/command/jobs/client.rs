//! Calls of the jobs interface.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::command::Failure;

/// Bound on one call; a large job takes its time to become durable.
const CALL_TIMEOUT: Duration = Duration::from_secs(600);
/// Largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Speaks to one entry VM with one key.
pub struct Client {
    entry: SocketAddr,
    key: String,
}

/// A successful answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Where the next page of results begins.
    pub next: Option<u32>,
}

impl Client {
    /// Makes a client.
    pub fn new(entry: SocketAddr, key: &str) -> Self {
        Self { entry, key: key.into() }
    }

    /// Calls and reads the whole answer; fails unless it is a success.
    pub async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, Failure> {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        let request = client
            .request(method, format!("http://{}{path}", self.entry))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header(("content-type", "application/jsonl"));
        let mut response = request.send_body(body).await?;
        let next = response.headers().get("x-next-after");
        let next = next.and_then(|value| value.to_str().ok()?.parse().ok());
        let bytes = response.body().limit(ANSWER_LIMIT).await;
        let bytes = bytes.map_err(|error| Failure::Refused(format!("{path}: {error}")))?;
        let status = response.status();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes);
            return Err(Failure::Refused(format!("{}: {}", status.as_u16(), text.trim())));
        }
        Ok(Answer { status: status.as_u16(), body: bytes.to_vec(), next })
    }

    /// Reads.
    pub async fn get(&self, path: &str) -> Result<Answer, Failure> {
        self.call(Method::GET, path, Vec::new()).await
    }
}

impl Answer {
    /// The body as JSON.
    pub fn json<T>(&self) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(unreadable)
    }

    /// One field of the body.
    pub fn field<T>(&self, name: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let mut value: Value = self.json()?;
        serde_json::from_value(value[name].take()).map_err(unreadable)
    }
}

fn unreadable(error: serde_json::Error) -> Failure {
    Failure::Refused(format!("the answer can't be read: {error}"))
}
