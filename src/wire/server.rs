//! Accepting peers and answering their calls.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use futures_util::{SinkExt, StreamExt};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use super::proof::{Connection, Side, exchange};
use super::{Body, Codec, Fault, Frame};
use crate::emit;
use crate::error::Result;
use crate::event::Event;
use crate::id::Vm;

/// Bound on the mutual proof.
const PROOF_TIMEOUT: Duration = Duration::from_secs(2);
/// Answers that may wait for a slow peer before its calls wait too.
const ANSWER_QUEUE: usize = 1_024;

/// Who is calling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name that the peer proved.
    pub vm: Vm,
}

/// Answers calls.
pub trait Handler {
    /// Answers one call.
    fn handle(&self, peer: Peer, body: Body) -> LocalBoxFuture<'_, Result<Body>>;
}

/// Listens for peers; runs on the arbiter that started it.
pub struct Server {
    own: Vm,
    secret: String,
    handler: Rc<dyn Handler>,
    log: Logger,
}

impl Server {
    /// Makes a server that gives calls to `handler`.
    pub fn new(own: Vm, secret: String, handler: Rc<dyn Handler>, log: Logger) -> Self {
        Self { own, secret, handler, log }
    }

    /// Accepts peers until the listener fails.
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
        let proof = exchange(&mut connection, &self.own, &self.secret, Side::Server);
        let peer = match tokio::time::timeout(PROOF_TIMEOUT, proof).await {
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
        self.answer_calls(peer, connection).await;
    }

    async fn answer_calls(&self, peer: Peer, connection: Connection) {
        let (mut sink, mut calls) = connection.split();
        let (answers, mut queue) = mpsc::channel::<Frame>(ANSWER_QUEUE);
        actix_rt::spawn(async move {
            while let Some(frame) = queue.recv().await {
                if sink.send(frame).await.is_err() {
                    break;
                }
            }
        });
        while let Some(Ok(frame)) = calls.next().await {
            let Some(body) = frame.body else { continue };
            let (handler, answers, peer) = (self.handler.clone(), answers.clone(), peer.clone());
            actix_rt::spawn(async move {
                let body = match handler.handle(peer, body).await {
                    Ok(body) => body,
                    Err(error) => Body::Fault(Fault::from(&error)),
                };
                let _ =
                    answers.send(Frame { call: frame.call, answer: true, body: Some(body) }).await;
            });
        }
    }
}
