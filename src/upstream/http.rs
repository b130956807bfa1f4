//! HTTP client for upstreams, based on awc.
//!
//! awc returns `Connect(Disconnected)` also if the connection closes after the request was sent,
//! and ends a body without an error if the connection breaks in the middle of it. Both cases are
//! detected here. Only the headers set here are sent.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::header;
use awc::{ClientResponse, Connector};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::{LocalBoxFuture, ready};
use tokio::sync::mpsc;
use tracing::{Instrument, Span};

use super::{Call, Client, Failure, Part, Parts, check_request_id};
use crate::clock::Clock;
use crate::error::{Error, Kind};
use crate::stream::Decoder;
use crate::trace::{self, TRACEPARENT};
use crate::view::Upstream;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept. Below the five seconds that servers commonly use, so that
/// requests are rarely sent on a connection that the server is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Maximum number of connections to one upstream from one thread, above any capacity in use.
const CONNECTIONS: usize = 1_024;
/// Capacity of the channel of answer parts.
const PART_QUEUE: usize = 16;
/// Header with the request identifier, in requests and answers.
const REQUEST_ID: &str = "x-request-id";
/// Media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

type Outcome<T> = std::result::Result<T, Failure>;

/// HTTP client of one thread.
#[derive(Clone)]
pub struct Http {
    client: awc::Client,
    clock: std::sync::Arc<dyn Clock>,
}

impl Http {
    /// Creates a client with its own connection pool.
    pub fn new(clock: std::sync::Arc<dyn Clock>) -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE)
            .limit(CONNECTIONS);
        // Following a redirect would send the request twice.
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, clock }
    }
}

impl Client for Http {
    fn send(&self, upstream: &Upstream, call: Call) -> LocalBoxFuture<'_, Parts> {
        let (sender, parts) = mpsc::channel(PART_QUEUE);
        let address = upstream.spec.address;
        let (client, clock) = (self.client.clone(), self.clock.clone());
        let span = tracing::info_span!("upstream", upstream = %upstream.name);
        let exchange = async move {
            let remaining = clock.now().until(call.deadline);
            let run = tokio::time::timeout(remaining, run(&client, address, call, &sender));
            let failure = tokio::select! {
                // The receiver is gone: dropping the call closes its connection.
                () = sender.closed() => return,
                ended = run => match ended {
                    Ok(Ok(())) => return,
                    Ok(Err(failure)) => failure,
                    Err(_) => Failure::Sent(Error::new(Kind::DeadlineExceeded, "the deadline passed")),
                },
            };
            let _ = sender.send(Err(failure)).await;
        };
        actix_rt::spawn(exchange.instrument(span));
        Box::pin(ready(parts))
    }
}

async fn run(
    client: &awc::Client,
    address: std::net::SocketAddr,
    call: Call,
    sender: &mpsc::Sender<Outcome<Part>>,
) -> Outcome<()> {
    let mut request = client
        .post(format!("http://{address}{}", call.path))
        .no_decompress()
        .insert_header((REQUEST_ID, call.request_id.as_str()))
        .insert_header((header::CONTENT_TYPE, call.content_type.as_str()));
    let traceparent = trace::traceparent(&Span::current()).or_else(|| call.traceparent.clone());
    if let Some(traceparent) = traceparent {
        request = request.insert_header((TRACEPARENT, traceparent));
    }
    let body = body_of(&call).map_err(Failure::NotSent)?;
    let response = request.send_body(body).await.map_err(|error| failure(&error))?;
    let answered_id = response.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    check_request_id(answered_id, &call.request_id)?;
    read(response, sender).await
}

/// The request body, with `resume_from` added if a stream is resumed.
fn body_of(call: &Call) -> crate::error::Result<Bytes> {
    if call.resume_from == 0 {
        return Ok(call.body.clone());
    }
    let unreadable = |error| Error::new(Kind::Malformed, format!("body: {error}"));
    let mut body: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(&call.body).map_err(unreadable)?;
    body.insert("resume_from".into(), call.resume_from.into());
    serde_json::to_vec(&body).map(Bytes::from).map_err(unreadable)
}

async fn read<S>(
    mut response: ClientResponse<S>,
    sender: &mpsc::Sender<Outcome<Part>>,
) -> Outcome<()>
where
    S: futures_util::Stream<Item = std::result::Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let text = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let content_type = text(header::CONTENT_TYPE).unwrap_or_default().to_owned();
    let length: Option<u64> = text(header::CONTENT_LENGTH).and_then(|text| text.parse().ok());
    let events = content_type.starts_with(EVENT_STREAM);
    let json = content_type.starts_with("application/json");
    let mut check = Completeness { length, json, read: 0, body: Vec::new() };
    let status = response.status().as_u16();
    forward(sender, Part::Head { status, content_type }).await?;
    let mut decoder = Decoder::default();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|error| interrupted(format!("the answer broke off: {error}")))?;
        if !events {
            check.add(&chunk)?;
            forward(sender, Part::Data(chunk)).await?;
            continue;
        }
        if !decoder.push(&chunk) {
            return Err(invalid_answer("an event is too large"));
        }
        while let Some(event) = decoder.take() {
            forward(sender, Part::Data(event)).await?;
        }
    }
    if events && !decoder.is_empty() {
        return Err(interrupted("the answer broke off within an event"));
    }
    if !events {
        check.verify_complete()?;
    }
    forward(sender, Part::End).await
}

/// Maximum size of an answer without a length that is checked as JSON, in bytes.
const MAX_CHECKED_BYTES: usize = 16 << 20;

/// Checks that a body is complete, by its length or else by parsing it as JSON.
struct Completeness {
    length: Option<u64>,
    json: bool,
    read: u64,
    body: Vec<u8>,
}

impl Completeness {
    fn add(&mut self, chunk: &Bytes) -> Outcome<()> {
        self.read += chunk.len() as u64;
        if self.length.is_some() {
            return Ok(());
        }
        self.body.extend_from_slice(chunk);
        match self.body.len() > MAX_CHECKED_BYTES {
            true => Err(invalid_answer("an answer without a length is too large")),
            false => Ok(()),
        }
    }

    fn verify_complete(&self) -> Outcome<()> {
        let complete = match self.length {
            Some(length) => self.read == length,
            None if self.json => {
                serde_json::from_slice::<serde::de::IgnoredAny>(&self.body).is_ok()
            }
            None => false,
        };
        match complete {
            true => Ok(()),
            false => Err(interrupted("the answer isn't whole")),
        }
    }
}

async fn forward(sender: &mpsc::Sender<Outcome<Part>>, part: Part) -> Outcome<()> {
    sender.send(Ok(part)).await.map_err(|_| interrupted("nobody waits for the answer"))
}

/// Failure of a call with an invalid answer.
fn invalid_answer(detail: &str) -> Failure {
    Failure::Sent(Error::new(Kind::UpstreamFailed, detail))
}

/// Failure of a call whose answer was interrupted.
fn interrupted<S>(detail: S) -> Failure
where
    S: Into<String>,
{
    Failure::Sent(Error::new(Kind::OutcomeUnknown, detail))
}

/// Classifies an error by whether any byte may have been sent. After a failed connect none was,
/// except for `Disconnected`, which awc also returns for a connection that closed later.
fn failure(error: &SendRequestError) -> Failure {
    let detail = format!("calling the upstream: {error}");
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => interrupted(detail),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            Failure::NotSent(Error::new(Kind::UpstreamUnreachable, detail))
        }
        _ => interrupted(detail),
    }
}
