//! Frames with a maximum length, encoded with postcard.

use std::io;

use compio::{
    buf::{
        IoBufMut,
        Slice, //
    },
    io::framed::{
        codec::{
            Decoder,
            Encoder, //
        },
        frame::{
            Frame,
            Framer,
            LengthDelimited, //
        },
    },
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// The maximum size of a frame, in bytes. A sender refuses to send a larger frame, and a receiver
/// closes the connection on one.
pub const MAX_FRAME_BYTES: usize = 8 * 1_048_576;

/// The size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// The error about a frame that is larger than [`MAX_FRAME_BYTES`].
const OVERSIZED_FRAME: &str = "the frame exceeds the maximum length";

/// A length-delimited framer that rejects lengths above [`MAX_FRAME_BYTES`].
///
/// The framer of compio has no limit and would buffer without bound for a malicious length.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct BoundedFramer(LengthDelimited);

impl<B: IoBufMut> Framer<B> for BoundedFramer {
    fn enclose(&mut self, buf: &mut B) {
        self.0.enclose(buf);
    }

    fn extract(&mut self, buf: &Slice<B>) -> io::Result<Option<Frame>> {
        let length = buf
            .first_chunk::<LENGTH_BYTES>()
            .map(|bytes| u32::from_be_bytes(*bytes) as usize);
        match length {
            Some(length) if length > MAX_FRAME_BYTES => Err(io::Error::other(OVERSIZED_FRAME)),
            _ => self.0.extract(buf),
        }
    }
}

/// Encodes and decodes the frames of a transport with postcard.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PostcardCodec;

impl<T: Serialize> Encoder<T, Vec<u8>> for PostcardCodec {
    type Error = io::Error;

    fn encode(&mut self, item: T, buf: &mut Vec<u8>) -> io::Result<()> {
        *buf = postcard::to_extend(&item, std::mem::take(buf)).map_err(io::Error::other)?;
        match buf.len() {
            // The connection stays in step, since no part of the frame was sent.
            length if length > MAX_FRAME_BYTES => Err(io::Error::other(OVERSIZED_FRAME)),
            _ => Ok(()),
        }
    }
}

impl<T: DeserializeOwned> Decoder<T, Vec<u8>> for PostcardCodec {
    type Error = io::Error;

    fn decode(&mut self, buf: &Slice<Vec<u8>>) -> io::Result<T> {
        postcard::from_bytes(buf).map_err(io::Error::other)
    }
}
