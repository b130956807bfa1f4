//! The callers' HTTP server: one chain for each traffic thread.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use actix_web::dev::{ServerHandle, Service, ServiceResponse};
use actix_web::http::ConnectionType;
use actix_web::{App, HttpServer, web};

use crate::admission::{Limiter, Scheduler};
use crate::api::{caller, entries, jobs};
use crate::batch::{self, Claimant};
use crate::context::Context;
use crate::drain::{Closing, FINISH_TIMEOUT_S};
use crate::error::{Error, Kind, Result};
use crate::filter::{Chain, Services};
use crate::route::Router;
use crate::settings;
use crate::upstream;

/// What the traffic threads share.
#[derive(Clone)]
pub(super) struct Traffic {
    /// The process's surroundings.
    pub context: Context,
    /// Rates.
    pub gate: Arc<dyn Limiter>,
    /// Fair queues.
    pub line: Arc<dyn Scheduler>,
    /// Choice of upstream.
    pub router: Arc<Router>,
    /// Segments of jobs and claims.
    pub batch: batch::Client,
    /// Whether answers close their connections.
    pub closing: Closing,
}

fn close<B>(mut answer: ServiceResponse<B>, closing: &Closing) -> ServiceResponse<B> {
    if closing.get() {
        answer.response_mut().head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

impl Traffic {
    /// Serves callers on `socket`.
    pub fn serve(self, settings: &settings::Entry, socket: TcpListener) -> Result<ServerHandle> {
        let body_limit = settings.body_limit;
        let server = HttpServer::new(move || {
            let chain = Chain::new(self.services());
            let closing = self.closing.clone();
            App::new()
                .wrap_fn(move |request, service| {
                    let (answer, closing) = (service.call(request), closing.clone());
                    async move { answer.await.map(|answer| close(answer, &closing)) }
                })
                .app_data(web::Data::new(self.context.clone()))
                .app_data(web::Data::new(jobs::State::new(self.batch.clone())))
                .app_data(web::Data::new(caller::State::new(chain, body_limit)))
                .configure(entries::configure)
                .configure(jobs::configure)
                .configure(caller::configure)
        })
        .workers(settings.threads)
        .h1_allow_half_closed(false)
        .shutdown_timeout(FINISH_TIMEOUT_S)
        .disable_signals()
        .listen(socket)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(handle)
    }

    fn services(&self) -> Services {
        Services {
            context: self.context.clone(),
            limiter: self.gate.clone(),
            scheduler: self.line.clone(),
            router: self.router.clone(),
            client: Rc::new(upstream::Http::new(self.context.clock.clone())),
            claims: Some(Rc::new(Claimant::new(self.batch.clone()))),
        }
    }
}
