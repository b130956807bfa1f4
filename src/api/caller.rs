//! Callers' API for online requests. Every path that isn't registered
//! otherwise is looked up as a route of the configuration.
//!
//! Set-up, per worker thread, in the application factory:
//! `App::new().app_data(web::Data::new(caller::State::new(chain, body_limit)))
//! .configure(caller::configure)`. The server should be built with
//! `h1_allow_half_closed(false)`. Otherwise a request isn't dropped, and
//! cancelled upstream, when its caller disconnects before the response.

use std::rc::Rc;

use actix_web::http::header;
use actix_web::{HttpRequest, HttpResponse, ResponseError, web};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::claim::Answer;
use crate::error::{Error, Kind, Result};
use crate::filter::{Chain, IDEMPOTENCY_KEY, REQUEST_ID, Reply, Request};

/// State of the API, one per worker thread.
pub struct State {
    chain: Rc<Chain>,
    body_limit: usize,
}

impl State {
    /// Creates the state; `body_limit` is the maximum body size in bytes.
    pub fn new(chain: Chain, body_limit: usize) -> Self {
        Self { chain: Rc::new(chain), body_limit }
    }
}

/// Registers the API; expects `web::Data<State>`.
pub fn configure(config: &mut web::ServiceConfig) {
    config.default_service(web::to(call));
}

async fn call(
    request: HttpRequest,
    payload: web::Payload,
    state: web::Data<State>,
) -> HttpResponse {
    let body = match read(payload, state.body_limit).await {
        Ok(body) => body,
        Err(error) => return error.error_response(),
    };
    let incoming = Request {
        method: request.method().clone(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    let (name, reply) = run(&state.chain, incoming).await;
    let mut response = match reply {
        Ok(Reply::Whole(answer)) => build_response(answer),
        Ok(Reply::Stream(events)) => HttpResponse::Ok()
            .insert_header((header::CONTENT_TYPE, "text/event-stream"))
            .insert_header((header::CACHE_CONTROL, "no-store"))
            .streaming(events),
        Err(error) => error.error_response(),
    };
    if let Ok(value) = header::HeaderValue::from_str(&name) {
        response.headers_mut().insert(header::HeaderName::from_static(REQUEST_ID), value);
    }
    response
}

/// Runs the chain. A request with an idempotency key is completed even if its
/// caller disconnects, so that a retry gets its response.
async fn run(chain: &Rc<Chain>, incoming: Request) -> (String, Result<Reply>) {
    if !incoming.headers.contains_key(IDEMPOTENCY_KEY) {
        return chain.run(incoming).await;
    }
    let chain = chain.clone();
    let run = actix_rt::spawn(async move { chain.run(incoming).await });
    let dropped = |_| (String::new(), Err(Error::new(Kind::Internal, "the request was dropped")));
    run.await.unwrap_or_else(dropped)
}

fn build_response(answer: Answer) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(answer.status);
    let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if !answer.content_type.is_empty() {
        response.insert_header((header::CONTENT_TYPE, answer.content_type));
    }
    response.body(answer.body)
}

/// Reads a request body; fails if it exceeds `limit` bytes.
pub(crate) async fn read(mut payload: web::Payload, limit: usize) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk
            .map_err(|error| Error::new(Kind::Malformed, format!("the body broke off: {error}")))?;
        if body.len() + chunk.len() > limit {
            return Err(Error::new(Kind::TooLarge, format!("the body is over {limit} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
