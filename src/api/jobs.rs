//! Callers' API for batch jobs.
//!
//! - `POST /v1/batches?name=N&path=/v1/completions` with JSON lines
//!   `{"custom_id": ..., "body": ...}`: 201 once every item is durable on at
//!   least two stores, 200 if the same job exists already.
//! - `GET /v1/batches`, `GET /v1/batches/{name}`: progress.
//! - `GET /v1/batches/{name}/results?after=K&limit=L`: JSON lines in the order
//!   of completion; `x-next-after` is the offset of the next page and
//!   `x-complete` tells whether the job has no further results.
//! - `POST /v1/batches/{name}/cancel`: returns once no further item can start.
//!
//! Must be registered on the callers' listener before `caller::configure`:
//! `App::new().app_data(web::Data::new(jobs::State::new(client)))
//! .configure(jobs::configure)`.

use std::time::{SystemTime, UNIX_EPOCH};

use actix_web::http::header;
use actix_web::{HttpRequest, HttpResponse, web};
use futures_util::StreamExt;
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::batch::record::{Event, Item, Name, Seal, Stage};
use crate::batch::{Client, Progress, Upload};
use crate::config::resource::Target;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event;
use crate::filter;
use crate::id::Organisation;
use crate::segment::SegmentId;
use crate::view::View;
use crate::wire::batch::{Accepted, Operation, Reply, Results};

/// Default time until a job's deadline, in milliseconds: one day.
const DEFAULT_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum length of a job name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Default number of results per page.
const DEFAULT_PAGE_RESULTS: u32 = 1_000;

/// State of the API.
#[derive(Clone)]
pub struct State {
    client: Client,
}

impl State {
    /// Creates the state.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

/// Registers the API; expects `web::Data<State>`.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource("/v1/batches").route(web::post().to(submit)).route(web::get().to(list)),
        )
        .service(web::resource("/v1/batches/{name}").route(web::get().to(status)))
        .service(web::resource("/v1/batches/{name}/results").route(web::get().to(results)))
        .service(web::resource("/v1/batches/{name}/cancel").route(web::post().to(cancel)));
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Submit {
    name: String,
    path: String,
    deadline_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PageQuery {
    #[serde(default)]
    after: u32,
    limit: Option<u32>,
}

async fn submit(
    request: HttpRequest,
    query: web::Query<Submit>,
    payload: web::Payload,
    state: web::Data<State>,
) -> Result<HttpResponse> {
    let organisation = identify(&request, &state)?;
    check_name(&query.name)?;
    let view = state.client.context().shared.load();
    if !view.routes.contains_key(&query.path) {
        return Err(Error::new(Kind::UnknownRoute, format!("no route has path {}", query.path)));
    }
    let name = Name { organisation: organisation.as_str().into(), job: query.name.clone() };
    let accepted = upload(&state, name, &query, &view, payload).await?;
    let log = &state.client.context().log;
    emit!(log, event::Event::JobAccepted, "organisation" => organisation.to_string(),
        "job" => query.name.clone(), "items" => accepted.total, "created" => accepted.created);
    let body = serde_json::json!({
        "name": query.name, "total": accepted.total, "created": accepted.created,
    });
    if accepted.created {
        return Ok(HttpResponse::Created().json(body));
    }
    Ok(HttpResponse::Ok().json(body))
}

/// Stages the items while the body arrives, then seals the job.
async fn upload(
    state: &State,
    name: Name,
    query: &Submit,
    view: &View,
    mut payload: web::Payload,
) -> Result<Accepted> {
    let segment = SegmentId::of(&name.organisation, &name.job);
    let id = format!("{:032x}", rand::random::<u128>());
    let mut upload = Upload::new(&query.path);
    let mut staged = 0;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk
            .map_err(|error| Error::new(Kind::Malformed, format!("the body broke off: {error}")))?;
        for items in upload.push(&chunk)? {
            staged = stage(state, segment, &id, staged, items).await?;
        }
    }
    let items = upload.finish()?;
    stage(state, segment, &id, staged, items).await?;
    let route = view.routes.get(&query.path);
    let route = route.ok_or_else(|| Error::new(Kind::UnknownRoute, "the route is gone"))?;
    let target = match &route.target {
        Target::Service(service) => format!("service:{service}"),
        Target::Models => {
            let model = upload.model();
            let model = model.ok_or_else(|| Error::new(Kind::Invalid, "items name no model"))?;
            format!("model:{model}")
        }
    };
    let weight = view.organisations.get(&Organisation::from(name.organisation.as_str()));
    let seal = Seal {
        weight: weight.map_or(1, |organisation| organisation.weight),
        name,
        upload: id,
        total: upload.total(),
        digest: upload.digest(),
        path: query.path.clone(),
        target,
        idempotent: route.idempotent,
        deadline_ms: query.deadline_ms.unwrap_or(unix_ms() + DEFAULT_DEADLINE_MS),
    };
    match state.client.commit(segment, Event::Seal(seal)).await? {
        Reply::Accepted(accepted) => Ok(accepted),
        _ => Err(unexpected_reply()),
    }
}

