//! HTTP server for callers, with one filter chain per worker thread.

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

/// State shared by the worker threads.
#[derive(Clone)]
pub(super) struct Traffic {
    /// Context of the process.
    pub context: Context,
    /// Rate limiter.
    pub limiter: Arc<dyn Limiter>,
    /// Fair scheduler of upstream slots.
    pub scheduler: Arc<dyn Scheduler>,
    /// Selects upstreams.
    pub router: Arc<Router>,
    /// Client of the segments that store jobs and claims.
    pub batch: batch::Client,
    /// Whether responses close their connections, set while draining.
    pub closing: Closing,
}

fn set_connection_close<B>(
    mut response: ServiceResponse<B>,
    closing: &Closing,
) -> ServiceResponse<B> {
    if closing.get() {
        response.response_mut().head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

impl Traffic {
    /// Starts serving callers on `socket`.
    pub fn serve(self, settings: &settings::Entry, socket: TcpListener) -> Result<ServerHandle> {
        let body_limit = settings.body_limit;
        let server = HttpServer::new(move || {
            let chain = Chain::new(self.services());
            let closing = self.closing.clone();
            App::new()
                .wrap_fn(move |request, service| {
                    let (response, closing) = (service.call(request), closing.clone());
                    async move {
                        response.await.map(|response| set_connection_close(response, &closing))
                    }
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
            limiter: self.limiter.clone(),
            scheduler: self.scheduler.clone(),
            router: self.router.clone(),
            client: Rc::new(upstream::Http::new(self.context.clock.clone())),
            claims: Some(Rc::new(Claimant::new(self.batch.clone()))),
        }
    }
}
