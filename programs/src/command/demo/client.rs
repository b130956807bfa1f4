//! HTTP client that the demo uses as a caller and as an operator.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use serde_json::Value;

use crate::command::Failure;

/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Client of one address with one credential.
pub struct Client {
    address: SocketAddr,
    credential: String,
}

/// A response with its complete body.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body, decoded as UTF-8.
    pub text: String,
}

impl Client {
    /// Creates a client of `address` that sends `credential` as a bearer token.
    pub fn new(address: SocketAddr, credential: &str) -> Self {
        Self { address, credential: credential.into() }
    }

    /// Sends a request with a body and reads the complete response.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Response, Failure> {
        let request = awc::Client::builder()
            .timeout(CALL_TIMEOUT)
            .finish()
            .request(method, format!("http://{}{path}", self.address))
            .insert_header(("authorization", format!("Bearer {}", self.credential)))
            .insert_header(("content-type", "application/json"));
        let mut response = request.send_body(body).await?;
        let bytes = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| Failure::Refused(format!("{path}: {error}")))?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok(Response { status: response.status().as_u16(), text })
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<Response, Failure> {
        self.call(Method::GET, path, String::new()).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Response, Failure> {
        self.call(Method::POST, path, body.to_string()).await
    }
}

impl Response {
    /// Returns the response if its status is 2xx, else an error with its status and body,
    /// prefixed with `what`.
    pub fn success(self, what: &str) -> Result<Response, Failure> {
        match self.status {
            200..=299 => Ok(self),
            status => Err(Failure::Refused(format!("{what}: {status}: {}", self.text.trim()))),
        }
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> Result<Value, Failure> {
        serde_json::from_str(&self.text).map_err(|error| {
            Failure::Refused(format!("cannot parse the response: {error} in {:?}", self.text))
        })
    }
}
