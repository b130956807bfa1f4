//! Client of the peer protocol.
//!
//! A `Client` keeps one connection to one address and reconnects on the next
//! call after losing it. A call whose connection breaks fails at once. The peer
//! may or may not have processed it, so retrying is left to the caller.

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

use super::proof::{Connection, Side, authenticate};
use super::{Body, Codec, Frame};
use crate::error::{Error, Kind, Result};
use crate::id::Vm;

/// Timeout for connecting and mutual authentication.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of the queue of calls to be written.
const CALL_QUEUE: usize = 1_024;

type PendingCalls = Arc<Mutex<HashMap<u64, oneshot::Sender<Result<Body>>>>>;

/// Client of one peer, usable from any thread that runs an arbiter.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    address: SocketAddr,
    local_vm: Vm,
    secret: String,
    next_call: AtomicU64,
    link: tokio::sync::Mutex<Option<Link>>,
}

#[derive(Clone)]
struct Link {
    calls: mpsc::Sender<Frame>,
    pending: PendingCalls,
}

impl Client {
    /// Creates a client; it connects on the first call.
    pub fn new(address: SocketAddr, local_vm: Vm, secret: String) -> Self {
        let next_call = AtomicU64::new(1);
        let link = tokio::sync::Mutex::new(None);
        Self { inner: Arc::new(Inner { address, local_vm, secret, next_call, link }) }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Calls the peer and waits up to `timeout` for the response.
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
        let call = self.inner.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        link.pending.lock().insert(call, sender);
        let _guard = PendingGuard { call, pending: link.pending.clone() };
        let frame = Frame { call, answer: false, body: Some(body) };
        link.calls.send(frame).await.map_err(|_| self.connection_lost())?;
        receiver.await.map_err(|_| self.connection_lost())?
    }

    async fn link(&self) -> Result<Link> {
        let mut cached = self.inner.link.lock().await;
        if let Some(link) = cached.as_ref().filter(|link| !link.calls.is_closed()) {
            return Ok(link.clone());
        }
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, self.connect())
            .await
            .map_err(|_| Error::new(Kind::Peer, "connecting timed out"))??;
        let link = Link::start(connection);
        *cached = Some(link.clone());
        Ok(link)
    }

    async fn connect(&self) -> Result<Connection> {
        let stream = TcpStream::connect(self.inner.address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Framed::new(stream, Codec::default());
        authenticate(&mut connection, &self.inner.local_vm, &self.inner.secret, Side::Client)
            .await?;
        Ok(connection)
    }

    fn connection_lost(&self) -> Error {
        Error::new(Kind::Peer, format!("connection to {} lost", self.inner.address))
    }
}

/// Removes a pending call on drop, also when its future is cancelled.
struct PendingGuard {
    call: u64,
    pending: PendingCalls,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.call);
    }
}

impl Link {
    fn start(connection: Connection) -> Self {
        let (mut sink, mut answers) = connection.split();
        let (calls, mut queue) = mpsc::channel::<Frame>(CALL_QUEUE);
        let pending = PendingCalls::default();
        let link = Link { calls, pending: pending.clone() };
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
                        complete_call(&pending, frame);
                    }
                }
            }
            queue.close();
            pending.lock().clear();
        });
        link
    }
}

fn complete_call(pending: &PendingCalls, frame: Frame) {
    let Some(sender) = pending.lock().remove(&frame.call) else { return };
    let answer = match frame.body {
        Some(Body::Fault(fault)) => Err(Error::from(fault)),
        Some(body) => Ok(body),
        None => Err(Error::new(Kind::Peer, "empty answer")),
    };
    let _ = sender.send(answer);
}

/// Clients by address, created on first use.
#[derive(Clone)]
pub struct Pool {
    local_vm: Vm,
    secret: String,
    clients: Arc<Mutex<HashMap<SocketAddr, Client>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(local_vm: Vm, secret: String) -> Self {
        Self { local_vm, secret, clients: Arc::default() }
    }

    /// Returns the client for `address`.
    pub fn get(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.lock();
        clients
            .entry(address)
            .or_insert_with(|| Client::new(address, self.local_vm.clone(), self.secret.clone()))
            .clone()
    }

    /// Drops the clients of all addresses for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        self.clients.lock().retain(|address, _| keep(address));
    }
}
