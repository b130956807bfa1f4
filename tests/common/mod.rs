//! What tests of the online path share: surroundings, an engine whose answers
//! a test can steer, and a caller's interface before it.
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

/// Lets everything pass and counts what was given back.
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

/// What happens to the view while a request waits.
pub type Hook = Arc<Mutex<Option<fn(&mut View)>>>;

/// Gives the first upstream that serves the target and isn't excluded.
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
        let fits = |upstream: &&Upstream| {
            upstream.spec.serves == ticket.target && !ticket.excluded.contains(&upstream.name)
        };
        let permit = match granted.upstreams.values().find(fits) {
            Some(upstream) => Ok(Permit::new(upstream.name.clone(), || ())),
            None => Err(Error::new(Kind::NoUpstream, "none is left")),
        };
        Box::pin(ready(permit))
    }

    fn occupancy(&self) -> Vec<Occupancy> {
        Vec::new()
    }
}

/// How an engine treats its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers whole.
    Answer,
    /// Answers with another request's identifier.
    WrongId,
    /// Breaks the connection before any answer.
    Disconnect,
    /// Breaks the connection after so many events or bytes.
    DisconnectAfter(u32),
    /// Answers nothing until the connection ends.
    Hang,
    /// Sends events for ever.
    Endless,
    /// Says that it can't serve.
    Unavailable,
    /// Answers after a while.
    Delayed,
}

/// One request as an upstream saw it.
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
    /// Answers that ended before they were whole, because nobody waited.
    pub aborted: Arc<Mutex<u32>>,
}

/// Counts an answer that is dropped.
struct AbortGuard(Arc<Mutex<u32>>);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        *self.0.lock() += 1;
    }
}

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
        .expect("bind");
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
    let text =
        |(name, value): (
            &actix_web::http::header::HeaderName,
            &actix_web::http::header::HeaderValue,
        )| { (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned()) };
    let headers: Vec<_> = request.headers().iter().map(text).collect();
    let id = headers.iter().find(|(name, _)| name == "x-request-id").map(|(_, id)| id.clone());
    let id = id.unwrap_or_default();
    let path = request.uri().to_string();
    engine.requests.lock().push(Request { headers, body: body.clone(), path });
    let act = engine.behaviours.lock().pop_front().unwrap_or(Behaviour::Answer);
    let guard = AbortGuard(engine.aborted.clone());
    let asked: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let from = asked["resume_from"].as_u64().unwrap_or(0) as u32;
    let mut response = match act {
        Behaviour::Unavailable => HttpResponse::ServiceUnavailable(),
        _ => HttpResponse::Ok(),
    };
    response.insert_header((
        "x-request-id",
        match act {
            Behaviour::WrongId => "another",
            _ => id.as_str(),
        },
    ));
    if act == Behaviour::Delayed {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    match act {
        Behaviour::Hang | Behaviour::Disconnect => {
            if act == Behaviour::Hang {
                futures_util::future::pending::<()>().await;
            }
            return response.streaming(events(&id, from, from, 0, Some(guard)));
        }
        _ => {}
    }
    if asked["stream"].as_bool() != Some(true) {
        std::mem::forget(guard);
        return match act {
            Behaviour::DisconnectAfter(_) => response.no_chunking(1_000).streaming(broken()),
            _ => response.json(serde_json::json!({"id": id, "choices": [{"text": "whole"}]})),
        };
    }
    response.content_type("text/event-stream");
    match act {
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

type Broken = std::result::Result<Bytes, std::io::Error>;

fn broken() -> impl futures_util::Stream<Item = Broken> {
    futures_util::stream::iter([
        Ok(Bytes::from_static(b"{\"id\":")),
        Err(std::io::Error::other("the engine dies")),
    ])
}

/// Events of the tokens `from..to`; those that end early break off.
fn events(
    id: &str,
    from: u32,
    to: u32,
    pause_ms: u64,
    guard: Option<AbortGuard>,
) -> impl futures_util::Stream<Item = Broken> + use<> {
    let id = id.to_owned();
    let whole = to == TOKENS;
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
                false if whole => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                false => Err(std::io::Error::other("the engine dies")),
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

/// A view with one organisation, one model route, one plain route and these
/// engines and plain services.
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

/// A caller's interface and what stands behind it.
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
    let (inner, inner_limiter, inner_router) = (context.clone(), limiter.clone(), router.clone());
    let inner_hook = hook.clone();
    let server = HttpServer::new(move || {
        let clock: Arc<dyn Clock> = inner.clock.clone();
        let chain = Chain::new(Services {
            context: inner.clone(),
            limiter: inner_limiter.clone(),
            scheduler: Arc::new(FirstMatch {
                shared: inner.shared.clone(),
                hook: inner_hook.clone(),
            }),
            client: std::rc::Rc::new(Http::new(clock)),
            router: inner_router.clone(),
            claims: claims(),
        });
        App::new()
            .app_data(web::Data::new(caller::State::new(chain, BODY_LIMIT)))
            .configure(caller::configure)
    })
    .workers(1)
    .h1_allow_half_closed(false)
    .bind("127.0.0.1:0")
    .expect("bind");
    let address = server.addrs()[0];
    actix_rt::spawn(server.disable_signals().run());
    Entry { address, context, limiter, router, hook }
}

pub fn no_claims() -> Option<std::rc::Rc<dyn Claims>> {
    None
}

/// A caller's request.
pub fn post(entry: &Entry, path: &str) -> awc::ClientRequest {
    awc::Client::builder()
        .timeout(Duration::from_secs(10))
        .finish()
        .post(format!("http://{}{path}", entry.address))
        .insert_header(("authorization", format!("Bearer {KEY}")))
}

/// Status and body of an answer.
pub async fn send(request: awc::ClientRequest, body: &str) -> (u16, String) {
    let mut answer = request.send_body(body.to_owned()).await.expect("an answer");
    let bytes = answer.body().await.expect("a body");
    (answer.status().as_u16(), String::from_utf8_lossy(&bytes).into_owned())
}

/// Code and run of a problem.
pub fn parse_problem(answer: &(u16, String)) -> (u16, String, String) {
    let problem: parsleybeam::error::Problem =
        serde_json::from_str(&answer.1).unwrap_or_else(|error| panic!("{error}: {answer:?}"));
    let code = problem.kind.rsplit(':').next().unwrap_or_default().to_owned();
    (answer.0, code, problem.run)
}

/// Waits until `holds`, for ten seconds at most.
pub async fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    for _ in 0..1_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never came: {what}");
}
