//! An HTTP client through which tests act as callers and operators.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use hyper::Method;
use roseridge_ledger::TemplateChange;
use serde_json::Value;

use crate::{
    CallerRequest,
    RequestOutcome,
    RequestRecord, //
};

/// The maximum time to wait for the reply to one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The time for which a submission lets the entry wait for the job to end, in milliseconds.
const WAIT_MS: u64 = 2_000;
/// The maximum time until a request must have its final outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(75);
/// The delay between two submissions of a request.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum time until a polled condition must hold.
const POLL_TIMEOUT: Duration = Duration::from_secs(75);

/// The HTTP reply to one request.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpReply {
    /// The HTTP status code.
    pub status: u16,
    /// The JSON body; null if the body is not valid JSON.
    pub body: Value,
}

impl HttpReply {
    /// Returns whether the reply states that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.body["not_run"] == Value::Bool(true)
    }
}

/// A client that sends the requests of a caller or operator to the entries in turn.
#[derive(Debug, Clone)]
pub struct CallerClient {
    addresses: Vec<SocketAddr>,
    token: String,
}

impl CallerClient {
    /// Creates a client that authenticates with a token.
    pub fn new(addresses: Vec<SocketAddr>, token: String) -> Self {
        Self { addresses, token }
    }

    /// Sends one request to one entry.
    ///
    /// Returns `None` if no complete reply arrives in time. Entry numbers beyond the number of
    /// entries wrap around.
    pub async fn send(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Option<String>,
    ) -> Option<HttpReply> {
        let address = self.addresses[entry % self.addresses.len()];
        let exchange = async {
            let client = cyper::Client::new()?;
            let request = client.request(method, format!("http://{address}{path}"))?;
            let mut request = request.bearer_auth(&self.token)?;
            if let Some(key) = key {
                request = request.header("Idempotency-Key", key)?;
            }
            if let Some(body) = body {
                request = request.body(body);
            }
            let response = request.send().await?;
            let status = response.status().as_u16();
            let text = response.text().await?;
            Ok::<_, cyper::Error>((status, text))
        };
        let (status, text) = compio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .ok()?
            .ok()?;
        Some(HttpReply {
            status,
            body: serde_json::from_str(&text).unwrap_or(Value::Null),
        })
    }

    /// Submits a request to one entry once.
    ///
    /// The entry waits up to `wait_ms` milliseconds for the job to end.
    pub async fn submit(
        &self,
        entry: usize,
        request: &CallerRequest,
        wait_ms: u64,
    ) -> Option<HttpReply> {
        let path = format!("/v1/jobs?wait_ms={wait_ms}");
        let key = Some(request.key.as_str());
        self.send(entry, Method::POST, &path, key, Some(request.body()))
            .await
    }

    /// Submits a request repeatedly, starting at the entry `first_entry`, until its outcome is
    /// final.
    ///
    /// A refusal with "not run" is final only if no earlier submission is in doubt. The outcome is
    /// still [`RequestOutcome::Open`] if it is not final within 75 seconds.
    pub async fn submit_until_final(
        &self,
        first_entry: usize,
        request: CallerRequest,
    ) -> RequestRecord {
        let mut record = RequestRecord::new(request);
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        let mut entry = first_entry;
        while record.outcome == RequestOutcome::Open && Instant::now() < deadline {
            let reply = self.submit(entry, &record.request, WAIT_MS).await;
            record.record_reply(reply);
            let is_in_doubt = record.replies.last().is_none_or(|r| r.status == 504);
            if record.outcome == RequestOutcome::Open && is_in_doubt {
                let outcome = self.listed_outcome(entry, &record.request.key).await;
                record.outcome = outcome.unwrap_or(RequestOutcome::Open);
            }
            if record.outcome == RequestOutcome::Open {
                entry += usize::from(record.replies.last().is_none_or(|r| r.status != 202));
                compio::time::sleep(RETRY_DELAY).await;
            }
        }
        record
    }

