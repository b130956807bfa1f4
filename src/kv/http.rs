//! HTTP calls to the platform, with what is known when one fails.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Kind, Result};

/// Bound on one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bound on connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is read: a range of a whole large configuration.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// How a call to the platform failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// The request can't have been read: no connection could be made.
    NotSent(String),
    /// The request may have taken effect.
    Unknown(String),
    /// The service answered with an error.
    Refused(String),
}

impl Failure {
    /// The error of a call that changes nothing.
    pub(super) fn of_read(self) -> Error {
        let (Failure::NotSent(detail) | Failure::Unknown(detail) | Failure::Refused(detail)) = self;
        Error::new(Kind::PlatformUnavailable, detail)
    }

    /// The error of a call that may have changed something.
    pub(super) fn of_write(self) -> Error {
        match self {
            Failure::NotSent(detail) => Error::new(Kind::PlatformUnavailable, detail),
            Failure::Unknown(detail) | Failure::Refused(detail) => {
                Error::new(Kind::WriteUnknown, detail)
            }
        }
    }
}

/// Calls one of several equivalent addresses, moving on when one fails.
pub(super) struct Http {
    addresses: Vec<SocketAddr>,
    current: Cell<usize>,
    client: awc::Client,
}

impl Http {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        assert!(!addresses.is_empty(), "settings name at least one address");
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        Self { addresses, current: Cell::new(0), client }
    }

    /// Posts a JSON body and reads a JSON answer.
    pub(super) async fn post<B, A>(&self, path: &str, body: &B) -> std::result::Result<A, Failure>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let request = self.client.post(self.url(path));
        let send = async { read(request.send_json(body).await.map_err(failure)?).await };
        self.bounded(send).await
    }

    /// Gets a JSON answer.
    pub(super) async fn get<A>(&self, path: &str) -> std::result::Result<A, Failure>
    where
        A: DeserializeOwned,
    {
        let request = self.client.get(self.url(path));
        let send = async { read(request.send().await.map_err(failure)?).await };
        self.bounded(send).await
    }

    /// Posts a JSON body and returns the answer's stream of bytes.
    pub(super) async fn stream<B>(&self, path: &str, body: &B) -> std::result::Result<Body, Failure>
    where
        B: Serialize,
    {
        let request = self.client.post(self.url(path));
        let send = async {
            let answer = request.send_json(body).await.map_err(failure)?;
            accepted(answer.status().as_u16())?;
            Ok(answer)
        };
        self.bounded(send).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addresses[self.current.get()])
    }

    async fn bounded<A>(
        &self,
        call: impl Future<Output = std::result::Result<A, Failure>>,
    ) -> std::result::Result<A, Failure> {
        let result = tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| {
            Err(Failure::Unknown("the platform gave no answer in time".into()))
        });
        if matches!(result, Err(Failure::NotSent(_) | Failure::Unknown(_))) {
            self.current.set((self.current.get() + 1) % self.addresses.len());
        }
        result
    }
}

/// An answer whose body is read piece by piece.
pub(super) type Body = awc::ClientResponse;

async fn read<A>(mut answer: Body) -> std::result::Result<A, Failure>
where
    A: DeserializeOwned,
{
    accepted(answer.status().as_u16())?;
    let body = answer
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|error| Failure::Unknown(format!("answer broken off: {error}")))?;
    serde_json::from_slice(&body)
        .map_err(|error| Failure::Unknown(format!("answer can't be read: {error}")))
}

fn accepted(status: u16) -> std::result::Result<(), Failure> {
    match status {
        200 => Ok(()),
        status => Err(Failure::Refused(format!("the platform answered {status}"))),
    }
}

fn failure(error: SendRequestError) -> Failure {
    let detail = format!("the platform can't be reached: {error}");
    let not_sent = match error {
        SendRequestError::Connect(error) => refused_connection(&error),
        _ => false,
    };
    if not_sent { Failure::NotSent(detail) } else { Failure::Unknown(detail) }
}

/// Whether no connection came about. The client also calls a connection that
/// closes before the answer a connect error (`Disconnected`).
fn refused_connection(error: &ConnectError) -> bool {
    match error {
        ConnectError::Timeout => true,
        ConnectError::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Result of a call that changes nothing.
pub(super) fn read_only<A>(result: std::result::Result<A, Failure>) -> Result<A> {
    result.map_err(Failure::of_read)
}
