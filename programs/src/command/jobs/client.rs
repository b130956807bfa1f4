//! HTTP client of the batch job API.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::command::Failure;

/// Timeout of one request. It is long because the submission of a large job is
/// acknowledged only once the job is durable.
const CALL_TIMEOUT: Duration = Duration::from_secs(600);
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of one entry VM with one key.
pub struct Client {
    entry: SocketAddr,
    key: String,
}

/// A response with a 2xx status.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// The complete body.
    pub body: Vec<u8>,
    /// Position after which the next page of results begins, if the response gives one.
    pub next: Option<u32>,
}

impl Client {
    /// Creates a client of the entry VM at `entry` that authenticates with `key`.
    pub fn new(entry: SocketAddr, key: &str) -> Self {
        Self { entry, key: key.into() }
    }

    /// Sends a request and reads the complete response. Fails unless its status is 2xx.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Response, Failure> {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        let request = client
            .request(method, format!("http://{}{path}", self.entry))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header(("content-type", "application/jsonl"));
        let mut response = request.send_body(body).await?;
        let next = response.headers().get("x-next-after");
        let next = next.and_then(|value| value.to_str().ok()?.parse().ok());
        let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|error| Failure::Refused(format!("{path}: {error}")))?;
        let status = response.status();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes);
            return Err(Failure::Refused(format!("{}: {}", status.as_u16(), text.trim())));
        }
        Ok(Response { status: status.as_u16(), body: bytes.to_vec(), next })
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<Response, Failure> {
        self.call(Method::GET, path, Vec::new()).await
    }
}

impl Response {
    /// Decodes the body from JSON.
    pub fn json<T>(&self) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(decode_failure)
    }

    /// Decodes one field of the JSON body.
    pub fn field<T>(&self, name: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let mut value: Value = self.json()?;
        serde_json::from_value(value[name].take()).map_err(decode_failure)
    }
}

fn decode_failure(error: serde_json::Error) -> Failure {
    Failure::Refused(format!("cannot decode the response: {error}"))
}
