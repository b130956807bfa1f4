//! Ways to open a connection to a server.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// TCP user timeout: time without acknowledgement of sent data after which the
/// connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes to and from a server.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<T> Stream for T where T: AsyncRead + AsyncWrite + Unpin {}

/// An open connection.
pub struct Opened {
    /// Its bytes.
    pub stream: Box<dyn Stream>,
    /// The VM that it goes through; none if it is direct.
    pub through: Option<SocketAddr>,
}

/// Opens connections.
pub trait Connector {
    /// Connects to `address`; after `timeout`, or if that fails, the reason why not.
    fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Opened, String>>;
}

/// Connects by this VM's own links.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

impl Connector for Direct {
    fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Opened, String>> {
        async move {
            let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
            let stream = connecting
                .map_err(|_| format!("no connection in {} ms", timeout.as_millis()))?
                .map_err(|error| error.to_string())?;
            configure(&stream).map_err(|error| error.to_string())?;
            Ok(Opened { stream: Box::new(stream), through: None })
        }
        .boxed_local()
    }
}

/// Sets the options of a connection whose other end may vanish.
pub(crate) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}
