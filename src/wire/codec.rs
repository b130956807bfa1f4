//! Codec for frames on a byte stream.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Frame;
use crate::error::{Error, Kind};

/// Maximum frame size in bytes; a page of batch records is well below it.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Encodes and decodes length-delimited frames.
#[derive(Debug)]
pub struct Codec {
    framing: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let framing = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { framing }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.framing.decode(source).map_err(connection_error)? else {
            return Ok(None);
        };
        Frame::decode(bytes).map(Some).map_err(|error| Error::new(Kind::Peer, error.to_string()))
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.framing.encode(bytes, target).map_err(connection_error)
    }
}

fn connection_error(error: std::io::Error) -> Error {
    Error::new(Kind::Peer, format!("connection broken: {error}"))
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        connection_error(error)
    }
}
