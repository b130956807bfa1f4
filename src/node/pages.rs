//! Health, readiness and metrics endpoints.

use std::net::TcpListener;
use std::sync::OnceLock;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, web};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::context::Context;
use crate::error::{Error, Kind, Result};

/// Readiness check of a process.
#[derive(Clone)]
pub struct Readiness {
    context: Context,
}

impl Readiness {
    /// Creates the check for the process that `context` belongs to.
    pub fn new(context: Context) -> Self {
        Self { context }
    }

    fn not_ready_reason(&self) -> Option<&'static str> {
        let view = self.context.shared.load();
        if !view.members.contains_key(&self.context.vm) {
            return Some("not a member yet");
        }
        if !self.context.shared.contact.holds(self.context.clock.now()) {
            return Some("out of contact");
        }
        None
    }
}

/// Upper bounds of the histogram buckets of durations, in seconds.
const DURATION_BUCKETS_S: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0];

/// Interval at which samples of histograms are summed up, also while nobody reads them.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Installs the process's metrics recorder on the first call and returns its handle.
pub fn install_metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let durations = Matcher::Suffix("_seconds".to_owned());
        let builder =
            PrometheusBuilder::new().set_buckets_for_metric(durations, &DURATION_BUCKETS_S);
        let recorder = builder.expect("the bucket list is not empty").build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}

/// Sums up the samples of histograms, which are kept one by one until then. Runs until the process
/// exits.
pub async fn keep_metrics() {
    let handle = install_metrics();
    loop {
        actix_rt::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Serves the health, readiness and metrics endpoints, and the routes that
/// `extra_routes` adds, on the operators' listener.
pub(super) fn serve<F>(
    context: &Context,
    socket: TcpListener,
    extra_routes: F,
) -> Result<ServerHandle>
where
    F: Fn(&mut web::ServiceConfig) + Send + Clone + 'static,
{
    let readiness = web::Data::new(Readiness::new(context.clone()));
    let metrics = web::Data::new(install_metrics());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(readiness.clone())
            .app_data(metrics.clone())
            .configure(configure)
            .configure(extra_routes.clone())
    })
    .workers(1)
    .disable_signals()
    .listen(socket)
    .map_err(|error| Error::new(Kind::Internal, error.to_string()))?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    actix_rt::spawn(keep_metrics());
    Ok(handle)
}

/// Adds `/healthz`, `/readyz` and `/metrics`; expects `web::Data<Readiness>` and
/// `web::Data<PrometheusHandle>`.
fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics_text));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(readiness: web::Data<Readiness>) -> HttpResponse {
    match readiness.not_ready_reason() {
        None => HttpResponse::Ok().body("ready\n"),
        Some(reason) => HttpResponse::ServiceUnavailable().body(format!("{reason}\n")),
    }
}

async fn metrics_text(handle: web::Data<PrometheusHandle>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(handle.render())
}