    /// Returns [`RequestOutcome::Unknown`] if the entry lists the job with an unknown outcome.
    async fn listed_outcome(&self, entry: usize, key: &str) -> Option<RequestOutcome> {
        let reply = self
            .send(entry, Method::GET, "/v1/jobs", None, None)
            .await?;
        let jobs = reply.body.as_array()?;
        let job = jobs.iter().find(|job| job["key"] == key)?;
        (job["state"] == "unknown").then_some(RequestOutcome::Unknown)
    }

    /// Cancels an accepted job, and repeats this until an entry accepts the cancellation.
    ///
    /// # Panics
    ///
    /// Panics if no entry accepts the cancellation within 75 seconds.
    pub async fn cancel(&self, job: u64) {
        let path = format!("/v1/jobs/{job}");
        self.poll("the cancellation is accepted", async |entry| {
            let reply = self.send(entry, Method::DELETE, &path, None, None).await;
            reply.filter(|reply| !matches!(reply.status, 503 | 504))
        })
        .await;
    }

    /// Calls `attempt` with each entry's number in turn until it returns a value.
    ///
    /// # Panics
    ///
    /// Panics if no attempt returns a value within 75 seconds.
    pub async fn poll<T>(&self, what: &str, attempt: impl AsyncFn(usize) -> Option<T>) -> T {
        let deadline = Instant::now() + POLL_TIMEOUT;
        let mut entry = 0;
        loop {
            if let Some(outcome) = attempt(entry).await {
                return outcome;
            }
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            entry += 1;
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads the status of the control group, as an operator.
    ///
    /// # Panics
    ///
    /// Panics if no entry returns the status within 75 seconds.
    pub async fn status(&self) -> Value {
        self.poll("the status is read", async |entry| {
            self.status_from(entry).await
        })
        .await
    }

    /// Reads the status of the control group through one entry, as an operator.
    pub async fn status_from(&self, entry: usize) -> Option<Value> {
        let reply = self
            .send(entry, Method::GET, "/v1/status", None, None)
            .await?;
        (reply.status == 200).then_some(reply.body)
    }

    /// Returns the number of the entry whose replica is the leader, as an operator.
    ///
    /// # Panics
    ///
    /// Panics if the status contains no leader.
    pub async fn leader(&self) -> usize {
        let status = self.status().await;
        let leader = status["leader"]
            .as_u64()
            .expect("the status contains the leader");
        usize::try_from(leader - 1).expect("the leader's number fits in usize")
    }

    /// Waits until at least `workers` workers are live and the templates are in force, as an
    /// operator.
    ///
    /// # Panics
    ///
    /// Panics if this takes longer than 75 seconds.
    pub async fn wait_until_ready(&self, workers: usize) {
        self.poll("the workers are live", async |entry| {
            let status = self.status_from(entry).await?;
            let listed = status["workers"].as_array()?;
            let live = listed.iter().filter(|w| w[1] == Value::Bool(true)).count();
            let revision = status["revision"].as_u64()?;
            (live >= workers && revision >= 2).then_some(())
        })
        .await;
    }

    /// Reads the configuration revision and the templates through one entry, as an operator.
    pub async fn templates_from(&self, entry: usize) -> Option<(u64, Value)> {
        let reply = self
            .send(entry, Method::GET, "/v1/templates", None, None)
            .await?;
        let revision = reply.body["revision"].as_u64()?;
        (reply.status == 200).then(|| (revision, reply.body["templates"].clone()))
    }

    /// Sends a template change to one entry once, as an operator.
    ///
    /// # Panics
    ///
    /// Panics if the change cannot be serialized as JSON.
    pub async fn submit_template_change(
        &self,
        entry: usize,
        change: &TemplateChange,
    ) -> Option<HttpReply> {
        let body = serde_json::to_string(change).expect("the change can be serialized");
        self.send(entry, Method::POST, "/v1/templates", None, Some(body))
            .await
    }
}
