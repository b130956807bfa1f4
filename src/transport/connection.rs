//! A connection and the task that drives it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::Failure;

/// TCP user timeout: time without acknowledgement of sent data after which the
/// connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// An open connection; dropping it closes the socket.
pub(super) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Connects to `address`; fails after `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let not_sent = |reason: String| Failure::NotSent(reason);
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| not_sent(format!("no connection in {} ms", timeout.as_millis())))?
            .map_err(|error| not_sent(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| not_sent(error.to_string()))?;
        socket2::SockRef::from(&stream)
            .set_tcp_user_timeout(Some(USER_TIMEOUT))
            .map_err(|error| not_sent(error.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        // The driver's error reaches the caller through `sender` or the body.
        let task = actix_rt::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self { sender, task })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
