//! HTTP handlers of the engine.

use actix_web::web::{Bytes, Data, Json, Query};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::stream;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::cache::{self, Cache};
use super::load::{Load, Report};
use super::openai::{Choice, Chunk, Completion, Message, Request, Usage};
use super::orders::{Order, Orders, State};
use super::run::{self, Run, Runs};
use super::token;
use crate::faults::Faults;
use crate::record::{REQUEST_ID, Record};

/// Prompt bytes counted as one token.
const TOKEN_BYTES: usize = 4;

/// Identifier of a crossed response when no other request has been received.
const FALLBACK_ID: &str = "another-request";

static LAST_ID: Mutex<String> = Mutex::new(String::new());

/// Shared state used by the completion handlers.
pub(super) struct Context {
    record: Data<Record>,
    runs: Data<Runs>,
    cache: Data<Cache>,
    orders: Data<Orders>,
    faults: Data<Faults>,
}

pub(super) async fn complete(context: Context, request: HttpRequest, body: Bytes) -> HttpResponse {
    context.respond(request, body, false).await
}

pub(super) async fn chat(context: Context, request: HttpRequest, body: Bytes) -> HttpResponse {
    context.respond(request, body, true).await
}

impl actix_web::FromRequest for Context {
    type Error = actix_web::Error;
    type Future = std::future::Ready<Result<Self, Self::Error>>;

    fn from_request(request: &HttpRequest, _: &mut actix_web::dev::Payload) -> Self::Future {
        std::future::ready(Self::extract(request).ok_or_else(|| {
            actix_web::error::ErrorInternalServerError("the engine isn't configured")
        }))
    }
}

/// The response to generate for one request.
struct Generation {
    id: String,
    prompt: String,
    request: Request,
    chat: bool,
}

impl Context {
    fn extract(request: &HttpRequest) -> Option<Self> {
        Some(Self {
            record: request.app_data::<Data<Record>>()?.clone(),
            runs: request.app_data::<Data<Runs>>()?.clone(),
            cache: request.app_data::<Data<Cache>>()?.clone(),
            orders: request.app_data::<Data<Orders>>()?.clone(),
            faults: request.app_data::<Data<Faults>>()?.clone(),
        })
    }

    async fn respond(self, request: HttpRequest, body: Bytes, chat: bool) -> HttpResponse {
        let parsed: Request = match serde_json::from_slice(&body) {
            Ok(parsed) => parsed,
            Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
        };
        if !self.orders.serves(&parsed.model) {
            return HttpResponse::NotFound().body("model not loaded");
        }
        let id = self.record.add(&request, &body);
        let prompt = parsed.full_prompt();
        self.runs.crash_if_poisoned(&prompt);
        let hit = self.cache.touch(token::prefix(&prompt));
        let cancelled = run::Cancelled { id: id.clone(), prompt: prompt.clone() };
        let run = Run::start(self.runs, self.faults.clone(), request, cancelled, hit);
        let sent_id = response_id(&self.faults, id);
        let generation = Generation { id: sent_id, prompt, request: parsed, chat };
        if generation.request.stream {
            generation.stream(run)
        } else {
            generation.collect(run).await
        }
    }
}

/// Returns the request's identifier, or the previous request's if the response is to be crossed.
fn response_id(faults: &Faults, id: String) -> String {
    let last = std::mem::replace(&mut *LAST_ID.lock(), id.clone());
    if !faults.take_crossed_answer() {
        return id;
    }
    if last.is_empty() || last == id { FALLBACK_ID.to_owned() } else { last }
}

