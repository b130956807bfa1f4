//! Calling peers.
//!
//! A `Client` keeps one connection to one address and reconnects when it is
//! used after a loss. A call whose connection breaks fails at once; whether
//! the peer acted on it is then unknown, and callers of this module decide.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use super::proof::{Connection, Side, exchange};
use super::{Body, Codec, Frame};
use crate::error::{Error, Kind, Result};
use crate::id::Vm;

/// Bound on connecting and proving.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls that may wait to be written.
const CALL_QUEUE: usize = 1_024;

type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<Result<Body>>>>>;

/// A peer that can be called from any thread that runs an arbiter.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    address: SocketAddr,
    own: Vm,
    secret: String,
    next: AtomicU64,
    link: tokio::sync::Mutex<Option<Link>>,
}

#[derive(Clone)]
struct Link {
    calls: mpsc::Sender<Frame>,
    waiting: Waiting,
}

impl Client {
    /// Makes a client; nothing is connected before the first call.
    pub fn new(address: SocketAddr, own: Vm, secret: String) -> Self {
        let next = AtomicU64::new(1);
        let link = tokio::sync::Mutex::new(None);
        Self { inner: Arc::new(Inner { address, own, secret, next, link }) }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Calls the peer and waits for its answer, for `timeout` at most.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body> {
        match tokio::time::timeout(timeout, self.call_once(body)).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::new(
                Kind::Peer,
                format!("{} gave no answer within {timeout:?}", self.inner.address),
            )),
        }
    }

    async fn call_once(&self, body: Body) -> Result<Body> {
        let link = self.link().await?;
        let call = self.inner.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        link.waiting.lock().insert(call, sender);
        let _forget = Forget { call, waiting: link.waiting.clone() };
        let frame = Frame { call, answer: false, body: Some(body) };
        link.calls.send(frame).await.map_err(|_| self.lost())?;
        receiver.await.map_err(|_| self.lost())?
    }

    async fn link(&self) -> Result<Link> {
        let mut slot = self.inner.link.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.calls.is_closed()) {
            return Ok(link.clone());
        }
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, self.connect())
            .await
            .map_err(|_| Error::new(Kind::Peer, "connecting timed out"))??;
        let link = Link::start(connection);
        *slot = Some(link.clone());
        Ok(link)
    }

    async fn connect(&self) -> Result<Connection> {
        let stream = TcpStream::connect(self.inner.address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Framed::new(stream, Codec::default());
        exchange(&mut connection, &self.inner.own, &self.inner.secret, Side::Client).await?;
        Ok(connection)
    }

    fn lost(&self) -> Error {
        Error::new(Kind::Peer, format!("connection to {} lost", self.inner.address))
    }
}

/// Removes a call that is no longer waited for.
struct Forget {
    call: u64,
    waiting: Waiting,
}

impl Drop for Forget {
    fn drop(&mut self) {
        self.waiting.lock().remove(&self.call);
    }
}

impl Link {
    fn start(connection: Connection) -> Self {
        let (mut sink, mut answers) = connection.split();
        let (calls, mut queue) = mpsc::channel::<Frame>(CALL_QUEUE);
        let waiting = Waiting::default();
        let link = Link { calls, waiting: waiting.clone() };
        actix_rt::spawn(async move {
            loop {
                tokio::select! {
                    frame = queue.recv() => {
                        let Some(frame) = frame else { break };
                        if sink.send(frame).await.is_err() {
                            break;
                        }
                    }
                    answer = answers.next() => {
                        let Some(Ok(frame)) = answer else { break };
                        settle(&waiting, frame);
                    }
                }
            }
            queue.close();
            waiting.lock().clear();
        });
        link
    }
}

fn settle(waiting: &Waiting, frame: Frame) {
    let Some(sender) = waiting.lock().remove(&frame.call) else { return };
    let answer = match frame.body {
        Some(Body::Fault(fault)) => Err(Error::from(fault)),
        Some(body) => Ok(body),
        None => Err(Error::new(Kind::Peer, "empty answer")),
    };
    let _ = sender.send(answer);
}

/// Clients by address, made when first asked for.
#[derive(Clone)]
pub struct Pool {
    own: Vm,
    secret: String,
    clients: Arc<Mutex<HashMap<SocketAddr, Client>>>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(own: Vm, secret: String) -> Self {
        Self { own, secret, clients: Arc::default() }
    }

    /// The client for `address`.
    pub fn get(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.lock();
        clients
            .entry(address)
            .or_insert_with(|| Client::new(address, self.own.clone(), self.secret.clone()))
            .clone()
    }

    /// Drops clients of addresses that `keep` doesn't want.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        self.clients.lock().retain(|address, _| keep(address));
    }
}
