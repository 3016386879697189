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
    BufResult,
    buf::{
        IntoInner,
        IoBuf, //
    },
    io::{
        AsyncReadExt,
        BufReader,
        framed::codec::Encoder, //
    },
    net::TcpStream,
};
use futures::{
    StreamExt,
    stream::{
        self,
        LocalBoxStream, //
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
/// The size of the buffer from which frames are read, in bytes.
const READ_BUFFER_BYTES: usize = 16_384;
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

/// Returns the decoded frames of a connection.
///
/// Each frame has a buffer of its own, so that a large one leaves no memory behind. The frames of
/// compio have no maximum length and share a buffer that never shrinks.
pub(crate) fn read_frames<T: DeserializeOwned + 'static>(
    stream: TcpStream,
    transfers: TransferWatch,
) -> LocalBoxStream<'static, io::Result<T>> {
    let reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    let frames = stream::try_unfold(reader, move |mut reader| {
        let transfers = transfers.clone();
        async move {
            let frame = read_frame(&mut reader, &transfers).await?;
            let item = frame.map(|frame| postcard::from_bytes(&frame));
            let item = item.transpose().map_err(io::Error::other)?;
            Ok(item.map(|item| (item, reader)))
        }
    });
    frames.boxed_local()
}

/// Reads one frame, or returns `None` at the end of the stream.
async fn read_frame(
    reader: &mut BufReader<TcpStream>,
    transfers: &TransferWatch,
) -> io::Result<Option<Vec<u8>>> {
    let BufResult(header_read, header) = reader.read_exact([0; LENGTH_BYTES]).await;
    match header_read {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        result => result?,
    }
    let length = u32::from_be_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other(OVERSIZED_FRAME));
    }
    transfers.start(length);
    let buffer = Vec::with_capacity(length).slice(..length);
    let BufResult(body_read, body) = reader.read_exact(buffer).await;
    body_read?;
    Ok(Some(body.into_inner()))
}

/// Encodes the frames of a transport with postcard.
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
        let kept = std::mem::take(buf);
        let kept = match kept.capacity() {
            // The buffer of a large frame is not kept for the next ones.
            capacity if capacity > LARGE_FRAME_BYTES => Vec::new(),
            _ => kept,
        };
        *buf = postcard::to_extend(&item, kept).map_err(io::Error::other)?;
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
