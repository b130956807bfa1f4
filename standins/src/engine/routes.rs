//! HTTP paths of the engine.

use actix_web::web::{Bytes, Data, Json, Query};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::stream;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::answer::{Choice, Event, Message, Request, Usage, Whole};
use super::cache::{self, Cache};
use super::load::{Load, Report};
use super::orders::{Order, Orders, State};
use super::run::{self, Run, Runs};
use super::token;
use crate::faults::Faults;
use crate::record::{REQUEST_ID, Record};

/// Bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;

/// Identifier that a crossed answer carries when no other was seen.
const NO_OTHER: &str = "another-request";

static LAST_ID: Mutex<String> = Mutex::new(String::new());

/// What every completion needs.
pub(super) struct Parts {
    record: Data<Record>,
    runs: Data<Runs>,
    cache: Data<Cache>,
    orders: Data<Orders>,
    faults: Data<Faults>,
}

pub(super) async fn complete(parts: Parts, request: HttpRequest, body: Bytes) -> HttpResponse {
    parts.answer(request, body, false).await
}

pub(super) async fn chat(parts: Parts, request: HttpRequest, body: Bytes) -> HttpResponse {
    parts.answer(request, body, true).await
}

impl actix_web::FromRequest for Parts {
    type Error = actix_web::Error;
    type Future = std::future::Ready<Result<Self, Self::Error>>;

    fn from_request(request: &HttpRequest, _: &mut actix_web::dev::Payload) -> Self::Future {
        std::future::ready(Self::of(request).ok_or_else(|| {
            actix_web::error::ErrorInternalServerError("the engine isn't configured")
        }))
    }
}

/// The answer to one request.
struct Answer {
    id: String,
    prompt: String,
    request: Request,
    chat: bool,
}

impl Parts {
    fn of(request: &HttpRequest) -> Option<Self> {
        Some(Self {
            record: request.app_data::<Data<Record>>()?.clone(),
            runs: request.app_data::<Data<Runs>>()?.clone(),
            cache: request.app_data::<Data<Cache>>()?.clone(),
            orders: request.app_data::<Data<Orders>>()?.clone(),
            faults: request.app_data::<Data<Faults>>()?.clone(),
        })
    }

    async fn answer(self, request: HttpRequest, body: Bytes, chat: bool) -> HttpResponse {
        let wanted: Request = match serde_json::from_slice(&body) {
            Ok(wanted) => wanted,
            Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
        };
        if !self.orders.serves(&wanted.model) {
            return HttpResponse::NotFound().body("model not loaded");
        }
        let id = self.record.note(&request, &body);
        let prompt = wanted.whole_prompt();
        self.runs.swallow(&prompt);
        let hit = self.cache.touch(token::prefix(&prompt));
        let ended = run::Cancelled { id: id.clone(), prompt: prompt.clone() };
        let run = Run::start(self.runs, self.faults.clone(), request, ended, hit);
        let shown = shown_id(&self.faults, id);
        let answer = Answer { id: shown, prompt, request: wanted, chat };
        if answer.request.stream { answer.stream(run) } else { answer.whole(run).await }
    }
}

/// The request's own identifier, or another's if the answer is to be crossed.
fn shown_id(faults: &Faults, id: String) -> String {
    let last = std::mem::replace(&mut *LAST_ID.lock(), id.clone());
    if !faults.cross_answer() {
        return id;
    }
    if last.is_empty() || last == id { NO_OTHER.to_owned() } else { last }
}

impl Answer {
    async fn whole(self, mut run: Run) -> HttpResponse {
        let last = self.request.max_tokens;
        for _ in self.request.resume_from..last {
            if !run.token().await {
                return HttpResponse::ServiceUnavailable().body("cancelled");
            }
        }
        run.finished = true;
        let text: String = (self.request.resume_from..last)
            .map(|place| token::text(&self.prompt, place))
            .collect();
        let prompt_tokens = self.prompt.len().div_ceil(TOKEN_BYTES) as u32;
        let usage =
            Usage { prompt_tokens, completion_tokens: last, total_tokens: prompt_tokens + last };
        let finish_reason = Some("length".to_owned());
        let choice = Choice { finish_reason, ..self.choice(text, false) };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        HttpResponse::Ok().insert_header((REQUEST_ID, self.id.clone())).json(Whole {
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
        let events = stream::unfold((self, run, first), |(answer, mut run, place)| async move {
            if run.finished {
                return None;
            }
            if place >= answer.request.max_tokens {
                run.finished = true;
                return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), (answer, run, place)));
            }
            if !run.token().await {
                return None;
            }
            let event = answer.event(place);
            Some((Ok::<_, actix_web::Error>(event), (answer, run, place + 1)))
        });
        HttpResponse::Ok()
            .insert_header((REQUEST_ID, id))
            .content_type("text/event-stream")
            .streaming(events)
    }

    fn event(&self, position: u32) -> Bytes {
        let choice = self.choice(token::text(&self.prompt, position), true);
        let event = Event { id: self.id.clone(), position, choices: vec![choice] };
        let json = serde_json::to_string(&event).unwrap_or_default();
        Bytes::from(format!("data: {json}\n\n"))
    }

    fn choice(&self, text: String, partial: bool) -> Choice {
        if !self.chat {
            return Choice { text: Some(text), ..Choice::default() };
        }
        let message = Some(Message { role: "assistant".into(), content: text });
        if partial {
            return Choice { delta: message, ..Choice::default() };
        }
        Choice { message, ..Choice::default() }
    }
}

/// A request to cancel.
#[derive(Deserialize)]
pub(super) struct Cancel {
    id: String,
}

/// Whether a request was found to cancel.
#[derive(Serialize)]
pub(super) struct Found {
    cancelled: bool,
}

pub(super) async fn cancel(runs: Data<Runs>, wanted: Json<Cancel>) -> Json<Found> {
    Json(Found { cancelled: runs.cancel(&wanted.id) })
}

pub(super) async fn cancelled(runs: Data<Runs>) -> Json<Vec<run::Cancelled>> {
    Json(runs.cancelled())
}

pub(super) async fn load(load: Data<Load>, runs: Data<Runs>) -> Json<Report> {
    Json(load.report(runs.active()))
}

/// Where to go on in the cache events.
#[derive(Deserialize)]
pub(super) struct After {
    #[serde(default)]
    after: u64,
}

/// Cache events that may be told by now.
#[derive(Serialize)]
pub(super) struct Events {
    events: Vec<cache::Event>,
}

pub(super) async fn cache_events(cache: Data<Cache>, query: Query<After>) -> Json<Events> {
    Json(Events { events: cache.events(query.after) })
}

/// The fencing number that barred an order.
#[derive(Serialize)]
struct Barred {
    fence: u64,
}

pub(super) async fn order(orders: Data<Orders>, order: Json<Order>) -> HttpResponse {
    actix_rt::time::sleep(std::time::Duration::from_millis(orders.order_ms)).await;
    match orders.take(order.into_inner()) {
        Ok(()) => HttpResponse::Ok().json(orders.state()),
        Err(fence) => HttpResponse::Conflict().json(Barred { fence }),
    }
}

pub(super) async fn state(orders: Data<Orders>) -> Json<State> {
    Json(orders.state())
}
