//! Shared fixtures for tests of online requests: a context, an engine with
//! scripted behaviour, and an entry VM's caller interface in front of it.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, ready};
use parking_lot::Mutex;
use parsleybeam::admission::{Limiter, Permit, Scheduler, Ticket};
use parsleybeam::api::caller;
use parsleybeam::claim::Claims;
use parsleybeam::clock::{Clock, Monotonic, Time};
use parsleybeam::config::resource::{self, Route, Serves, Target};
use parsleybeam::context::Context;
use parsleybeam::error::{Error, Kind, Result};
use parsleybeam::filter::{Chain, Services};
use parsleybeam::id::{self, Organisation};
use parsleybeam::route::Router;
use parsleybeam::upstream::{Http, Occupancy};
use parsleybeam::view::{Digest, Shared, State, Upstream, View};
use parsleybeam::wire::Pool;
use sha2::Digest as _;

pub const KEY: &str = "key-of-limpa-0123456789";
pub const BODY_LIMIT: usize = 4_096;

/// A limiter that admits every request and counts refunds.
#[derive(Default)]
pub struct Unlimited {
    pub refunds: Mutex<u32>,
}

impl Limiter for Unlimited {
    fn take(&self, _: &Organisation) -> LocalBoxFuture<'_, Result<()>> {
        Box::pin(ready(Ok(())))
    }

    fn refund(&self, _: &Organisation) {
        *self.refunds.lock() += 1;
    }
}

/// A one-time change to the view, applied while a request is being scheduled.
pub type Hook = Arc<Mutex<Option<fn(&mut View)>>>;

/// A scheduler that picks the first matching upstream that is not excluded.
pub struct FirstMatch {
    pub shared: Shared,
    pub hook: Hook,
}

impl Scheduler for FirstMatch {
    fn acquire(&self, ticket: Ticket) -> LocalBoxFuture<'_, Result<Permit>> {
        let granted = self.shared.load();
        if let Some(hook) = self.hook.lock().take() {
            let mut view = View::clone(&granted);
            hook(&mut view);
            self.shared.view.store(Arc::new(view));
        }
        let matches = |upstream: &&Upstream| {
            upstream.spec.serves == ticket.target && !ticket.excluded.contains(&upstream.name)
        };
        let permit = match granted.upstreams.values().find(matches) {
            Some(upstream) => Ok(Permit::new(upstream.name.clone(), || ())),
            None => Err(Error::new(Kind::NoUpstream, "none is left")),
        };
        Box::pin(ready(permit))
    }

    fn occupancy(&self) -> Vec<Occupancy> {
        Vec::new()
    }
}

/// How an engine handles one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers completely.
    Answer,
    /// Answers with the identifier of another request.
    WrongId,
    /// Closes the connection before sending any part of the answer.
    Disconnect,
    /// Closes the connection during the answer: a stream after this many events,
    /// any other answer after its first bytes.
    DisconnectAfter(u32),
    /// Sends no response until the connection is closed.
    Hang,
    /// Streams events without end.
    Endless,
    /// Answers with status 503.
    Unavailable,
    /// Answers after a delay of 200 ms.
    Delayed,
}

/// A request as received by the engine.
#[derive(Clone, Debug)]
pub struct Request {
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    pub path: String,
}

#[derive(Clone, Default)]
pub struct Engine {
    pub behaviours: Arc<Mutex<VecDeque<Behaviour>>>,
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Number of answers that were dropped before completion.
    pub aborted: Arc<Mutex<u32>>,
}

/// Counts an answer that is dropped before completion.
struct AbortGuard(Arc<Mutex<u32>>);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        *self.0.lock() += 1;
    }
}

/// Number of tokens in a complete stream.
pub const TOKENS: u32 = 8;

impl Engine {
    pub fn start(&self) -> SocketAddr {
        let engine = self.clone();
        let server = HttpServer::new(move || {
            App::new().app_data(web::Data::new(engine.clone())).default_service(web::to(answer))
        })
        .workers(1)
        .h1_allow_half_closed(false)
        .bind("127.0.0.1:0")
        .expect("bind a local port");
        let address = server.addrs()[0];
        actix_rt::spawn(server.disable_signals().run());
        address
    }

    pub fn enqueue<I>(&self, behaviours: I)
    where
        I: IntoIterator<Item = Behaviour>,
    {
        self.behaviours.lock().extend(behaviours);
    }

