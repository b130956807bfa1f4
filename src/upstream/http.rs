//! Calls to upstreams over HTTP, by awc.
//!
//! awc gives `Connect(Disconnected)` also when the connection ends after the
//! request was sent, and ends a body silently when the connection breaks in
//! the middle of it; both are told apart here. Only listed headers are sent.

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

/// Bound on connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept: less than servers' customary five
/// seconds, so that a request seldom meets one that is being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Connections to one upstream from one thread, above any capacity in use.
const CONNECTIONS: usize = 1_024;
/// Parts that may wait to be taken.
const PART_QUEUE: usize = 16;
/// Names a request, both ways.
const REQUEST_ID: &str = "x-request-id";
/// Media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

type Outcome<T> = std::result::Result<T, Failure>;

/// Calls upstreams from one thread.
#[derive(Clone)]
pub struct Http {
    client: awc::Client,
    clock: std::sync::Arc<dyn Clock>,
}

impl Http {
    /// Makes a client with its own connections.
    pub fn new(clock: std::sync::Arc<dyn Clock>) -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE)
            .limit(CONNECTIONS);
        // A redirect would send the request a second time.
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
            let left = clock.now().until(call.deadline);
            let run = tokio::time::timeout(left, run(&client, address, call, &sender));
            let failure = tokio::select! {
                // Nobody waits: dropping the call closes its connection.
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
    let named = response.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    check_request_id(named, &call.request_id)?;
    read(response, sender).await
}

/// The body, extended by the position to resume from.
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
    let mut check = Check { length, json, read: 0, body: Vec::new() };
    let status = response.status().as_u16();
    pass(sender, Part::Head { status, content_type }).await?;
    let mut split = Decoder::default();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|error| sent(format!("the answer broke off: {error}")))?;
        if !events {
            check.add(&chunk)?;
            pass(sender, Part::Data(chunk)).await?;
            continue;
        }
        if !split.push(&chunk) {
            return Err(wrong("an event is too large"));
        }
        while let Some(event) = split.take() {
            pass(sender, Part::Data(event)).await?;
        }
    }
    if events && !split.is_empty() {
        return Err(sent("the answer broke off within an event"));
    }
    if !events {
        check.whole()?;
    }
    pass(sender, Part::End).await
}

/// Largest answer without a length that is checked as JSON, in bytes.
const MAX_CHECKED_BYTES: usize = 16 << 20;

/// Proves that a body is whole: by its length, else by its JSON.
struct Check {
    length: Option<u64>,
    json: bool,
    read: u64,
    body: Vec<u8>,
}

impl Check {
    fn add(&mut self, chunk: &Bytes) -> Outcome<()> {
        self.read += chunk.len() as u64;
        if self.length.is_some() {
            return Ok(());
        }
        self.body.extend_from_slice(chunk);
        match self.body.len() > MAX_CHECKED_BYTES {
            true => Err(wrong("an answer without a length is too large")),
            false => Ok(()),
        }
    }

    fn whole(&self) -> Outcome<()> {
        let whole = match self.length {
            Some(length) => self.read == length,
            None if self.json => {
                serde_json::from_slice::<serde::de::IgnoredAny>(&self.body).is_ok()
            }
            None => false,
        };
        match whole {
            true => Ok(()),
            false => Err(sent("the answer isn't whole")),
        }
    }
}

async fn pass(sender: &mpsc::Sender<Outcome<Part>>, part: Part) -> Outcome<()> {
    sender.send(Ok(part)).await.map_err(|_| sent("nobody waits for the answer"))
}

/// An answer that came but can't be used.
fn wrong(detail: &str) -> Failure {
    Failure::Sent(Error::new(Kind::UpstreamFailed, detail))
}

/// An answer that broke off.
fn sent<S>(detail: S) -> Failure
where
    S: Into<String>,
{
    Failure::Sent(Error::new(Kind::OutcomeUnknown, detail))
}

/// Whether a byte can have left: never for a failed connect, but for
/// `Disconnected`, which awc also gives for a connection that ended later.
fn failure(error: &SendRequestError) -> Failure {
    let detail = format!("calling the upstream: {error}");
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => sent(detail),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            Failure::NotSent(Error::new(Kind::UpstreamUnreachable, detail))
        }
        _ => sent(detail),
    }
}
