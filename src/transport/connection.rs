//! A connection and the task that drives it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use super::Failure;
use super::connector::Connector;

/// An open connection; dropping it closes the socket.
pub(super) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    /// The VM that it goes through; none if it is direct.
    pub through: Option<SocketAddr>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Connects to `address` by `connector`; fails after `timeout`.
    pub async fn open(
        connector: &dyn Connector,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Failure> {
        let opened = connector.connect(address, timeout).await.map_err(Failure::NotSent)?;
        let (sender, driver) = http1::handshake(TokioIo::new(opened.stream))
            .await
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        // The driver's error reaches the caller through `sender` or the body.
        let task = actix_rt::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self { sender, task, through: opened.through })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