async fn stage(
    state: &State,
    segment: SegmentId,
    upload: &str,
    first: u32,
    items: Vec<Item>,
) -> Result<u32> {
    let next = first + items.len() as u32;
    if items.is_empty() {
        return Ok(next);
    }
    let stage = Stage { upload: upload.to_owned(), first, items };
    state.client.commit(segment, Event::Stage(stage)).await?;
    Ok(next)
}

async fn list(request: HttpRequest, state: web::Data<State>) -> Result<HttpResponse> {
    let organisation = identify(&request, &state)?;
    let replies = SegmentId::all().map(|segment| {
        state.client.ask(segment, Operation::List(organisation.as_str().to_owned()))
    });
    let mut jobs: Vec<Progress> = Vec::new();
    for reply in futures_util::future::join_all(replies).await {
        let Reply::Json(bytes) = reply? else { return Err(unexpected_reply()) };
        let part: Vec<Progress> = serde_json::from_slice(&bytes).map_err(|_| unexpected_reply())?;
        jobs.extend(part);
    }
    jobs.sort_by(|one, other| one.name.cmp(&other.name));
    Ok(HttpResponse::Ok().json(serde_json::json!({ "batches": jobs })))
}

async fn status(
    request: HttpRequest,
    path: web::Path<String>,
    state: web::Data<State>,
) -> Result<HttpResponse> {
    let (segment, name) = locate(&request, &state, path.into_inner())?;
    match state.client.ask(segment, Operation::Status(name)).await? {
        Reply::Json(bytes) => {
            Ok(HttpResponse::Ok().content_type(header::ContentType::json()).body(bytes))
        }
        _ => Err(unexpected_reply()),
    }
}

async fn results(
    request: HttpRequest,
    path: web::Path<String>,
    query: web::Query<PageQuery>,
    state: web::Data<State>,
) -> Result<HttpResponse> {
    let (segment, name) = locate(&request, &state, path.into_inner())?;
    let limit = query.limit.unwrap_or(DEFAULT_PAGE_RESULTS);
    let operation = Operation::Results(Results { name, after: query.after, limit });
    match state.client.ask(segment, operation).await? {
        Reply::Page(page) => Ok(HttpResponse::Ok()
            .content_type("application/jsonl")
            .insert_header(("x-next-after", page.next.to_string()))
            .insert_header(("x-complete", page.complete.to_string()))
            .body(page.lines)),
        _ => Err(unexpected_reply()),
    }
}

async fn cancel(
    request: HttpRequest,
    path: web::Path<String>,
    state: web::Data<State>,
) -> Result<HttpResponse> {
    let (segment, name) = locate(&request, &state, path.into_inner())?;
    let job = name.job.clone();
    state.client.commit(segment, Event::Cancel(name)).await?;
    emit!(state.client.context().log, event::Event::JobCancelled, "job" => job.clone());
    Ok(HttpResponse::Ok().json(serde_json::json!({ "name": job, "cancelled": true })))
}

fn locate(request: &HttpRequest, state: &State, job: String) -> Result<(SegmentId, Name)> {
    let organisation = identify(request, state)?;
    let segment = SegmentId::of(organisation.as_str(), &job);
    Ok((segment, Name { organisation: organisation.as_str().into(), job }))
}

/// Returns the organisation that the request's key currently belongs to.
fn identify(request: &HttpRequest, state: &State) -> Result<Organisation> {
    let value = request.headers().get(header::AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| Error::new(Kind::KeyMissing, "send a key as a bearer token"))?;
    filter::authenticate(state.client.context(), &Sha256::digest(key.trim().as_bytes()).into())
}

fn check_name(name: &str) -> Result<()> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(plain) {
        return Ok(());
    }
    let text = "name: 1 to 200 letters, digits, dashes, dots or underscores";
    Err(Error::new(Kind::Invalid, text))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn unexpected_reply() -> Error {
    Error::new(Kind::Internal, "the segment answered something else")
}
