//! Reads the token, the idempotency key and the query parameters of a request.

use hyper::header::AUTHORIZATION;
use roseridge_http::HttpRequest;
use roseridge_model::{
    CustomerName,
    RequestKey, //
};
use roseridge_settings::TokenEntry;

/// The header that carries the idempotency key.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Returns the customer or operator whose token the request carries, if the token is valid.
///
/// The token is compared with every hash, so that the time taken does not reveal which one matched.
pub(crate) fn token_owner(request: &HttpRequest, tokens: &[TokenEntry]) -> Option<CustomerName> {
    let presented = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let presented = presented.strip_prefix("Bearer ")?;
    let mut owner = None;
    for entry in tokens {
        if entry.token.matches(presented) {
            owner = Some(entry.name.clone());
        }
    }
    owner
}

/// Returns the idempotency key of a request, if it is present and valid.
pub(crate) fn request_key(request: &HttpRequest) -> Option<RequestKey> {
    let key = request.headers().get(IDEMPOTENCY_KEY)?.to_str().ok()?;
    RequestKey::parse(key).ok()
}

/// Returns the first query parameter with this name whose value is a number.
pub(crate) fn query_number(request: &HttpRequest, name: &str) -> Option<u64> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}
