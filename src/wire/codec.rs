//! Frames on a byte stream.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Frame;
use crate::error::{Error, Kind};

/// Largest frame, in bytes: a page of batch records fits with room to spare.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Turns frames into length-delimited bytes and back.
#[derive(Debug)]
pub struct Codec {
    lengths: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { lengths }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.lengths.decode(source).map_err(broken)? else {
            return Ok(None);
        };
        Frame::decode(bytes).map(Some).map_err(|error| Error::new(Kind::Peer, error.to_string()))
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, target).map_err(broken)
    }
}

fn broken(error: std::io::Error) -> Error {
    Error::new(Kind::Peer, format!("connection broken: {error}"))
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        broken(error)
    }
}