    pub fn count(&self) -> usize {
        self.requests.lock().len()
    }
}

async fn answer(request: HttpRequest, body: Bytes, engine: web::Data<Engine>) -> HttpResponse {
    let header_text =
        |(name, value): (
            &actix_web::http::header::HeaderName,
            &actix_web::http::header::HeaderValue,
        )| { (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned()) };
    let headers: Vec<_> = request.headers().iter().map(header_text).collect();
    let id = headers.iter().find(|(name, _)| name == "x-request-id").map(|(_, id)| id.clone());
    let id = id.unwrap_or_default();
    let path = request.uri().to_string();
    engine.requests.lock().push(Request { headers, body: body.clone(), path });
    let behaviour = engine.behaviours.lock().pop_front().unwrap_or(Behaviour::Answer);
    let guard = AbortGuard(engine.aborted.clone());
    let request_body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let from = request_body["resume_from"].as_u64().unwrap_or(0) as u32;
    let mut response = match behaviour {
        Behaviour::Unavailable => HttpResponse::ServiceUnavailable(),
        _ => HttpResponse::Ok(),
    };
    response.insert_header((
        "x-request-id",
        match behaviour {
            Behaviour::WrongId => "another",
            _ => id.as_str(),
        },
    ));
    if behaviour == Behaviour::Delayed {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    match behaviour {
        Behaviour::Hang | Behaviour::Disconnect => {
            if behaviour == Behaviour::Hang {
                futures_util::future::pending::<()>().await;
            }
            return response.streaming(events(&id, from, from, 0, Some(guard)));
        }
        _ => {}
    }
    if request_body["stream"].as_bool() != Some(true) {
        std::mem::forget(guard);
        return match behaviour {
            Behaviour::DisconnectAfter(_) => response.no_chunking(1_000).streaming(broken_answer()),
            _ => response.json(serde_json::json!({"id": id, "choices": [{"text": "whole"}]})),
        };
    }
    response.content_type("text/event-stream");
    match behaviour {
        Behaviour::DisconnectAfter(after) => {
            response.streaming(events(&id, from, from + after, 20, Some(guard)))
        }
        Behaviour::Endless => response.streaming(events(&id, from, u32::MAX, 20, Some(guard))),
        _ => {
            std::mem::forget(guard);
            response.streaming(events(&id, from, TOKENS, 0, None))
        }
    }
}

type Chunk = std::result::Result<Bytes, std::io::Error>;

fn broken_answer() -> impl futures_util::Stream<Item = Chunk> {
    futures_util::stream::iter([
        Ok(Bytes::from_static(b"{\"id\":")),
        Err(std::io::Error::other("simulated connection failure")),
    ])
}

/// Streams the events of the tokens `from..to`. The stream ends with an error
/// unless `to` is the last token.
fn events(
    id: &str,
    from: u32,
    to: u32,
    pause_ms: u64,
    guard: Option<AbortGuard>,
) -> impl futures_util::Stream<Item = Chunk> + use<> {
    let id = id.to_owned();
    let is_complete = to == TOKENS;
    futures_util::stream::unfold((from, guard), move |(position, guard)| {
        let id = id.clone();
        async move {
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            if position > to {
                return None;
            }
            let item = match position < to {
                true => {
                    let event = serde_json::json!({
                        "id": id, "position": position,
                        "choices": [{"index": 0, "text": format!("t{position} ")}],
                    });
                    Ok(Bytes::from(format!("data: {event}\n\n")))
                }
                false if is_complete => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                false => Err(std::io::Error::other("simulated connection failure")),
            };
            Some((item, (position + 1, guard)))
        }
    })
}

pub fn digest(key: &str) -> Digest {
    sha2::Sha256::digest(key.as_bytes()).into()
}

pub fn route(path: &str, target: Target, idempotent: bool) -> Route {
    Route { path: path.into(), target, open: false, idempotent, timeout_ms: 5_000 }
}

pub fn upstream(name: &str, address: SocketAddr, serves: Serves) -> Upstream {
    let spec = resource::Upstream {
        address,
        data_centre: "porto".into(),
        serves,
        capacity: 8,
        fenced: true,
    };
    Upstream { name: name.into(), spec, state: State::Live }
}

/// Returns a view with one organisation, one route to a model, two routes to a
/// plain service, and the given engines and plain services.
pub fn view(engines: &[SocketAddr], plain: &[SocketAddr]) -> View {
    let mut view = View { version: 1, ..View::default() };
    view.keys.insert(digest(KEY), "limpa".into());
    for route in [
        route("/v1/completions", Target::Models, true),
        route("/bill", Target::Service("bills".into()), false),
        Route { open: true, ..route("/open", Target::Service("bills".into()), true) },
    ] {
        view.routes.insert(route.path.clone(), route);
    }
    for (n, address) in engines.iter().enumerate() {
        let engine = upstream(&format!("engine-{n}"), *address, Serves::Model("m".into()));
        view.upstreams.insert(engine.name.clone(), engine);
    }
    for (n, address) in plain.iter().enumerate() {
        let serves = Serves::Service(id::Service::from("bills"));
        let service = upstream(&format!("plain-{n}"), *address, serves);
        view.upstreams.insert(service.name.clone(), service);
    }
    view
}

pub fn context(view: View) -> Context {
    let shared = Shared::default();
    shared.view.store(Arc::new(view));
    shared.contact.set(Time::NEVER);
    Context {
        vm: "entry-1".into(),
        data_centre: "porto".into(),
        clock: Arc::new(Monotonic::new()),
        log: parsleybeam::log::silent(),
        shared,
        peers: Pool::new("entry-1".into(), "a secret of the whole fleet".into()),
    }
}

/// An entry VM's caller interface and its components.
pub struct Entry {
    pub address: SocketAddr,
    pub context: Context,
    pub limiter: Arc<Unlimited>,
    pub router: Arc<Router>,
    pub hook: Hook,
}

pub fn entry<F>(view: View, claims: F) -> Entry
where
    F: Fn() -> Option<std::rc::Rc<dyn Claims>> + Clone + Send + 'static,
{
    let context = context(view);
    let limiter = Arc::new(Unlimited::default());
    let router = Router::new(context.clone(), 1);
    actix_rt::spawn(router.quarantine.clone().run());
    let hook = Hook::default();
    let (server_context, server_limiter, server_router) =
        (context.clone(), limiter.clone(), router.clone());
    let server_hook = hook.clone();
    let server = HttpServer::new(move || {
        let clock: Arc<dyn Clock> = server_context.clock.clone();
        let chain = Chain::new(Services {
            context: server_context.clone(),
            limiter: server_limiter.clone(),
            scheduler: Arc::new(FirstMatch {
                shared: server_context.shared.clone(),
                hook: server_hook.clone(),
            }),
            client: std::rc::Rc::new(Http::new(clock)),
            router: server_router.clone(),
            claims: claims(),
        });
        App::new()
            .app_data(web::Data::new(caller::State::new(chain, BODY_LIMIT)))
            .configure(caller::configure)
    })
    .workers(1)
    .h1_allow_half_closed(false)
    .bind("127.0.0.1:0")
    .expect("bind a local port");
    let address = server.addrs()[0];
    actix_rt::spawn(server.disable_signals().run());
    Entry { address, context, limiter, router, hook }
}

pub fn no_claims() -> Option<std::rc::Rc<dyn Claims>> {
    None
}

/// Creates a request with the caller's key.
pub fn post(entry: &Entry, path: &str) -> awc::ClientRequest {
    awc::Client::builder()
        .timeout(Duration::from_secs(10))
        .finish()
        .post(format!("http://{}{path}", entry.address))
        .insert_header(("authorization", format!("Bearer {KEY}")))
}

/// Sends a request and returns the status and body of the answer.
pub async fn send(request: awc::ClientRequest, body: &str) -> (u16, String) {
    let mut answer = request.send_body(body.to_owned()).await.expect("receive an answer");
    let bytes = answer.body().await.expect("read the body");
    (answer.status().as_u16(), String::from_utf8_lossy(&bytes).into_owned())
}

/// Parses a problem and returns its status, code and run state.
pub fn parse_problem(answer: &(u16, String)) -> (u16, String, String) {
    let problem: parsleybeam::error::Problem =
        serde_json::from_str(&answer.1).unwrap_or_else(|error| panic!("{error}: {answer:?}"));
    let code = problem.kind.rsplit(':').next().unwrap_or_default().to_owned();
    (answer.0, code, problem.run)
}

/// Waits until `holds` returns true, for at most ten seconds.
pub async fn wait_until<F>(condition: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    for _ in 0..1_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {condition}");
}
