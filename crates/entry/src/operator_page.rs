//! Serves the operators' page from static files that are embedded in the program.

use hyper::{
    StatusCode,
    header::{
        CACHE_CONTROL,
        CONTENT_SECURITY_POLICY,
        HeaderName,
        HeaderValue,
        REFERRER_POLICY,
        X_CONTENT_TYPE_OPTIONS,
        X_FRAME_OPTIONS, //
    },
};
use roseridge_http::{
    HttpReply,
    typed_response, //
};

/// The content security policy, which allows the page only to load its own files and to call the
/// entry that served it.
const PAGE_POLICY: &str = "default-src 'none'; script-src 'self'; style-src 'self'; \
    connect-src 'self'; img-src 'self'; base-uri 'none'; form-action 'none'; \
    frame-ancestors 'none'";

/// Headers of every file of the page.
const PAGE_HEADERS: &[(HeaderName, &str)] = &[
    (CONTENT_SECURITY_POLICY, PAGE_POLICY),
    (X_CONTENT_TYPE_OPTIONS, "nosniff"),
    (X_FRAME_OPTIONS, "DENY"),
    (REFERRER_POLICY, "no-referrer"),
    (CACHE_CONTROL, "no-cache"),
];

const HTML: &str = "text/html; charset=utf-8";
const CSS: &str = "text/css; charset=utf-8";
const SVG: &str = "image/svg+xml";
const JS: &str = "text/javascript; charset=utf-8";

/// Returns the response with a file of the page, or `None` if the path is not that of one.
pub(crate) fn page_reply(path: &str) -> Option<HttpReply> {
    let (kind, text) = match path {
        "/" => (HTML, include_str!("page/index.html")),
        "/page/icon.svg" => (SVG, include_str!("page/icon.svg")),
        "/page/style.css" => (CSS, include_str!("page/style.css")),
        "/page/dom.js" => (JS, include_str!("page/dom.js")),
        "/page/api.js" => (JS, include_str!("page/api.js")),
        "/page/diff.js" => (JS, include_str!("page/diff.js")),
        "/page/views.js" => (JS, include_str!("page/views.js")),
        "/page/change.js" => (JS, include_str!("page/change.js")),
        "/page/main.js" => (JS, include_str!("page/main.js")),
        _ => return None,
    };
    let mut reply = typed_response(StatusCode::OK, kind, text.into());
    for (name, value) in PAGE_HEADERS {
        let value = HeaderValue::from_static(value);
        reply.headers_mut().insert(name, value);
    }
    Some(reply)
}
