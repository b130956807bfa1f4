//! A plain HTTP service whose calls aren't idempotent; it counts executions.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::web::{self, Bytes, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::faults::Faults;
use crate::record::{REQUEST_ID, Record, Search, Summary};
use crate::server::{Abort, Handle, Service, any_port};

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Duration of a call, in milliseconds.
    pub work_ms: u64,
    /// Whether a crash aborts the process rather than stop the server.
    pub process: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: any_port(), work_ms: 1, process: false }
    }
}

/// Response to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Identifier of the request.
    pub id: String,
    /// Number of executions of this request so far, this one included.
    pub run: u64,
    /// Body of the request.
    pub body: String,
}

/// Starts the stand-in.
pub fn start(options: Options) -> io::Result<Handle> {
    let abort = if options.process { Abort::of_process() } else { Arc::default() };
    Handle::start(
        options.listen,
        Plain { record: Data::default(), work_ms: options.work_ms },
        abort,
    )
}

struct Plain {
    record: Data<Record>,
    work_ms: u64,
}

impl Service for Plain {
    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(self.record.clone())
            .app_data(Data::new(Duration::from_millis(self.work_ms)))
            .route("/standin/counts", web::get().to(counts))
            .route("/standin/bodies", web::get().to(bodies))
            .route("/standin/seen", web::get().to(seen))
            .default_service(web::to(run));
    }
}

async fn counts(record: Data<Record>) -> web::Json<BTreeMap<String, u64>> {
    web::Json(record.summary(&Search::default()).runs)
}

async fn bodies(record: Data<Record>) -> web::Json<BTreeMap<String, u64>> {
    web::Json(record.bodies())
}

pub(crate) async fn seen(record: Data<Record>, search: web::Query<Search>) -> web::Json<Summary> {
    web::Json(record.summary(&search))
}

async fn run(
    record: Data<Record>,
    work: Data<Duration>,
    faults: Data<Faults>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let id = record.add(&request, &body);
    let body = String::from_utf8_lossy(&body).into_owned();
    record.count_body(&body);
    actix_rt::time::sleep(**work).await;
    let run = record.summary(&Search::default()).runs.get(&id).copied().unwrap_or_default();
    let response_id = if faults.take_crossed_answer() { "another-request".to_owned() } else { id };
    HttpResponse::Ok().insert_header((REQUEST_ID, response_id.clone())).json(Receipt {
        id: response_id,
        run,
        body,
    })
}
