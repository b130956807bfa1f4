//! Connections to upstreams by way of another VM.
//!
//! A VM opens a TCP connection to a peer and names an upstream's address; the peer
//! connects to it, says whether it could, and passes on bytes both ways in frames.
//! The end of the upstream's bytes is a frame of its own: when the peer or the
//! way to it is lost, or the upstream resets its connection, that frame is missing,
//! and the reader gets an error instead of an end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt, future, stream};
use prost::{Enumeration, Message};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

use crate::transport::{Stream, configure};

/// Maximum size of a frame from the peer, in bytes: above what it reads of the upstream at
/// once. A larger one is refused before memory is reserved for it.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Connection between the two VMs of a tunnel.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Request to open a tunnel.
#[derive(Clone, PartialEq, Message)]
pub struct Open {
    /// Address of the upstream.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// Answer to `Open`.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Whether the tunnel is open.
    #[prost(enumeration = "Outcome", tag = "1")]
    pub outcome: i32,
}

/// Why a tunnel is open, or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The peer connected to the upstream.
    Connected = 0,
    /// The peer reaches other upstreams, but not this one.
    Refused = 1,
    /// The peer may be cut off itself.
    CutOff = 2,
    /// No upstream that the peer knows has this address.
    Unknown = 3,
}

/// Bytes passed on, or their end.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// The bytes; none with `last`.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
    /// Whether the sender's bytes end here, and are whole.
    #[prost(bool, tag = "2")]
    pub last: bool,
}

/// Opens a tunnel through the VM at `peer` to an upstream. The outcome if the peer says why
/// not; an error if it doesn't answer in time.
pub async fn open(
    peer: SocketAddr,
    upstream: SocketAddr,
    timeout: Duration,
) -> io::Result<Result<Box<dyn Stream>, Outcome>> {
    let opening = async {
        let connection = TcpStream::connect(peer).await?;
        configure(&connection)?;
        let mut frames = Framed::new(connection, codec(MAX_FRAME_BYTES));
        send(&mut frames, &Open { address: upstream.to_string() }).await?;
        let answer: Answer = receive(&mut frames).await?;
        Ok((answer.outcome(), frames))
    };
    let opened: io::Result<_> = tokio::time::timeout(timeout, opening).await?;
    let (outcome, frames) = opened?;
    Ok(match outcome {
        Outcome::Connected => Ok(bytes_of(frames)),
        other => Err(other),
    })
}

/// Codec of frames of at most `max_bytes`.
pub(super) fn codec(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec()
}

/// Sends one message.
pub async fn send<M>(frames: &mut Frames, message: &M) -> io::Result<()>
where
    M: Message,
{
    frames.send(Bytes::from(message.encode_to_vec())).await
}

/// Receives one message.
pub async fn receive<M>(frames: &mut Frames) -> io::Result<M>
where
    M: Message + Default,
{
    let frame = frames.next().await.unwrap_or_else(|| Err(broken()))?;
    M::decode(frame).map_err(io::Error::other)
}

/// The bytes that an open tunnel carries.
fn bytes_of(frames: Frames) -> Box<dyn Stream> {
    let (sink, source) = frames.split();
    let chunks = stream::try_unfold(source, |mut source| async move {
        let frame = source.next().await.unwrap_or_else(|| Err(broken()))?;
        let chunk = Chunk::decode(frame).map_err(io::Error::other)?;
        let next = (!chunk.last).then_some((chunk.data, source));
        io::Result::Ok(next)
    });
    let encode = |data: Bytes| {
        let chunk = Chunk { data, last: false };
        future::ready(io::Result::Ok(Bytes::from(chunk.encode_to_vec())))
    };
    let reader = StreamReader::new(Box::pin(chunks));
    let writer = SinkWriter::new(CopyToBytes::new(Box::pin(sink.with(encode))));
    Box::new(tokio::io::join(reader, writer))
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the tunnel broke off")
}
