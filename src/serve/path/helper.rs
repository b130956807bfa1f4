//! Serves tunnels to VMs that are cut off from the upstreams.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use super::tunnel::{Answer, Chunk, Frames, Open, Outcome, codec, receive, send};
use crate::error::{Error, Kind, Result};
use crate::serve::context::Context;
use crate::transport::{Opened, configure};

/// Time in which a peer must say where a tunnel leads.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the frame that says so, in bytes.
const MAX_OPEN_BYTES: usize = 1 << 10;
/// Maximum size of a peer's frames after it, in bytes: peers of the version before this one
/// send what they write of a request in one frame.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Time without bytes either way after which a tunnel is closed: above the deadline of the
/// longest run. The VM that opened the tunnel bounds the answer itself.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Connect timeout of the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of bytes read from an upstream at once.
const READ_BYTES: usize = 16 << 10;

/// Starts to serve tunnels, until the process exits.
pub fn serve(context: &Rc<Context>, socket: std::net::TcpListener) -> Result<()> {
    let socket = TcpListener::from_std(socket)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    let context = context.clone();
    actix_rt::spawn(async move {
        loop {
            let Ok((stream, _)) = socket.accept().await else {
                // Out of file descriptors, or the peer has already closed the connection.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let context = context.clone();
            actix_rt::spawn(async move {
                let outcome = serve_one(&context, stream).await;
                metrics::counter!("serve_tunnels_total", "outcome" => outcome).increment(1);
            });
        }
    });
    Ok(())
}

/// Serves one tunnel to its end; its outcome, for metrics.
async fn serve_one(context: &Rc<Context>, stream: TcpStream) -> &'static str {
    if configure(&stream).is_err() {
        return "broken off";
    }
    let mut frames = Framed::new(stream, codec(MAX_OPEN_BYTES));
    let opening = tokio::time::timeout(OPEN_TIMEOUT, receive::<Open>(&mut frames));
    let Ok(Ok(open)) = opening.await else { return "broken off" };
    frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    let (outcome, upstream) = match connect(context, &open.address).await {
        Ok(upstream) => (Outcome::Connected, Some(upstream)),
        Err(outcome) => (outcome, None),
    };
    let answer = Answer { outcome: outcome.into() };
    if send(&mut frames, &answer).await.is_err() {
        return "broken off";
    }
    let Some(upstream) = upstream else {
        return match outcome {
            Outcome::CutOff => "cut off",
            _ => "refused",
        };
    };
    if pass_on(context, frames, upstream).await { "ended" } else { "broken off" }
}

/// Connects to an upstream for a peer, by this VM's own links only.
async fn connect(context: &Context, address: &str) -> std::result::Result<Opened, Outcome> {
    let address: SocketAddr = address.parse().map_err(|_| Outcome::Unknown)?;
    if !context.table.borrow().has_address(address) {
        return Err(Outcome::Unknown);
    }
    if context.paths.is_cut() {
        return Err(Outcome::CutOff);
    }
    context
        .paths
        .connect_directly(address, CONNECT_TIMEOUT)
        .await
        .map_err(|_| if context.paths.is_suspect() { Outcome::CutOff } else { Outcome::Refused })
}

/// Passes on bytes until the upstream's end, or one side is lost; whether it was the end. A
/// side that is lost closes the other, so that an upstream stops work nobody waits for.
async fn pass_on(context: &Context, frames: Frames, upstream: Opened) -> bool {
    let (mut sink, mut source) = frames.split();
    let (mut from_upstream, mut to_upstream) = tokio::io::split(upstream.stream);
    let idle_from = Cell::new(context.now().after(IDLE_TIMEOUT));
    let record = || {
        context.paths.record_relayed();
        idle_from.set(context.now().after(IDLE_TIMEOUT));
    };
    let up = async {
        while let Some(Ok(frame)) = source.next().await {
            let Ok(chunk) = Chunk::decode(frame) else { return };
            record();
            if chunk.last || to_upstream.write_all(&chunk.data).await.is_err() {
                return;
            }
        }
    };
    let down = async {
        loop {
            let mut data = BytesMut::with_capacity(READ_BYTES);
            let Ok(count) = from_upstream.read_buf(&mut data).await else { return false };
            let chunk = Chunk { data: data.freeze(), last: count == 0 };
            record();
            if sink.send(Bytes::from(chunk.encode_to_vec())).await.is_err() {
                return false;
            }
            if chunk.last {
                return true;
            }
        }
    };
    let idle = async {
        while !idle_from.get().passed(context.now()) {
            tokio::time::sleep(context.now().until(idle_from.get())).await;
        }
    };
    tokio::select! {
        () = up => false,
        ended = down => ended,
        () = idle => false,
    }
}
