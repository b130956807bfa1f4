//! The HTTP servers of `parsleybeam-serve`.
//!
//! Callers' connections, the readiness check and the call for addresses. All
//! run on the process's one thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::{Service, ServiceFactory, map_config};
use actix_web::dev::AppConfig;
use actix_web::http::{ConnectionType, header};
use actix_web::{App, HttpRequest, HttpResponse, web};
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::net::TcpListener;

use super::configuration::Kind as RouteKind;
use super::context::Context;
use super::exchange::{self, Body, Reply};
use super::jobs::Jobs;
use super::peers::Peers;
use super::protocol::Request;
use super::record::Record;
use crate::api::caller::read;
use crate::clock::Time;
use crate::error::{Error, Kind, Result, Run};

/// Idle time after which a caller's connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest body that is read before a configuration is known, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 16 << 20;
/// Lifetime of an answer with addresses, in milliseconds.
const ADDRESSES_LIFETIME_MS: u64 = 2_000;
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// What the servers share.
#[derive(Clone)]
pub struct Frontend {
    /// The surroundings.
    pub context: Rc<Context>,
    /// Other VMs.
    pub peers: Rc<Peers>,
    /// Batch jobs.
    pub jobs: Rc<Jobs>,
    /// Callers that are being answered.
    pub active: Rc<std::cell::Cell<usize>>,
    /// From here on new requests are refused; set by a planned stop.
    pub refuse_from: Rc<std::cell::Cell<Time>>,
}

impl Frontend {
    /// Answers one request of a caller.
    pub async fn call(&self, request: HttpRequest, payload: web::Payload) -> HttpResponse {
        let _active = Active::new(&self.active);
        let headers = copy_headers(&request);
        let head = self.context.protocol.head(&headers);
        let name = head.request_id.clone().unwrap_or_default();
        let mut record = Record::new(self.context.clone(), &name);
        let outcome = match self.read_request(&request, headers, payload).await {
            Ok(incoming) => self.dispatch(incoming, head, &mut record).await,
            Err(error) => Err(error),
        };
        let mut response = match outcome {
            Ok(reply) => respond(reply, &self.active),
            Err(error) => {
                record.status = error.answer().status;
                record.reason = error.detail.clone();
                record.conclude("refused");
                self.refuse(&error, &name)
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
        let limit = self.context.configuration().map_or(0, |all| all.max_body_bytes);
        let limit = if limit == 0 { MAX_BODY_BYTES } else { limit };
        let body = read(payload, limit).await?;
        let method = Method::from_bytes(request.method().as_str().as_bytes())
            .map_err(|error| Error::new(Kind::Malformed, error.to_string()))?;
        let path = request.uri().path().to_owned();
        let query = request.uri().query().map(str::to_owned);
        Ok(Request { method, path, query, headers, body })
    }

    async fn dispatch(
        &self,
        incoming: Request,
        head: super::protocol::Head,
        record: &mut Record,
    ) -> Result<Reply> {
        if self.refuse_from.get().passed(self.context.now()) {
            let detail = "this VM is leaving; use another one";
            return Err(Error::new(Kind::Leaving, detail).retry_after(Duration::from_millis(50)));
        }
        if let Some(call) = self.context.protocol.job_call(&incoming) {
            let reply = self.jobs.handle_call(call?, &head, &self.peers).await;
            conclude(record, &reply);
            return reply;
        }
        let configuration = exchange::configuration(&self.context)?;
        if let Some(route) = configuration.route(&head.host, &incoming.path)
            && route.kind == RouteKind::Batch
            && incoming.method == Method::POST
        {
            record.route = route.name.clone();
            record.version = configuration.version;
            let reply = self.jobs.handle_submission(&incoming, &head, route, &self.peers).await;
            conclude(record, &reply);
            return reply;
        }
        if head.request_id.is_none() {
            return Err(Error::new(Kind::Malformed, "the request has no identifier"));
        }
        exchange::serve(&self.context, &self.peers, incoming, head, record).await
    }

    fn refuse(&self, error: &Error, name: &str) -> HttpResponse {
        let answer = error.answer();
        let status = match (answer.status, answer.run) {
            // Callers take this for "not run".
            (503, Run::Unknown) => 504,
            (502, Run::NotRun) => 503,
            (status, _) => status,
        };
        let status = actix_web::http::StatusCode::from_u16(status);
        let status = status.unwrap_or(actix_web::http::StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        for (name, value) in &self.context.protocol.own_headers(Some(name)) {
            response.append_header((name.as_str(), value.as_bytes()));
        }
        if let Some(wait) = error.retry_after {
            response.append_header((header::RETRY_AFTER, format!("{:.3}", wait.as_secs_f64())));
        }
        response.json(serde_json::json!({ "code": answer.code, "detail": error.detail }))
    }

    /// Whether this VM is ready for callers.
    pub async fn ready(&self) -> HttpResponse {
        if self.peers.serving() {
            return HttpResponse::Ok().finish();
        }
        HttpResponse::ServiceUnavailable().finish()
    }

    /// Answers a call for addresses.
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
        let own = self.peers.serving().then_some(self.context.member.caller);
        own.into_iter().chain(others.map(|member| member.caller)).take(MAX_ADDRESSES).collect()
    }

    /// Serves callers.
    pub fn serve_callers(&self, socket: std::net::TcpListener) -> Result<()> {
        let frontend = self.clone();
        listen(socket, move |config| {
            let frontend = frontend.clone();
            config.default_service(web::to(move |request: HttpRequest, payload: web::Payload| {
                let frontend = frontend.clone();
                async move { frontend.call(request, payload).await }
            }));
        })
    }

    /// Serves the readiness check and the call for addresses.
    pub fn serve_checks(&self, socket: std::net::TcpListener) -> Result<()> {
        let frontend = self.clone();
        listen(socket, move |config| {
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

/// Serves HTTP on this thread until the process ends.
pub(super) fn listen<C>(socket: std::net::TcpListener, configure: C) -> Result<()>
where
    C: Fn(&mut web::ServiceConfig) + Clone + 'static,
{
    let broken = |error: std::io::Error| Error::new(Kind::Internal, error.to_string());
    let socket = TcpListener::from_std(socket).map_err(broken)?;
    let app = move || App::new().configure(configure.clone());
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .h1(map_config(app(), |_| AppConfig::default()))
        .tcp();
    actix_rt::spawn(async move {
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        loop {
            let Ok((stream, _)) = socket.accept().await else {
                // Out of descriptors, or the caller is gone already.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // A connection without it only answers later.
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            actix_rt::spawn(async move {
                // Ends when the caller goes away, which concerns only this connection.
                let _ = service.call(stream).await;
            });
        }
    });
    Ok(())
}

/// Counts a caller that is being answered.
struct Active(Rc<std::cell::Cell<usize>>);

impl Active {
    fn new(count: &Rc<std::cell::Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn conclude(record: &mut Record, reply: &Result<Reply>) {
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

fn respond(reply: Reply, active: &Rc<std::cell::Cell<usize>>) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(reply.status.as_u16());
    let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in &reply.headers {
        response.append_header((name.as_str(), value.as_bytes()));
    }
    match reply.body {
        Body::Whole(body) => response.body(body),
        Body::Events(events) => {
            let active = Active::new(active);
            response.streaming(events.map(move |piece| {
                let _ = &active;
                piece
            }))
        }
    }
}
