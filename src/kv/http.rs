//! HTTP calls to the platform. Failures tell whether the request may have taken effect.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Kind, Result};

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum response size in bytes; a range read may return a whole large configuration.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// How a call to the platform failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// No connection was established, so the request was not sent.
    NotSent(String),
    /// The request may have taken effect.
    Unknown(String),
    /// The service responded with an error.
    Refused(String),
}

impl Failure {
    /// Converts the failure of a read-only call.
    pub(super) fn into_read_error(self) -> Error {
        let (Failure::NotSent(detail) | Failure::Unknown(detail) | Failure::Refused(detail)) = self;
        Error::new(Kind::PlatformUnavailable, detail)
    }

    /// Converts the failure of a write; an outcome that isn't certain is `WriteUnknown`.
    pub(super) fn into_write_error(self) -> Error {
        match self {
            Failure::NotSent(detail) => Error::new(Kind::PlatformUnavailable, detail),
            Failure::Unknown(detail) | Failure::Refused(detail) => {
                Error::new(Kind::WriteUnknown, detail)
            }
        }
    }
}

/// HTTP client of one of several equivalent addresses; a failed call switches to the next.
pub(super) struct Http {
    addresses: Vec<SocketAddr>,
    current: Cell<usize>,
    client: awc::Client,
}

impl Http {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        assert!(!addresses.is_empty(), "an HTTP client needs at least one address");
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        Self { addresses, current: Cell::new(0), client }
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
    pub(super) async fn post<B, R>(&self, path: &str, body: &B) -> std::result::Result<R, Failure>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let request = self.client.post(self.url(path));
        let send = async { read(request.send_json(body).await.map_err(failure)?).await };
        self.with_timeout(send).await
    }

    /// Sends a GET request and parses the JSON response.
    pub(super) async fn get<R>(&self, path: &str) -> std::result::Result<R, Failure>
    where
        R: DeserializeOwned,
    {
        let request = self.client.get(self.url(path));
        let send = async { read(request.send().await.map_err(failure)?).await };
        self.with_timeout(send).await
    }

    /// Sends a POST request with a JSON body and returns the response for streaming.
    pub(super) async fn stream<B>(&self, path: &str, body: &B) -> std::result::Result<Body, Failure>
    where
        B: Serialize,
    {
        let request = self.client.post(self.url(path));
        let send = async {
            let response = request.send_json(body).await.map_err(failure)?;
            check_status(response.status().as_u16())?;
            Ok(response)
        };
        self.with_timeout(send).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addresses[self.current.get()])
    }

    async fn with_timeout<R>(
        &self,
        call: impl Future<Output = std::result::Result<R, Failure>>,
    ) -> std::result::Result<R, Failure> {
        let result = tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| {
            Err(Failure::Unknown("the platform gave no answer in time".into()))
        });
        if matches!(result, Err(Failure::NotSent(_) | Failure::Unknown(_))) {
            self.current.set((self.current.get() + 1) % self.addresses.len());
        }
        result
    }
}

/// Response whose body is read in chunks.
pub(super) type Body = awc::ClientResponse;

async fn read<R>(mut response: Body) -> std::result::Result<R, Failure>
where
    R: DeserializeOwned,
{
    check_status(response.status().as_u16())?;
    let body = response
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| Failure::Unknown(format!("answer broken off: {error}")))?;
    serde_json::from_slice(&body)
        .map_err(|error| Failure::Unknown(format!("answer can't be read: {error}")))
}

fn check_status(status: u16) -> std::result::Result<(), Failure> {
    match status {
        200 => Ok(()),
        status => Err(Failure::Refused(format!("the platform answered {status}"))),
    }
}

fn failure(error: SendRequestError) -> Failure {
    let detail = format!("the platform can't be reached: {error}");
    let not_sent = match error {
        SendRequestError::Connect(error) => connection_failed(&error),
        _ => false,
    };
    if not_sent { Failure::NotSent(detail) } else { Failure::Unknown(detail) }
}

/// Whether no connection was established. `awc` also reports a connection that
/// closes before the response as a connect error (`Disconnected`).
fn connection_failed(error: &ConnectError) -> bool {
    match error {
        ConnectError::Timeout => true,
        ConnectError::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Converts the result of a read-only call.
pub(super) fn read_only<R>(result: std::result::Result<R, Failure>) -> Result<R> {
    result.map_err(Failure::into_read_error)
}
