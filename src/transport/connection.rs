//! A connection and the task that drives it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use super::Failure;
use super::connector::Connector;
use super::metered::{Metered, Shared};
use crate::clock::{Clock, Time};

/// Maximum size of hyper's read buffer, and so of one head, in bytes. It is allocated for each
/// connection as its answer fills it; hyper's own maximum is 400 KB.
pub(super) const READ_BUFFER_BYTES: usize = 32 << 10;

/// An open connection; dropping it closes the socket.
pub(super) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    /// The VM that it goes through; none if it is direct.
    pub through: Option<SocketAddr>,
    /// When it was open: the process at its other end had begun to listen by then.
    pub opened_at: Time,
    /// Whether it has carried an answer before.
    pub reused: bool,
    /// Bounds of the answer that it carries.
    pub bound: Shared,
    task: JoinHandle<()>,
}

impl Connection {
    /// Connects to `address` by `connector`; fails after `timeout`.
    pub async fn open(
        connector: &dyn Connector,
        clock: &Arc<dyn Clock>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Failure> {
        let opened = connector.connect(address, timeout).await.map_err(Failure::NotSent)?;
        let opened_at = clock.now();
        let bound = Shared::default();
        let stream = Metered { stream: opened.stream, bound: bound.clone(), clock: clock.clone() };
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        // The driver's error reaches the caller through `sender` or the body.
        let task = actix_rt::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self { sender, task, bound, opened_at, through: opened.through, reused: false })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
