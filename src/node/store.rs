//! Process of a store VM.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::Arbiter;
use actix_web::dev::ServerHandle;
use slog::Logger;
use tokio::sync::oneshot;

use super::{Listener, pages};
use crate::context::Context;
use crate::control;
use crate::emit;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::settings;
use crate::store::Store as Segments;
use crate::wire::{Dispatcher, Handler};

/// Handle of a running store VM.
pub struct Node {
    /// Address of the health and metrics endpoints.
    pub operator: SocketAddr,
    /// Address that peers connect to.
    pub peer: SocketAddr,
    /// Context of the process.
    pub context: Context,
    /// Segments of this store.
    pub segments: Arc<Segments>,
    control: Arbiter,
    pages: ServerHandle,
}

/// Starts all threads and servers of a store VM.
pub async fn start(mut settings: settings::Store, log: Logger) -> Result<Node> {
    if !settings.data.is_dir() {
        let detail = format!("data: {} is not a directory", settings.data.display());
        return Err(Error::new(Kind::Settings, detail));
    }
    let operator = Listener::bind("operator", settings.operator)?;
    let peer = Listener::bind("peer", settings.peer)?;
    settings.operator = operator.address;
    settings.peer = peer.address;
    let context = Context::new(&settings.vm, &settings.data_centre, &settings.fleet_secret, &log);
    let control = Arbiter::new();
    let segments = start_control(&control, context.clone(), settings, peer.socket).await?;
    let pages = pages::serve(&context, operator.socket, |_| {})?;
    emit!(context.log, Event::Started,
        "operator" => operator.address.to_string(), "peer" => peer.address.to_string());
    Ok(Node { operator: operator.address, peer: peer.address, context, segments, control, pages })
}

impl Node {
    /// Stops the servers, then the segments and the control thread.
    pub async fn stop(self) {
        emit!(self.context.log, Event::Stopping);
        self.pages.stop(true).await;
        self.segments.stop().await;
        self.control.stop();
        emit!(self.context.log, Event::Stopped);
    }
}

async fn start_control(
    control: &Arbiter,
    context: Context,
    settings: settings::Store,
    peer: std::net::TcpListener,
) -> Result<Arc<Segments>> {
    let (started, segments) = oneshot::channel();
    control.spawn_fn(move || {
        let platform = control::Platform::from(&settings.platform);
        let key_value = platform.key_value.clone();
        let prefix = &settings.platform.prefix;
        let segments = match crate::store::start(context.clone(), &settings.data, prefix, key_value)
        {
            Ok(segments) => segments,
            Err(error) => {
                let _ = started.send(Err(error));
                return;
            }
        };
        let batch: Rc<dyn Handler> = Rc::new(segments.clone());
        let (_, commands) = control::channel();
        let handlers = control::start(context.clone(), (&settings).into(), platform, commands);
        let dispatcher = Dispatcher {
            member: Some(handlers.member),
            config: Some(handlers.config),
            batch: Some(batch),
            ..Dispatcher::default()
        };
        actix_rt::spawn(super::peers::serve(context, settings.fleet_secret, dispatcher, peer));
        let _ = started.send(Ok(segments));
    });
    let ended = || Error::new(Kind::Internal, "the control thread ended");
    segments.await.map_err(|_| ended())?
}
