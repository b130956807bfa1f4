//! Listening sockets, bound before anything else starts.

use std::net::{SocketAddr, TcpListener};

use crate::error::{Error, Kind, Result};

/// A bound listener with its actual address.
#[derive(Debug)]
pub struct Listener {
    /// Listening socket in non-blocking mode.
    pub socket: TcpListener,
    /// Bound address, with the assigned port if the settings have port 0.
    pub address: SocketAddr,
}

impl Listener {
    /// Binds `address`; errors refer to it by the settings field `field`.
    pub fn bind(field: &str, address: SocketAddr) -> Result<Self> {
        let refused = |error| Error::new(Kind::Settings, format!("{field}: {address}: {error}"));
        let socket = TcpListener::bind(address).map_err(refused)?;
        socket.set_nonblocking(true).map_err(refused)?;
        let address = socket.local_addr().map_err(refused)?;
        Ok(Self { socket, address })
    }
}
