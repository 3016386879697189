//! Problem details of error responses, as in RFC 9457.

use hyper::{
    StatusCode,
    header::{
        HeaderValue,
        RETRY_AFTER, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    HttpReply,
    body::typed_response, //
};

/// The problem kind of a request that was refused without being run, stored as an extension of its
/// response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalKind(pub String);

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// The kind of the problem, as a path that docs/interface.md describes.
    #[serde(rename = "type")]
    pub kind: String,
    /// The status code.
    pub status: u16,
    /// A description of the problem for a person.
    pub detail: String,
    /// `true` if the request is known not to have run; absent if that is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_run: Option<bool>,
    /// The path at which to request the outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ask_at: Option<String>,
    /// The time after which to retry, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl ProblemDetails {
    /// Creates a problem for a request that is known not to have run.
    pub fn not_run(status: StatusCode, kind: &str, detail: impl ToString) -> Self {
        Self {
            kind: format!("/problems/{kind}"),
            status: status.as_u16(),
            detail: detail.to_string(),
            not_run: Some(true),
            ask_at: None,
            retry_after_s: None,
        }
    }

    /// Creates a problem for a request whose outcome is unknown.
    pub fn unknown(status: StatusCode, kind: &str, detail: impl ToString) -> Self {
        Self {
            not_run: None,
            ..Self::not_run(status, kind, detail)
        }
    }

    /// Sets the time after which to retry, in seconds.
    pub fn retry_after(self, seconds: u64) -> Self {
        Self {
            retry_after_s: Some(seconds),
            ..self
        }
    }

    /// Creates the response, with a `Retry-After` header and a [`RefusalKind`] where they apply.
    pub fn response(&self) -> HttpReply {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut response = typed_response(status, "application/problem+json", body.into());
        if let Some(seconds) = self.retry_after_s {
            let value = HeaderValue::from(seconds);
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        if self.not_run == Some(true) {
            let kind = self.kind.trim_start_matches("/problems/");
            let kind = RefusalKind(kind.to_owned());
            response.extensions_mut().insert(kind);
        }
        response
    }
}
