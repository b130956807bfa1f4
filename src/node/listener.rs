//! Sockets that listen before anything else starts.

use std::net::{SocketAddr, TcpListener};

use crate::error::{Error, Kind, Result};

/// A bound listener with the address it got.
#[derive(Debug)]
pub struct Listener {
    /// The socket.
    pub socket: TcpListener,
    /// Its address; the port is known even if the settings asked for any.
    pub address: SocketAddr,
}

impl Listener {
    /// Binds `address`; `field` names it in the error.
    pub fn bind(field: &str, address: SocketAddr) -> Result<Self> {
        let refused = |error| Error::new(Kind::Settings, format!("{field}: {address}: {error}"));
        let socket = TcpListener::bind(address).map_err(refused)?;
        socket.set_nonblocking(true).map_err(refused)?;
        let address = socket.local_addr().map_err(refused)?;
        Ok(Self { socket, address })
    }
}
