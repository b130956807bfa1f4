//! The public HTTP servers of `parsleybeam-serve`.
//!
//! They serve callers' requests, the readiness check and requests for
//! addresses, all on the process's single thread.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::{Service, ServiceFactory, map_config};
use actix_web::body::SizedStream;
use actix_web::dev::AppConfig;
use actix_web::http::{ConnectionType, header};
use actix_web::{App, HttpRequest, HttpResponse, web};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;

use super::active::{Active, Guard};
use super::address::{self, Candidate};
use super::configuration::{Kind as RouteKind, Route};
use super::context::Context;
use super::exchange::{self, Body, Incomplete, Reply};
use super::incoming;
use super::jobs::Jobs;
use super::peers::Peers;
use super::protocol::{Head, Request};
use super::record::Record;
use super::stop::Stop;
use super::unwritten;
use crate::error::{Error, Kind, Result, Run};

/// Idle timeout of connections.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time without acknowledgement, or with a caller that reads nothing at all, after which its
/// connection is closed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Send buffer of callers' sockets where `memory_mb` is set, in bytes. The kernel's own is up
/// to 4 MB each, which 500 slow readers would fill with what their upstreams have sent.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Bytes of a whole answer that are handed to actix at once.
const SLICE_BYTES: usize = 16 << 10;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum size of a request body where the configuration sets no limit, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 16 << 20;
/// Longest time that a call about a job takes: a wait for results and a read of the store.
const CALL_TIME: Duration = Duration::from_millis(2_500);
/// `Retry-After` for callers of a VM that stops: others serve them now.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Lifetime of a response with addresses, in milliseconds.
const ADDRESSES_LIFETIME_MS: u64 = 2_000;

/// Handlers of the public servers.
#[derive(Clone)]
pub struct Frontend {
    /// State of the serving path.
    pub context: Rc<Context>,
    /// The other entry VMs.
    pub peers: Rc<Peers>,
    /// The batch jobs.
    pub jobs: Rc<Jobs>,
    /// Requests in progress.
    pub active: Rc<Active>,
    /// Connections of callers with bytes that wait to be read.
    pub unwritten: unwritten::Count,
    /// The graceful shutdown, once it has begun.
    pub stop: Rc<Cell<Option<Stop>>>,
}

