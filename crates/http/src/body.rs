//! Reading and writing of bodies.

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

/// Why a body can't be used.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[snafu(display("the body is over the limit of {limit} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The connection ended within the body.
    #[snafu(display("the body was cut short"))]
    Truncated,
    /// The body is not the JSON that is expected.
    #[snafu(display("the body is not as expected: {source}"))]
    InvalidJson {
        /// The cause.
        source: serde_json::Error,
    },
}

/// How many times the limit is read and thrown away of a body that is too long.
const DISCARD_FACTOR: usize = 16;

/// Reads a whole body up to a limit in bytes.
///
/// The rest of a longer body is read and thrown away, up to a bound: a caller that is still sending
/// when the connection closes would see it break instead of the refusal.
///
/// # Errors
///
/// Returns a [`BodyError`] for a long body or one that was cut short.
pub async fn read_body(request: HttpRequest, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = request.into_body();
    let mut kept = BytesMut::new();
    let mut length: usize = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        length = length.saturating_add(data.len());
        match length {
            length if length <= limit => kept.extend_from_slice(data),
            length if length > limit.saturating_mul(DISCARD_FACTOR) => break,
            _ => {}
        }
    }
    match length > limit {
        true => TooLongSnafu { limit }.fail(),
        false => Ok(kept.freeze()),
    }
}

/// Reads a JSON body up to a limit in bytes.
///
/// # Errors
///
/// Returns a [`BodyError`] for a long, cut or malformed body.
pub async fn read_json<T: DeserializeOwned>(
    request: HttpRequest,
    limit: usize,
) -> Result<T, BodyError> {
    let body = read_body(request, limit).await?;
    serde_json::from_slice(&body).context(InvalidJsonSnafu)
}

/// Makes a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> HttpReply {
    match serde_json::to_vec(body) {
        Ok(bytes) => typed_response(status, "application/json", bytes.into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Makes a response with a plain text body.
pub fn text_response(status: StatusCode, body: &str) -> HttpReply {
    let bytes = Bytes::copy_from_slice(body.as_bytes());
    typed_response(status, "text/plain; charset=utf-8", bytes)
}

/// Makes a response with a body of this content type.
pub fn typed_response(status: StatusCode, kind: &'static str, body: Bytes) -> HttpReply {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
