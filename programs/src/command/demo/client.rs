//! The few HTTP calls that the demo makes, as any caller or operator would.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use serde_json::Value;

use crate::command::Failure;

/// Bound on one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// Speaks to one address with one credential.
pub struct Client {
    address: SocketAddr,
    credential: String,
}

/// A whole answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body as text.
    pub text: String,
}

impl Client {
    /// Makes a client.
    pub fn new(address: SocketAddr, credential: &str) -> Self {
        Self { address, credential: credential.into() }
    }

    /// Calls with a body and reads the whole answer.
    pub async fn call(&self, method: Method, path: &str, body: String) -> Result<Answer, Failure> {
        let request = awc::Client::builder()
            .timeout(CALL_TIMEOUT)
            .finish()
            .request(method, format!("http://{}{path}", self.address))
            .insert_header(("authorization", format!("Bearer {}", self.credential)))
            .insert_header(("content-type", "application/json"));
        let mut response = request.send_body(body).await?;
        let bytes = response
            .body()
            .limit(ANSWER_LIMIT)
            .await
            .map_err(|error| Failure::Refused(format!("{path}: {error}")))?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok(Answer { status: response.status().as_u16(), text })
    }

    /// Reads.
    pub async fn get(&self, path: &str) -> Result<Answer, Failure> {
        self.call(Method::GET, path, String::new()).await
    }

    /// Posts JSON.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Answer, Failure> {
        self.call(Method::POST, path, body.to_string()).await
    }
}

impl Answer {
    /// The answer if its status is a success, else what it says.
    pub fn success(self, what: &str) -> Result<Answer, Failure> {
        match self.status {
            200..=299 => Ok(self),
            status => Err(Failure::Refused(format!("{what}: {status}: {}", self.text.trim()))),
        }
    }

    /// The body as JSON.
    pub fn json(&self) -> Result<Value, Failure> {
        serde_json::from_str(&self.text)
            .map_err(|error| Failure::Refused(format!("{error} in {:?}", self.text)))
    }
}
