//! Server of the peer protocol.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::{SinkExt, StreamExt};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use super::proof::{Connection, Side, authenticate};
use super::{Body, Codec, Fault, Frame};
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::id::Vm;

/// Timeout for mutual authentication.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of a connection's response queue; when a slow peer fills it, its
/// further calls wait.
const RESPONSE_QUEUE: usize = 1_024;

/// The calling peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Authenticated name of the peer.
    pub vm: Vm,
}

/// Handles calls of peers.
pub trait Handler {
    /// Handles one call and returns its response.
    fn handle(&self, peer: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>>;
}

/// Server for peers; runs on the arbiter that started it.
pub struct Server {
    local_vm: Vm,
    secret: String,
    handler: Rc<dyn Handler>,
    log: Logger,
}

impl Server {
    /// Creates a server that passes calls to `handler`.
    pub fn new(local_vm: Vm, secret: String, handler: Rc<dyn Handler>, log: Logger) -> Self {
        Self { local_vm, secret, handler, log }
    }

    /// Accepts connections until the listener fails.
    pub async fn run(self, listener: TcpListener) -> Result<()> {
        let server = Rc::new(self);
        loop {
            let (stream, _) = listener.accept().await?;
            let server = server.clone();
            actix_rt::spawn(async move { server.serve(stream).await });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut connection = Framed::new(stream, Codec::default());
        let authentication =
            authenticate(&mut connection, &self.local_vm, &self.secret, Side::Server);
        let peer = match tokio::time::timeout(AUTHENTICATION_TIMEOUT, authentication).await {
            Ok(Ok(vm)) => Peer { vm },
            Ok(Err(error)) => {
                emit!(self.log, Event::PeerRefused, "reason" => error.detail);
                return;
            }
            Err(_) => {
                emit!(self.log, Event::PeerRefused, "reason" => "proof timed out");
                return;
            }
        };
        self.handle_calls(peer, connection).await;
    }

    async fn handle_calls(&self, peer: Peer, connection: Connection) {
        let (mut sink, mut calls) = connection.split();
        let (responses, mut queue) = mpsc::channel::<Frame>(RESPONSE_QUEUE);
        actix_rt::spawn(async move {
            while let Some(frame) = queue.recv().await {
                if sink.send(frame).await.is_err() {
                    break;
                }
            }
        });
        while let Some(Ok(frame)) = calls.next().await {
            let Some(body) = frame.body else { continue };
            let (handler, responses, peer) =
                (self.handler.clone(), responses.clone(), peer.clone());
            actix_rt::spawn(async move {
                let body = match handler.handle(peer, body).await {
                    Ok(body) => body,
                    Err(error) => Body::Fault(Fault::from(&error)),
                };
                let _ = responses
                    .send(Frame { call: frame.call, answer: true, body: Some(body) })
                    .await;
            });
        }
    }
}