impl Frontend {
    /// Handles a caller's request.
    pub async fn call(&self, request: HttpRequest, payload: web::Payload) -> HttpResponse {
        let headers = copy_headers(&request);
        let head = self.context.protocol.head(&headers);
        let request_id = head.request_id.clone().unwrap_or_default();
        let active = self.active.begin(&request_id, self.context.now());
        let mut record = Record::new(self.context.clone(), &request_id);
        self.context.opening.wait().await;
        self.context.renew_view().await;
        let outcome = match self.read_request(&request, headers, payload).await {
            Ok(incoming) => self.dispatch(incoming, head, &active, &mut record).await,
            Err(error) => Err(error),
        };
        let mut response = match outcome {
            Ok(reply) => to_response(reply, active),
            Err(error) => {
                record.status = error.answer().status;
                record.reason = error.detail.clone();
                record.conclude("refused");
                self.refuse(&error, &request_id)
            }
        };
        if self.context.stopping.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn read_request(
        &self,
        request: &HttpRequest,
        headers: HeaderMap,
        payload: web::Payload,
    ) -> Result<Request> {
        let limit = self.context.configuration().map_or(0, |current| current.max_body_bytes);
        let limit = if limit == 0 { MAX_BODY_BYTES } else { limit };
        let length = headers.get(http::header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let body = incoming::read(&self.context, payload, length, limit).await?;
        let method = Method::from_bytes(request.method().as_str().as_bytes())
            .map_err(|error| Error::new(Kind::Malformed, error.to_string()))?;
        let path = request.uri().path().to_owned();
        let query = request.uri().query().map(str::to_owned);
        Ok(Request { method, path, query, headers, body })
    }

    async fn dispatch(
        &self,
        incoming: Request,
        head: Head,
        active: &Guard,
        record: &mut Record,
    ) -> Result<Reply> {
        if let Some(call) = self.context.protocol.job_call(&incoming) {
            self.check_stop(&head, None, active)?;
            let reply = self.jobs.handle_call(call?, &head, &self.peers).await;
            record_reply(record, &reply);
            return reply;
        }
        let configuration = exchange::configuration(&self.context)?;
        let route = configuration.route(&head.host, &incoming.path);
        self.check_stop(&head, route, active)?;
        if let Some(route) = route
            && route.kind == RouteKind::Batch
            && incoming.method == Method::POST
        {
            record.route = route.name.clone();
            record.version = configuration.version;
            let reply = self.jobs.handle_submission(&incoming, &head, route, &self.peers).await;
            record_reply(record, &reply);
            return reply;
        }
        if head.request_id.is_none() {
            return Err(Error::new(Kind::Malformed, "the request has no identifier"));
        }
        exchange::serve(&self.context, &self.peers, incoming, head, record).await
    }

    /// Refuses a request that may last longer than this VM, which stops.
    fn check_stop(&self, head: &Head, route: Option<&Route>, active: &Guard) -> Result<()> {
        let now = self.context.now();
        let deadline = match route.filter(|route| route.kind != RouteKind::Batch) {
            Some(route) => exchange::deadline(head, route, now),
            None => now.after(CALL_TIME),
        };
        active.set_deadline(deadline);
        if self.stop.get().is_none_or(|stop| stop.accepts(deadline, now)) {
            return Ok(());
        }
        let detail = "this VM is leaving; use another one";
        Err(Error::new(Kind::Leaving, detail).retry_after(LEAVING_RETRY_AFTER))
    }

    fn refuse(&self, error: &Error, request_id: &str) -> HttpResponse {
        let answer = error.answer();
        let status = match (answer.status, answer.run) {
            // Callers take a 503 to mean "not run", so it is sent only in that case.
            (503, Run::Unknown) => 504,
            (502, Run::NotRun) => 503,
            (status, _) => status,
        };
        let status = actix_web::http::StatusCode::from_u16(status);
        let status = status.unwrap_or(actix_web::http::StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        for (name, value) in &self.context.protocol.own_headers(Some(request_id)) {
            response.append_header((name.as_str(), value.as_bytes()));
        }
        if let Some(wait) = error.retry_after {
            response.append_header((header::RETRY_AFTER, format!("{:.3}", wait.as_secs_f64())));
        }
        response.json(serde_json::json!({ "code": answer.code, "detail": error.detail }))
    }

    /// Handles the readiness check: 200 if this VM accepts callers, else 503.
    pub async fn ready(&self) -> HttpResponse {
        if self.peers.serving() {
            return HttpResponse::Ok().finish();
        }
        HttpResponse::ServiceUnavailable().finish()
    }

    /// Handles a request for addresses.
    pub async fn addresses(&self) -> HttpResponse {
        let addresses = self.choose_addresses();
        if addresses.is_empty() {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let longest = self.context.settings().bounds.addresses_lifetime_s * 1e3;
        let lifetime_ms = ADDRESSES_LIFETIME_MS.min(longest as u64);
        let body = self.context.protocol.addresses(&addresses, lifetime_ms);
        HttpResponse::Ok().content_type("application/json").body(body)
    }

    fn choose_addresses(&self) -> Vec<SocketAddr> {
        let view = self.context.view.borrow();
        let others = view.members.iter().map(|listed| &listed.member).filter(|member| {
            &member.vm != self.context.vm()
                && !member.leaving
                && self.peers.accepts_callers(&member.vm)
        });
        let own = self.peers.serving().then_some(&self.context.member);
        let candidates = own.into_iter().chain(others);
        let candidates: Vec<Candidate> = candidates
            .map(|member| Candidate { address: member.caller, weight: member.weight })
            .collect();
        let mut random = ChaCha8Rng::seed_from_u64(self.context.random());
        address::choose(&candidates, &mut random)
    }

    /// Starts the server for callers.
    pub fn serve_callers(&self, socket: std::net::TcpListener) -> Result<()> {
        let frontend = self.clone();
        if self.context.settings().memory_mb.is_some() {
            // Accepted sockets inherit it.
            let sized = socket2::SockRef::from(&socket).set_send_buffer_size(SEND_BUFFER_BYTES);
            sized.map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        }
        listen(socket, self.unwritten.clone(), move |config| {
            let frontend = frontend.clone();
            config.default_service(web::to(move |request: HttpRequest, payload: web::Payload| {
                let frontend = frontend.clone();
                async move { frontend.call(request, payload).await }
            }));
        })
    }

    /// Starts a server for the readiness check and requests for addresses.
    pub fn serve_checks(&self, socket: std::net::TcpListener) -> Result<()> {
        let frontend = self.clone();
        listen(socket, self.unwritten.clone(), move |config| {
            let (ready, addresses) = (frontend.clone(), frontend.clone());
            let protocol = &frontend.context.protocol;
            config.route(
                protocol.readiness_path(),
                web::get().to(move || {
                    let ready = ready.clone();
                    async move { ready.ready().await }
                }),
            );
            config.route(
                protocol.addresses_path(),
                web::get().to(move || {
                    let addresses = addresses.clone();
                    async move { addresses.addresses().await }
                }),
            );
        })
    }
}

/// Starts an HTTP server on this thread that runs until the process exits; `unwritten` counts
/// the connections with bytes that wait to be read.
pub(super) fn listen<C>(
    socket: std::net::TcpListener,
    unwritten: unwritten::Count,
    configure: C,
) -> Result<()>
where
    C: Fn(&mut web::ServiceConfig) + Clone + 'static,
{
    let internal = |error: std::io::Error| Error::new(Kind::Internal, error.to_string());
    let socket = TcpListener::from_std(socket).map_err(internal)?;
    let app = move || App::new().configure(configure.clone());
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .h1(map_config(app(), |_| AppConfig::default()));
    actix_rt::spawn(async move {
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        loop {
            let Ok((stream, peer)) = socket.accept().await else {
                // Out of file descriptors, or the client has already closed the connection.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Without it, responses are only delayed.
            let _ = stream.set_nodelay(true);
            // Without it, a caller that vanished is noticed by the kernel's own timeout.
            let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
            let service = service.clone();
            let connection = unwritten::Connection::new(stream, unwritten.clone());
            actix_rt::spawn(async move {
                // An error ends only this connection, for example when the client closes it.
                let _ = service.call((connection, Some(peer))).await;
            });
        }
    });
    Ok(())
}

fn record_reply(record: &mut Record, reply: &Result<Reply>) {
    if let Ok(reply) = reply {
        record.status = reply.status.as_u16();
        record.conclude("answered");
    }
}

pub(super) fn copy_headers(request: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// The response for a reply; `active` lasts until its body has been handed to actix.
fn to_response(reply: Reply, active: Guard) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(reply.status.as_u16());
    let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in &reply.headers {
        response.append_header((name.as_str(), value.as_bytes()));
    }
    match reply.body {
        Body::Whole(body) if body.len() > SLICE_BYTES => {
            // In slices, so that actix copies no more into its buffer than the caller reads.
            let length = body.len() as u64;
            let slices = stream::unfold((body, active), |(mut rest, active)| async move {
                let slice = rest.split_to(rest.len().min(SLICE_BYTES));
                (!slice.is_empty()).then_some((Ok::<_, Infallible>(slice), (rest, active)))
            });
            response.body(SizedStream::new(length, slices.boxed_local()))
        }
        Body::Whole(body) => response.body(body),
        Body::Page(page) => {
            let length = page.length();
            let slices = stream::unfold((page, active), |(mut page, active)| async move {
                let slice = page.next_slice()?;
                Some((slice.map_err(|_| Incomplete), (page, active)))
            });
            response.body(SizedStream::new(length, slices.boxed_local()))
        }
        Body::Events(events) => response.streaming(events.map(move |chunk| {
            let _ = &active;
            chunk
        })),
    }
}
