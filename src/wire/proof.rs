//! Mutual authentication by the fleet secret.

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use super::{Body, Codec, Frame, Hello, Proof};
use crate::error::{Error, Kind, Result};
use crate::id::Vm;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

pub(super) type Connection = Framed<TcpStream, Codec>;

/// Authenticates both sides to each other and returns the peer's name.
///
/// Both sides exchange nonces, then sign the other's nonce together with their
/// side, so that a proof can't be reflected back to its sender.
pub(super) async fn authenticate(
    connection: &mut Connection,
    local_vm: &Vm,
    secret: &str,
    side: Side,
) -> Result<Vm> {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let local_hello = Hello { vm: local_vm.as_str().into(), nonce: nonce.clone() };
    send(connection, Body::Hello(local_hello)).await?;
    let Body::Hello(peer_hello) = receive(connection).await? else { return Err(unauthenticated()) };
    let digest =
        sign(secret, &peer_hello.nonce, local_vm.as_str(), side).finalize().into_bytes().to_vec();
    send(connection, Body::Proof(Proof { digest })).await?;
    let Body::Proof(proof) = receive(connection).await? else { return Err(unauthenticated()) };
    sign(secret, &nonce, &peer_hello.vm, side.other())
        .verify_slice(&proof.digest)
        .map_err(|_| unauthenticated())?;
    Ok(Vm::from(peer_hello.vm))
}

/// Side of the connection that signs.
#[derive(Clone, Copy)]
pub(super) enum Side {
    Client,
    Server,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

fn sign(secret: &str, nonce: &[u8], name: &str, side: Side) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(match side {
        Side::Client => b"client",
        Side::Server => b"server",
    });
    mac.update(nonce);
    mac.update(name.as_bytes());
    mac
}

async fn send(connection: &mut Connection, body: Body) -> Result<()> {
    connection.send(Frame { call: 0, answer: false, body: Some(body) }).await
}

async fn receive(connection: &mut Connection) -> Result<Body> {
    let frame = connection.next().await.ok_or_else(unauthenticated)??;
    frame.body.ok_or_else(unauthenticated)
}

fn unauthenticated() -> Error {
    Error::new(Kind::Peer, "the other side did not prove the fleet secret")
}