impl Generation {
    async fn collect(self, mut run: Run) -> HttpResponse {
        let last = self.request.max_tokens;
        for _ in self.request.resume_from..last {
            if !run.next_token().await {
                return HttpResponse::ServiceUnavailable().body("cancelled");
            }
        }
        run.finished = true;
        let text: String = (self.request.resume_from..last)
            .map(|position| token::text(&self.prompt, position))
            .collect();
        let prompt_tokens = self.prompt.len().div_ceil(TOKEN_BYTES) as u32;
        let usage =
            Usage { prompt_tokens, completion_tokens: last, total_tokens: prompt_tokens + last };
        let finish_reason = Some("length".to_owned());
        let choice = Choice { finish_reason, ..self.choice(text, false) };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        HttpResponse::Ok().insert_header((REQUEST_ID, self.id.clone())).json(Completion {
            id: self.id,
            object: object.into(),
            model: self.request.model,
            choices: vec![choice],
            usage,
        })
    }

    fn stream(self, run: Run) -> HttpResponse {
        let id = self.id.clone();
        let first = self.request.resume_from;
        let events =
            stream::unfold((self, run, first), |(generation, mut run, position)| async move {
                if run.finished {
                    return None;
                }
                if position >= generation.request.max_tokens {
                    run.finished = true;
                    return Some((
                        Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                        (generation, run, position),
                    ));
                }
                if !run.next_token().await {
                    return None;
                }
                let chunk = generation.chunk(position);
                Some((Ok::<_, actix_web::Error>(chunk), (generation, run, position + 1)))
            });
        HttpResponse::Ok()
            .insert_header((REQUEST_ID, id))
            .content_type("text/event-stream")
            .streaming(events)
    }

    fn chunk(&self, position: u32) -> Bytes {
        let choice = self.choice(token::text(&self.prompt, position), true);
        let chunk = Chunk { id: self.id.clone(), position, choices: vec![choice] };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        Bytes::from(format!("data: {json}\n\n"))
    }

    fn choice(&self, text: String, streamed: bool) -> Choice {
        if !self.chat {
            return Choice { text: Some(text), ..Choice::default() };
        }
        let message = Some(Message { role: "assistant".into(), content: text });
        if streamed {
            return Choice { delta: message, ..Choice::default() };
        }
        Choice { message, ..Choice::default() }
    }
}

/// A cancellation by request identifier.
#[derive(Deserialize)]
pub(super) struct Cancel {
    id: String,
}

/// Result of a cancellation: whether a running request had the identifier.
#[derive(Serialize)]
pub(super) struct CancelResponse {
    cancelled: bool,
}

pub(super) async fn cancel(runs: Data<Runs>, cancel: Json<Cancel>) -> Json<CancelResponse> {
    Json(CancelResponse { cancelled: runs.cancel(&cancel.id) })
}

pub(super) async fn cancelled(runs: Data<Runs>) -> Json<Vec<run::Cancelled>> {
    Json(runs.cancelled())
}

pub(super) async fn load(load: Data<Load>, runs: Data<Runs>) -> Json<Report> {
    Json(load.report(runs.active()))
}

/// Sequence number after which cache events are returned.
#[derive(Deserialize)]
pub(super) struct EventsQuery {
    #[serde(default)]
    after: u64,
}

/// Cache events whose delay has passed.
#[derive(Serialize)]
pub(super) struct Events {
    events: Vec<cache::Event>,
}

pub(super) async fn cache_events(cache: Data<Cache>, query: Query<EventsQuery>) -> Json<Events> {
    Json(Events { events: cache.events(query.after) })
}

/// Body of a refused order: the highest fencing token received.
#[derive(Serialize)]
struct FenceRefusal {
    fence: u64,
}

pub(super) async fn order(orders: Data<Orders>, order: Json<Order>) -> HttpResponse {
    actix_rt::time::sleep(std::time::Duration::from_millis(orders.order_ms)).await;
    match orders.apply(order.into_inner()) {
        Ok(()) => HttpResponse::Ok().json(orders.state()),
        Err(fence) => HttpResponse::Conflict().json(FenceRefusal { fence }),
    }
}

pub(super) async fn state(orders: Data<Orders>) -> Json<State> {
    Json(orders.state())
}
