//! The internal HTTP server, for peers and metrics.
//!
//! It serves peers the last read of the store and the results of jobs that this
//! VM owns, and relays their calls to the store when they can't reach it.

use std::rc::Rc;

use actix_web::body::MessageBody;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use http::Method;

use super::channel::Channel;
use super::context::Context;
use super::frontend::{MAX_BODY_BYTES, copy_headers, listen};
use super::gauge;
use super::jobs::Jobs;
use super::reader::{self, BODY_PATH, RESULTS_PATH, Reader, SNAPSHOT_PATH};
use super::unwritten;
use crate::api::caller::read;
use crate::error::Result;
use crate::node::{install_metrics, keep_metrics};

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Handlers of the internal server.
#[derive(Clone)]
pub struct Server {
    /// Client of the store, to relay calls.
    pub channel: Rc<Channel>,
    /// Reader of the store, for its last snapshot.
    pub reader: Rc<Reader>,
    /// State of the serving path.
    pub context: Rc<Context>,
    /// The batch jobs, with those that this VM owns.
    pub jobs: Rc<Jobs>,
}

impl Server {
    /// Starts the server, which runs until the process exits.
    pub fn serve(self, socket: std::net::TcpListener) -> Result<()> {
        actix_rt::spawn(keep_metrics());
        listen(socket, unwritten::Count::default(), move |config| {
            let server = self.clone();
            config.default_service(web::to(move |request: HttpRequest, payload: web::Payload| {
                let server = server.clone();
                async move { server.answer(request, payload).await }
            }));
        })
    }

    async fn answer(&self, request: HttpRequest, payload: web::Payload) -> HttpResponse {
        let path = request.path();
        if path == METRICS_PATH {
            gauge::measure(&self.context, &self.jobs);
            return HttpResponse::Ok().content_type("text/plain").body(install_metrics().render());
        }
        if path == SNAPSHOT_PATH {
            return found_or_404(self.reader.last_snapshot(request.uri().query()));
        }
        if let Some(rest) = path.strip_prefix(RESULTS_PATH) {
            return found_or_404(self.results(rest, request.uri().query()));
        }
        if let Some(rest) = path.strip_prefix(BODY_PATH) {
            return found_or_404(self.body(rest));
        }
        self.forward(request, payload).await
    }

    fn results(&self, rest: &str, query: Option<&str>) -> Option<Bytes> {
        let (job, after) = rest.rsplit_once('/')?;
        reader::results(&self.context, &self.jobs, job, after.parse().ok()?, query)
    }

    fn body(&self, rest: &str) -> Option<Bytes> {
        let (job, item) = rest.split_once('/')?;
        self.jobs.owned_body(job, item)
    }

    async fn forward(&self, request: HttpRequest, payload: web::Payload) -> HttpResponse {
        let Ok(body) = read(payload, MAX_BODY_BYTES).await else {
            return HttpResponse::BadRequest().finish();
        };
        let mut forwarded = http::Request::new(body);
        let method = Method::from_bytes(request.method().as_str().as_bytes());
        let target = request.uri().to_string().parse();
        let (Ok(method), Ok(target)) = (method, target) else {
            return HttpResponse::BadRequest().finish();
        };
        *forwarded.method_mut() = method;
        *forwarded.uri_mut() = target;
        let mut headers = copy_headers(&request);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::TRANSFER_ENCODING);
        *forwarded.headers_mut() = headers;
        let (status, body) = self.channel.forward(forwarded).await;
        let status = actix_web::http::StatusCode::from_u16(status.as_u16());
        HttpResponse::build(status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY)).body(body)
    }
}

fn found_or_404<B>(body: Option<B>) -> HttpResponse
where
    B: MessageBody + 'static,
{
    body.map_or_else(|| HttpResponse::NotFound().finish(), |body| HttpResponse::Ok().body(body))
}
