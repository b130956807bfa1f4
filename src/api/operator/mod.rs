//! Resource API for operators.
//!
//! `/api/v1/{kind}s` lists and watches, `/api/v1/{kind}s/{name}` reads, writes
//! and deletes, `/api/v1/status` returns the state of the fleet. Every request
//! needs an operator's credential as bearer token.

mod answer;
mod credential;
mod watch;

pub use answer::List;
pub use credential::Credentials;

use actix_web::http::header;
use actix_web::web::{self, Bytes, Data, Path, Query};
use actix_web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use serde_json::Value;

use crate::config::resource::{Kind, Spec};
use crate::config::{Id, check_name, read_spec};
use crate::control::{Handle, Precondition, Written};
use crate::error::{self, Error, Result};

/// Maximum size of a resource, in bytes.
const MAX_RESOURCE_BYTES: usize = 256 << 10;

/// Adds the resource API; expects `Data<Handle>` and `Data<Credentials>`.
pub fn configure(config: &mut web::ServiceConfig) {
    config.app_data(web::PayloadConfig::new(MAX_RESOURCE_BYTES)).service(
        web::scope("/api/v1")
            .service(web::resource("/status").route(web::get().to(status)))
            .service(web::resource("/{kind}s").route(web::get().to(list)))
            .service(
                web::resource("/{kind}s/{name}")
                    .route(web::get().to(read))
                    .route(web::put().to(write))
                    .route(web::delete().to(delete)),
            ),
    );
}

/// Query parameters of a list.
#[derive(Deserialize)]
struct ListQuery {
    /// Nonzero to watch.
    #[serde(default)]
    watch: u8,
    /// Version to watch from.
    #[serde(default)]
    from: u64,
}

async fn list(
    request: HttpRequest,
    kind: Path<String>,
    query: Query<ListQuery>,
    handle: Data<Handle>,
) -> Result<HttpResponse> {
    credential::check(&request)?;
    let kind = parse_kind(&kind)?;
    if query.watch != 0 {
        return Ok(watch::answer(handle.watch(kind, query.from).await?));
    }
    let (version, items) = handle.list(kind).await?;
    Ok(HttpResponse::Ok().json(List { version, items }))
}

async fn status(request: HttpRequest, handle: Data<Handle>) -> Result<HttpResponse> {
    credential::check(&request)?;
    Ok(HttpResponse::Ok().json(handle.fleet().await?))
}

async fn read(
    request: HttpRequest,
    path: Path<(String, String)>,
    handle: Data<Handle>,
) -> Result<HttpResponse> {
    credential::check(&request)?;
    let resource = handle.get(parse_id(&path)?).await?;
    Ok(answer::resource(HttpResponse::Ok(), resource))
}

async fn write(
    request: HttpRequest,
    path: Path<(String, String)>,
    body: Bytes,
    handle: Data<Handle>,
) -> Result<HttpResponse> {
    credential::check(&request)?;
    let id = parse_id(&path)?;
    let spec = parse_body(&id, &body)?;
    let written = handle.write(id, Some(spec), precondition(&request)?).await?;
    Ok(answer::written(written))
}

async fn delete(
    request: HttpRequest,
    path: Path<(String, String)>,
    handle: Data<Handle>,
) -> Result<HttpResponse> {
    credential::check(&request)?;
    let id = parse_id(&path)?;
    let written: Written = handle.write(id, None, precondition(&request)?).await?;
    Ok(answer::written(written))
}

fn parse_kind(text: &str) -> Result<Kind> {
    let known = Kind::ALL.into_iter().find(|kind| kind.to_string() == text);
    known.ok_or_else(|| Error::new(error::Kind::NotFound, format!("no kind {text}")))
}

fn parse_id(path: &(String, String)) -> Result<Id> {
    let kind = parse_kind(&path.0)?;
    check_name(&path.1)?;
    Ok(Id { kind, name: path.1.clone() })
}

/// Body of a write. `kind` and `name` are optional; `version` and `status` are ignored.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    kind: Option<String>,
    name: Option<String>,
    #[serde(default)]
    #[serde(rename = "version")]
    _version: Option<u64>,
    #[serde(default)]
    #[serde(rename = "status")]
    _status: Option<Value>,
    spec: Value,
}

fn parse_body(id: &Id, bytes: &[u8]) -> Result<Spec> {
    let value: Value = serde_json::from_slice(bytes)
        .map_err(|error| Error::new(error::Kind::Malformed, error.to_string()))?;
    let body: Body = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        Error::new(error::Kind::Invalid, format!("{path}: {}", error.into_inner()))
    })?;
    if body.kind.is_some_and(|kind| kind != id.kind.to_string()) {
        return Err(Error::new(error::Kind::Invalid, "kind: differs from the path"));
    }
    if body.name.is_some_and(|name| name != id.name) {
        return Err(Error::new(error::Kind::Invalid, "name: differs from the path"));
    }
    read_spec(id.kind, body.spec)
}

fn precondition(request: &HttpRequest) -> Result<Precondition> {
    let text = |name: header::HeaderName| {
        request.headers().get(name).map(|value| value.to_str().unwrap_or("").trim().to_owned())
    };
    if text(header::IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Ok(Precondition::Absent);
    }
    match text(header::IF_MATCH).as_deref() {
        None | Some("*") => Ok(Precondition::Any),
        Some(tag) => tag.trim_matches('"').parse().map(Precondition::Version).map_err(|_| {
            Error::new(error::Kind::Malformed, "If-Match: must be a resource's version")
        }),
    }
}
