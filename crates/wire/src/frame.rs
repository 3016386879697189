//! Frames with a maximum length, encoded with postcard.

use std::{
    cell::RefCell,
    collections::VecDeque,
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
/// The maximum number of frames whose transfers are allowed for at the same time.
const MAX_OPEN_TRANSFERS: usize = 64;
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

/// The large frames that may be on their way on a connection.
///
/// Other frames wait behind them, so for the time of their transfer a missing reply does not show
/// that the connection has stalled.
#[derive(Debug, Clone, Default)]
pub(crate) struct TransferWatch(Rc<RefCell<OpenTransfers>>);

#[derive(Debug, Default)]
struct OpenTransfers {
    /// When each frame was sent, and the time that its transfer may take.
    sent: VecDeque<(Instant, Duration)>,
    /// The time by which the frame that is being received should be complete.
    received_until: Option<Instant>,
}

impl TransferWatch {
    /// Allows for the transfer of one more frame to the peer.
    fn start_sending(&self, bytes: usize) {
        if bytes >= LARGE_FRAME_BYTES {
            let sent = &mut self.0.borrow_mut().sent;
            if sent.len() == MAX_OPEN_TRANSFERS {
                sent.pop_front();
            }
            sent.push_back((Instant::now(), transfer_time(bytes)));
        }
    }

    /// Ends the transfers that began before a call was sent that now has its reply.
    pub(crate) fn finish_before(&self, call_sent: Instant) {
        let sent = &mut self.0.borrow_mut().sent;
        sent.retain(|(start, _)| *start > call_sent);
    }

    fn start_receiving(&self, bytes: usize) {
        self.0.borrow_mut().received_until = Some(Instant::now() + transfer_time(bytes));
    }

    fn finish_receiving(&self) {
        self.0.borrow_mut().received_until = None;
    }

    /// Returns whether a large frame may still have been on its way at a time.
    pub(crate) fn is_busy_at(&self, time: Instant) -> bool {
        let transfers = self.0.borrow();
        let sent = transfers.sent.iter();
        // Each transfer begins once the one before has ended.
        let sent_until = sent.fold(None, |until: Option<Instant>, (start, span)| {
            Some(until.map_or(*start, |until| until.max(*start)) + *span)
        });
        let ends = [sent_until, transfers.received_until];
        ends.into_iter().flatten().any(|until| time < until)
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
    transfers.start_receiving(length);
    let buffer = Vec::with_capacity(length).slice(..length);
    let BufResult(body_read, body) = reader.read_exact(buffer).await;
    body_read?;
    transfers.finish_receiving();
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
                self.transfers.start_sending(length);
                Ok(())
            }
        }
    }
}
