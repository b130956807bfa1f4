//! A plain service whose calls may not be repeated: it counts runs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::web::{self, Bytes, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::faults::Faults;
use crate::record::{REQUEST_ID, Record, Search, Seen};
use crate::server::{Handle, Lifeline, Service, any_port};

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time that a call takes, in milliseconds.
    pub work_ms: u64,
    /// Whether a crash ends the process.
    pub process: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: any_port(), work_ms: 1, process: false }
    }
}

/// What a call answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Request that ran.
    pub id: String,
    /// Which run of this request it was, from one.
    pub run: u64,
    /// The body that came.
    pub body: String,
}

/// Starts it.
pub fn start(options: Options) -> io::Result<Handle> {
    let lifeline = if options.process { Lifeline::of_process() } else { Arc::default() };
    Handle::start(
        options.listen,
        Plain { record: Data::default(), work_ms: options.work_ms },
        lifeline,
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
    web::Json(record.seen(&Search::default()).runs)
}

async fn bodies(record: Data<Record>) -> web::Json<BTreeMap<String, u64>> {
    web::Json(record.bodies())
}

pub(crate) async fn seen(record: Data<Record>, search: web::Query<Search>) -> web::Json<Seen> {
    web::Json(record.seen(&search))
}

async fn run(
    record: Data<Record>,
    work: Data<Duration>,
    faults: Data<Faults>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let id = record.note(&request, &body);
    let body = String::from_utf8_lossy(&body).into_owned();
    record.note_body(&body);
    actix_rt::time::sleep(**work).await;
    let run = record.seen(&Search::default()).runs.get(&id).copied().unwrap_or_default();
    let shown = if faults.cross_answer() { "another-request".to_owned() } else { id };
    HttpResponse::Ok().insert_header((REQUEST_ID, shown.clone())).json(Receipt {
        id: shown,
        run,
        body,
    })
}
