//! A caller that sends HTTP requests to one entry.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use cyper::Client;
use hyper::Method;

use crate::entry_fixture::{
    EntryFixture,
    run, //
};

/// The maximum number of polls until the entry is ready, with a pause of [`READY_POLL_INTERVAL`]
/// after each.
const MAX_READY_POLLS: u32 = 200;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A request of a caller.
#[derive(Debug, Clone, Default)]
pub(crate) struct TestRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) token: Option<String>,
    pub(crate) key: Option<String>,
    pub(crate) body: Option<String>,
}

/// The response of the entry.
#[derive(Debug, Clone)]
pub(crate) struct TestReply {
    pub(crate) status: u16,
    pub(crate) kind: String,
    pub(crate) body: String,
}

/// The caller of a running entry.
#[derive(Debug, Clone)]
pub(crate) struct TestCaller {
    client: Client,
    address: SocketAddr,
}

impl TestCaller {
    pub(crate) async fn send(&self, request: &TestRequest) -> TestReply {
        let url = format!("http://{}{}", self.address, request.path);
        let mut builder = self
            .client
            .request(request.method.clone(), url)
            .expect("a request");
        if let Some(token) = &request.token {
            builder = builder.bearer_auth(token).expect("a token");
        }
        if let Some(key) = &request.key {
            builder = builder.header("Idempotency-Key", key).expect("a key");
        }
        if let Some(body) = &request.body {
            builder = builder.body(body.clone());
        }
        let response = builder.send().await.expect("an answer");
        let status = response.status().as_u16();
        let kind = response.headers().get("content-type").cloned();
        TestReply {
            status,
            kind: kind
                .and_then(|k| k.to_str().map(str::to_owned).ok())
                .unwrap_or_default(),
            body: response.text().await.expect("a whole body"),
        }
    }

    /// Waits until the templates are in force and the control group replies.
    async fn wait_until_ready(&self) {
        let request = TestRequest {
            path: "/v1/jobs".to_owned(),
            token: Some("tuglink-token".to_owned()),
            ..TestRequest::default()
        };
        for _ in 0..MAX_READY_POLLS {
            if self.send(&request).await.status == 200 {
                return;
            }
            compio::time::sleep(READY_POLL_INTERVAL).await;
        }
        panic!("the entry does not become ready");
    }
}

/// Starts an entry, runs a test against it and stops it gracefully.
pub(crate) fn with_entry<F: Future>(test: impl FnOnce(TestCaller) -> F) {
    run(async {
        let entry = EntryFixture::start().await;
        let client = Client::new().expect("a client");
        let address = entry.callers;
        let caller = TestCaller { client, address };
        caller.wait_until_ready().await;
        test(caller).await;
        entry.stop.stop();
        let result = entry.running.await.expect("the entry does not panic");
        result.expect("the entry stops without an error");
    });
}
