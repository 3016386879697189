//! The client with which commands call entries, trying one after the other.

use std::{
    error::Error,
    io,
    time::Duration, //
};

use cyper::Client;
use hyper::Method;

use crate::cli_error::{
    CliError,
    NoReplySnafu,
    OutcomeUnknownSnafu, //
};

/// The maximum time for a request to one entry, in addition to the wait that it requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The reply of an entry.
#[derive(Debug)]
pub(crate) struct EntryReply {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The body as text.
    pub(crate) body: String,
}

impl EntryReply {
    /// Returns whether another entry may be able to complete the request.
    fn should_try_next_entry(&self) -> bool {
        matches!(self.status, 503 | 504)
    }
}

/// A request that any entry can answer.
#[derive(Debug)]
pub(crate) struct EntryRequest<'a> {
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: &'a str,
    /// The idempotency key, if the request carries one.
    pub(crate) key: Option<&'a str>,
    /// The JSON body, if the request has one.
    pub(crate) body: Option<String>,
    /// The time for which the request asks the entry to wait.
    pub(crate) wait: Duration,
}

impl<'a> EntryRequest<'a> {
    /// Creates a request without a key, a body or a wait.
    pub(crate) fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            key: None,
            body: None,
            wait: Duration::ZERO,
        }
    }
}

/// A client for a list of entries.
#[derive(Debug)]
pub(crate) struct EntryClient {
    /// The addresses of the entries, in the order in which they are tried.
    pub(crate) entries: Vec<String>,
    /// The access token.
    pub(crate) token: String,
}

/// The combined result of the entries that were tried so far.
#[derive(Debug, Default)]
struct TriedEntries {
    /// Whether an entry that did not confirm the outcome may have applied the request.
    ambiguous: bool,
    /// The last reply of an entry that could not complete the request itself.
    reply: Option<EntryReply>,
    /// The last connection error or timeout.
    message: String,
}

impl EntryClient {
    /// Sends a request to each entry in order until one gives a definite reply.
    ///
    /// If none does, returns a reply of status 504 or 503, if there was one. All requests of the
    /// commands are idempotent, so that sending one to several entries is safe.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry replied or if the outcome of a change is unknown.
    pub(crate) async fn send(&self, request: &EntryRequest<'_>) -> Result<EntryReply, CliError> {
        let mut tried = TriedEntries::default();
        for entry in &self.entries {
            let exchange = self.send_to(entry, request);
            let timeout = REQUEST_TIMEOUT + request.wait;
            match compio::time::timeout(timeout, exchange).await {
                Ok(Ok(reply)) if reply.should_try_next_entry() => {
                    tried.ambiguous |= reply.status == 504;
                    tried.reply = Some(reply);
                }
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => {
                    tried.ambiguous |= !was_not_sent(&error);
                    tried.message = format!("{entry}: {}", root_cause(&error));
                }
                Err(_) => {
                    tried.ambiguous = true;
                    tried.message = format!("{entry}: the request timed out");
                }
            }
        }
        tried.result(request.method != Method::GET)
    }

    async fn send_to(
        &self,
        entry: &str,
        request: &EntryRequest<'_>,
    ) -> Result<EntryReply, cyper::Error> {
        let url = format!("{}{}", base_url(entry), request.path);
        let builder = Client::new()?.request(request.method.clone(), url)?;
        let mut builder = builder.bearer_auth(&self.token)?;
        if let Some(key) = request.key {
            builder = builder.header("Idempotency-Key", key)?;
        }
        if let Some(body) = &request.body {
            builder = builder.body(body.clone());
        }
        let response = builder.send().await?;
        let status = response.status().as_u16();
        let body = response.text().await?;
        Ok(EntryReply { status, body })
    }
}

impl TriedEntries {
    /// Returns the result of a request after no entry gave a definite reply.
    fn result(self, is_change: bool) -> Result<EntryReply, CliError> {
        let message = self.message;
        match self.reply {
            Some(reply) if reply.status == 504 => Ok(reply),
            // A "not run" reply says nothing about an earlier entry that may have applied the
            // request.
            _ if is_change && self.ambiguous => OutcomeUnknownSnafu { message }.fail(),
            Some(reply) => Ok(reply),
            None => NoReplySnafu { message }.fail(),
        }
    }
}

/// Returns the address of an entry as a URL; the scheme defaults to `http`.
fn base_url(entry: &str) -> String {
    let entry = entry.trim().trim_end_matches('/');
    match entry.contains("://") {
        true => entry.to_owned(),
        false => format!("http://{entry}"),
    }
}

/// Returns whether no connection was opened, so that the request was certainly not sent.
fn was_not_sent(error: &(dyn Error + 'static)) -> bool {
    let connect_failures = [
        io::ErrorKind::ConnectionRefused,
        io::ErrorKind::HostUnreachable,
        io::ErrorKind::NetworkUnreachable,
    ];
    let mut kinds =
        causes(error).filter_map(|e| e.downcast_ref::<io::Error>().map(io::Error::kind));
    kinds.any(|kind| connect_failures.contains(&kind))
}

/// Returns the text of the innermost cause of an error.
fn root_cause(error: &(dyn Error + 'static)) -> String {
    causes(error)
        .last()
        .map(ToString::to_string)
        .unwrap_or_default()
}

/// Returns an error and its causes, from the outermost to the innermost.
fn causes<'a>(error: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(Some(error), |error| (*error).source())
}
