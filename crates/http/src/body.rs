//! Request and response bodies.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Response,
    StatusCode, //
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    HttpReply,
    HttpRequest, //
};

/// The reason why a request body is rejected.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[snafu(display("the body exceeds the limit of {limit} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The process holds too many bytes of other bodies. The request may be repeated.
    #[snafu(display("too many requests are in progress"))]
    NoRoom,
    /// The connection ended before the end of the body.
    #[snafu(display("the body is incomplete"))]
    Truncated,
    /// The body is not valid JSON of the expected type.
    #[snafu(display("the body is not the expected JSON: {source}"))]
    InvalidJson {
        /// The cause.
        source: serde_json::Error,
    },
}

/// The multiple of the size limit up to which a body that is too long is read and discarded.
const DISCARD_FACTOR: usize = 16;

/// Limits the bytes of the bodies that a process holds at the same time. Clones share the limit.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    held_bytes: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of a number of bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            held_bytes: Rc::default(),
            max_bytes,
        }
    }

    /// Adds bytes to a share of the budget if they fit, and returns the whole share otherwise.
    fn add(&self, share: &mut BodyShare, bytes: usize) -> bool {
        let has_room = self.held_bytes.get() + bytes <= self.max_bytes;
        let share_bytes = if has_room { share.bytes + bytes } else { 0 };
        let other_bytes = self.held_bytes.get() - share.bytes;
        self.held_bytes.set(other_bytes + share_bytes);
        share.bytes = share_bytes;
        has_room
    }
}

/// A part of a budget, which is returned when it is dropped.
#[derive(Debug)]
struct BodyShare {
    held_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.held_bytes.set(self.held_bytes.get() - self.bytes);
    }
}

/// A body that counts towards a [`BodyBudget`] until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    _share: BodyShare,
}

/// Reads a whole body up to a limit in bytes, like [`read_body`], within a budget.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too long or incomplete, or if the budget has no room for it.
pub async fn read_body_within(
    request: HttpRequest,
    limit: usize,
    budget: &BodyBudget,
) -> Result<HeldBody, BodyError> {
    let mut share = BodyShare {
        held_bytes: Rc::clone(&budget.held_bytes),
        bytes: 0,
    };
    let bytes = receive_body(request, limit, |bytes| budget.add(&mut share, bytes)).await?;
    Ok(HeldBody {
        bytes,
        _share: share,
    })
}

/// Reads a whole body up to a limit in bytes.
///
/// The rest of a longer body is read and discarded, up to `DISCARD_FACTOR` times the limit. If the
/// connection closed while the caller was still sending, the caller would see a connection error
/// instead of the response.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too long or incomplete.
pub async fn read_body(request: HttpRequest, limit: usize) -> Result<Bytes, BodyError> {
    receive_body(request, limit, |_| true).await
}

/// Reads a whole body up to a limit in bytes, and discards it once `can_hold` returns false for the
/// bytes of a frame.
async fn receive_body(
    request: HttpRequest,
    limit: usize,
    mut can_hold: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let mut body = request.into_body();
    let mut received = BytesMut::new();
    let mut length: usize = 0;
    let mut has_room = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        length = length.saturating_add(data.len());
        has_room = has_room && (length > limit || can_hold(data.len()));
        match length {
            length if length <= limit && has_room => received.extend_from_slice(data),
            length if length > limit.saturating_mul(DISCARD_FACTOR) => break,
            _ => received = BytesMut::new(),
        }
    }
    match length > limit {
        true => TooLongSnafu { limit }.fail(),
        false if !has_room => NoRoomSnafu.fail(),
        false => Ok(received.freeze()),
    }
}

/// Reads a JSON body up to a limit in bytes.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too long, incomplete or malformed.
pub async fn read_json<T: DeserializeOwned>(
    request: HttpRequest,
    limit: usize,
) -> Result<T, BodyError> {
    let body = read_body(request, limit).await?;
    serde_json::from_slice(&body).context(InvalidJsonSnafu)
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> HttpReply {
    match serde_json::to_vec(body) {
        Ok(bytes) => typed_response(status, "application/json", bytes.into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates a response with a plain text body.
pub fn text_response(status: StatusCode, body: &str) -> HttpReply {
    let bytes = Bytes::copy_from_slice(body.as_bytes());
    typed_response(status, "text/plain; charset=utf-8", bytes)
}

/// Creates a response with a body of this content type.
///
/// # Panics
///
/// Panics if the content type contains characters that a header value can't have.
pub fn typed_response(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpReply {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
