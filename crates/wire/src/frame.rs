//! Frames with a maximum length, encoded with postcard.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

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

/// The rate below which a transfer is given up, in bytes a second.
const MIN_TRANSFER_RATE: u32 = 524_288;
/// The size from which the time that a frame takes is allowed for, in bytes.
const LARGE_FRAME_BYTES: usize = 65_536;
/// The size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// The error about a frame that is larger than [`MAX_FRAME_BYTES`].
const OVERSIZED_FRAME: &str = "the frame exceeds the maximum length";

/// Returns the maximum time that a transfer of this size may take.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs(bytes as u64) / MIN_TRANSFER_RATE
}

/// The time by which the large frames of a connection should have been transferred.
///
/// Other frames wait behind them, so until then a missing reply does not show that the connection
/// has stalled.
#[derive(Debug, Clone, Default)]
pub(crate) struct TransferWatch(Rc<Cell<Option<Instant>>>);

impl TransferWatch {
    /// Allows for the transfer of one more frame.
    fn start(&self, bytes: usize) {
        if bytes >= LARGE_FRAME_BYTES {
            let now = Instant::now();
            let start = self.0.get().map_or(now, |until| until.max(now));
            self.0.set(Some(start + transfer_time(bytes)));
        }
    }

    /// Returns whether a large frame may still have been on its way at a time.
    pub(crate) fn is_busy_at(&self, time: Instant) -> bool {
        self.0.get().is_some_and(|until| time < until)
    }
}

/// A length-delimited framer that rejects lengths above [`MAX_FRAME_BYTES`].
///
/// The framer of compio has no limit and would buffer without bound for a malicious length.
#[derive(Debug, Clone, Default)]
pub(crate) struct BoundedFramer {
    inner: LengthDelimited,
    transfers: TransferWatch,
    /// Whether a part of the next frame has been received.
    has_started: bool,
}

impl BoundedFramer {
    pub(crate) fn new(transfers: TransferWatch) -> Self {
        Self {
            transfers,
            ..Self::default()
        }
    }
}

impl<B: IoBufMut> Framer<B> for BoundedFramer {
    fn enclose(&mut self, buf: &mut B) {
        self.inner.enclose(buf);
    }

    fn extract(&mut self, buf: &Slice<B>) -> io::Result<Option<Frame>> {
        let length = buf
            .first_chunk::<LENGTH_BYTES>()
            .map(|bytes| u32::from_be_bytes(*bytes) as usize);
        match length {
            Some(length) if length > MAX_FRAME_BYTES => Err(io::Error::other(OVERSIZED_FRAME)),
            Some(length) => {
                let frame = self.inner.extract(buf)?;
                if frame.is_none() && !self.has_started {
                    self.transfers.start(length);
                }
                self.has_started = frame.is_none();
                Ok(frame)
            }
            None => Ok(None),
        }
    }
}

/// Encodes and decodes the frames of a transport with postcard.
#[derive(Debug, Clone, Default)]
pub(crate) struct PostcardCodec {
    transfers: TransferWatch,
}

impl PostcardCodec {
    pub(crate) fn new(transfers: TransferWatch) -> Self {
        Self { transfers }
    }
}

impl<T: Serialize> Encoder<T, Vec<u8>> for PostcardCodec {
    type Error = io::Error;

    fn encode(&mut self, item: T, buf: &mut Vec<u8>) -> io::Result<()> {
        *buf = postcard::to_extend(&item, std::mem::take(buf)).map_err(io::Error::other)?;
        match buf.len() {
            // The connection stays in step, since no part of the frame was sent.
            length if length > MAX_FRAME_BYTES => Err(io::Error::other(OVERSIZED_FRAME)),
            length => {
                self.transfers.start(length);
                Ok(())
            }
        }
    }
}

impl<T: DeserializeOwned> Decoder<T, Vec<u8>> for PostcardCodec {
    type Error = io::Error;

    fn decode(&mut self, buf: &Slice<Vec<u8>>) -> io::Result<T> {
        postcard::from_bytes(buf).map_err(io::Error::other)
    }
}
