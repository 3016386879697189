//! Request and response bodies.

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
    let mut body = request.into_body();
    let mut received = BytesMut::new();
    let mut length: usize = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        length = length.saturating_add(data.len());
        match length {
            length if length <= limit => received.extend_from_slice(data),
            length if length > limit.saturating_mul(DISCARD_FACTOR) => break,
            _ => {}
        }
    }
    match length > limit {
        true => TooLongSnafu { limit }.fail(),
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
