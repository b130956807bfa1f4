//! Process of an entry VM.
//!
//! Membership, configuration, limits and the peer server run on a control
//! thread, which is an arbiter of its own. The worker threads of two HTTP
//! servers serve callers and operators.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::Arbiter;
use actix_web::dev::ServerHandle;
use actix_web::web;
use slog::Logger;

use super::callers::Traffic;
use super::{Listener, pages};
use crate::admission::{self, Admission};
use crate::api::entries;
use crate::api::operator::{Credentials, configure};
use crate::batch;
use crate::context::Context;
use crate::control;
use crate::drain;
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::order;
use crate::route::Router;
use crate::settings;
use crate::upstream;
use crate::wire::{Dispatcher, Handler};

/// Handle of a running entry VM.
pub struct Node {
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address that operators connect to.
    pub operator: SocketAddr,
    /// Address that peers connect to.
    pub peer: SocketAddr,
    /// Context of the process.
    pub context: Context,
    handle: control::Handle,
    closing: drain::Closing,
    control: Arbiter,
    servers: Vec<ServerHandle>,
}

/// Starts all threads and servers of an entry VM.
pub async fn start(mut settings: settings::Entry, log: Logger) -> Result<Node> {
    let caller = Listener::bind("caller", settings.caller)?;
    let operator = Listener::bind("operator", settings.operator)?;
    let peer = Listener::bind("peer", settings.peer)?;
    settings.caller = caller.address;
    settings.operator = operator.address;
    settings.peer = peer.address;
    let context = Context::new(&settings.vm, &settings.data_centre, &settings.fleet_secret, &log);
    crate::trace::install(&context.log);

    let control = Arbiter::new();
    let (handle, commands) = control::channel();
    let router = Router::new(context.clone(), rand::random());
    let admission = Admission::new(context.clone(), router.balancer.clone());
    let closing = drain::Closing::default();
    let traffic = traffic(&context, router, admission.clone(), closing.clone());
    start_control(&control, traffic.clone(), admission, settings.clone(), peer.socket, commands);
    let configure_operators = configure_operators(&context, &settings, &handle);
    let servers = vec![
        traffic.serve(&settings, caller.socket)?,
        pages::serve(&context, operator.socket, configure_operators)?,
    ];
    emit!(context.log, Event::Started,
        "caller" => caller.address.to_string(), "operator" => operator.address.to_string(),
        "peer" => peer.address.to_string());
    Ok(Node {
        caller: caller.address,
        operator: operator.address,
        peer: peer.address,
        context,
        handle,
        closing,
        control,
        servers,
    })
}

impl Node {
    /// Moves callers to other VMs, then stops.
    pub async fn drain(self) {
        drain::run(&self.context, &self.handle, &self.closing).await;
        self.stop().await;
    }

    /// Finishes running requests, deregisters the VM and stops its threads.
    pub async fn stop(self) {
        emit!(self.context.log, Event::Stopping);
        for server in self.servers {
            server.stop(true).await;
        }
        drain::deregister(&self.handle).await;
        self.control.stop();
        emit!(self.context.log, Event::Stopped);
    }
}

fn start_control(
    control: &Arbiter,
    traffic: Traffic,
    admission: Admission,
    settings: settings::Entry,
    peer: std::net::TcpListener,
    commands: control::Commands,
) {
    control.spawn_fn(move || {
        let Traffic { context, scheduler, router, batch: client, .. } = traffic;
        let online: Rc<dyn Handler> = Rc::new(router.quarantine.clone());
        let upstreams = Rc::new(upstream::Http::new(context.clock.clone()));
        let batch: Rc<dyn Handler> = batch::start(client, scheduler, upstreams);
        actix_rt::spawn(router.run());
        let platform = control::Platform::from(&settings.platform);
        let orders = (platform.key_value.clone(), settings.platform.prefix.clone());
        actix_rt::spawn(order::run(context.clone(), orders.0, orders.1));
        let limits = admission::start(admission, &platform, &settings.platform.prefix);
        let handlers = control::start(context.clone(), (&settings).into(), platform, commands);
        let dispatcher = Dispatcher {
            member: Some(handlers.member),
            config: Some(handlers.config),
            limits: Some(limits),
            online: Some(online),
            batch: Some(batch),
        };
        actix_rt::spawn(super::peers::serve(context, settings.fleet_secret, dispatcher, peer));
    });
}

/// Configures the resource API and `/v1/entries` on the operators' listener.
fn configure_operators(
    context: &Context,
    settings: &settings::Entry,
    handle: &control::Handle,
) -> impl Fn(&mut web::ServiceConfig) + Send + Clone + use<> {
    let context = web::Data::new(context.clone());
    let handle = web::Data::new(handle.clone());
    let credentials = web::Data::new(Credentials::new(&settings.operators));
    move |config| {
        config
            .app_data(context.clone())
            .app_data(handle.clone())
            .app_data(credentials.clone())
            .configure(entries::configure)
            .configure(configure);
    }
}

fn traffic(
    context: &Context,
    router: Arc<Router>,
    admission: Admission,
    closing: drain::Closing,
) -> Traffic {
    Traffic {
        context: context.clone(),
        limiter: Arc::new(admission.shares),
        scheduler: Arc::new(admission.scheduler),
        router,
        batch: batch::Client::new(context.clone()),
        closing,
    }
}
