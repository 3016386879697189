//! The HTTP client of the backend server.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use cyper::Client;
use roseridge_model::{
    AnswerBody,
    TaskId, //
    answer::MAX_ANSWER_BYTES,
    backend_api::{
        BackendAction,
        BackendAnswer,
        BackendCall,
        BackendList, //
    },
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::TaskAction;

/// The maximum duration of a call, in addition to the wait that it requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of a reply that carries an answer, in bytes.
///
/// JSON escapes one byte as up to six; the rest of the reply, such as the task's name, takes up to
/// 1,024 bytes.
const MAX_ANSWER_REPLY_BYTES: u64 = 6 * MAX_ANSWER_BYTES as u64 + 1_024;

/// Why a call to the backend server failed.
#[derive(Debug, Snafu)]
pub(crate) enum BackendError {
    /// The call could not be sent, or its reply could not be received.
    #[snafu(display("the call to the backend server failed: {source}"))]
    NoAnswer { source: cyper::Error },
    /// The call exceeded its time limit.
    #[snafu(display("the call to the backend server timed out"))]
    TimedOut,
    /// The backend server refused the call.
    #[snafu(display("the backend server refused the call with status {status}"))]
    Refused { status: u16 },
    /// The answer is not the complete answer of the task.
    #[snafu(display("the answer of task {task} is truncated, corrupt or that of another task"))]
    InvalidAnswer { task: TaskId },
    /// The answer exceeds the size limit.
    #[snafu(display("the answer of task {task} exceeds the limit of {MAX_ANSWER_BYTES} bytes"))]
    OversizedAnswer { task: TaskId },
}

/// A client of the backend server at one address.
#[derive(Debug, Clone)]
pub(crate) struct BackendClient {
    client: Client,
    address: SocketAddr,
}

impl BackendClient {
    pub(crate) fn new(address: SocketAddr) -> Result<Self, BackendError> {
        let client = Client::new().context(NoAnswerSnafu)?;
        Ok(Self { client, address })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests one action and returns the answer of the task, if the action fetches one.
    pub(crate) async fn act(
        &self,
        action: &TaskAction,
        orders_index: u64,
    ) -> Result<Option<AnswerBody>, BackendError> {
        let task = action.task();
        let backend_action = match action {
            TaskAction::Prepare { shape, .. } => BackendAction::Prepare { shape: *shape },
            TaskAction::Start { payload, .. } => BackendAction::Start {
                payload: payload.clone(),
            },
            TaskAction::Checkpoint { .. } => BackendAction::Checkpoint,
            TaskAction::Stop { .. } => BackendAction::Stop,
            TaskAction::Forget { .. } => BackendAction::Forget,
            TaskAction::FetchAnswer { task } => return self.fetch_answer(*task).await.map(Some),
        };
        let call = BackendCall {
            task,
            epoch: action.epoch(orders_index),
            action: backend_action,
        };
        self.send(&call).await.map(|()| None)
    }

    /// Returns the list of tasks once it is newer than the sequence number `after`, or after `wait`.
    ///
    /// The backend server stops its tasks unless it receives another list request within `lease`; `None`
    /// leaves the time at which it stops them unchanged.
    pub(crate) async fn list(
        &self,
        after: u64,
        wait: Duration,
        lease: Option<Duration>,
    ) -> Result<BackendList, BackendError> {
        let wait_ms = wait.as_millis();
        let lease = lease.map(|l| format!("&lease_ms={}", l.as_millis()));
        let url = format!(
            "http://{}/v1/tasks?after={after}&wait_ms={wait_ms}{}",
            self.address,
            lease.unwrap_or_default()
        );
        with_timeout(CALL_TIMEOUT + wait, async {
            let request = self.client.get(&url).context(NoAnswerSnafu)?;
            let response = request.send().await.context(NoAnswerSnafu)?;
            response.json().await.context(NoAnswerSnafu)
        })
        .await
    }

    async fn send(&self, call: &BackendCall) -> Result<(), BackendError> {
        let url = format!("http://{}/v1/tasks", self.address);
        with_timeout(CALL_TIMEOUT, async {
            let request = self.client.post(&url).and_then(|r| r.json(call));
            let response = request
                .context(NoAnswerSnafu)?
                .send()
                .await
                .context(NoAnswerSnafu)?;
            let status = response.status();
            match status.is_success() {
                true => Ok(()),
                false => RefusedSnafu {
                    status: status.as_u16(),
                }
                .fail(),
            }
        })
        .await
    }

    async fn fetch_answer(&self, task: TaskId) -> Result<AnswerBody, BackendError> {
        let url = format!("http://{}/v1/tasks/{task}/answer", self.address);
        let answer: BackendAnswer = with_timeout(CALL_TIMEOUT, async {
            let request = self.client.get(&url).context(NoAnswerSnafu)?;
            let response = request.send().await.context(NoAnswerSnafu)?;
            match response.content_length() {
                Some(length) if length > MAX_ANSWER_REPLY_BYTES => {
                    OversizedAnswerSnafu { task }.fail()
                }
                None => InvalidAnswerSnafu { task }.fail(),
                Some(_) if !response.status().is_success() => InvalidAnswerSnafu { task }.fail(),
                Some(_) => response.json().await.context(NoAnswerSnafu),
            }
        })
        .await?;
        match is_complete(&answer, task) {
            true if answer.length > MAX_ANSWER_BYTES => OversizedAnswerSnafu { task }.fail(),
            true => Ok(answer.body),
            false => InvalidAnswerSnafu { task }.fail(),
        }
    }
}

/// Returns whether an answer is the complete, intact answer of the task.
fn is_complete(answer: &BackendAnswer, task: TaskId) -> bool {
    let text = answer.body.text.as_bytes();
    answer.task == task && answer.length == text.len() && crc32fast::hash(text) == answer.body.crc32
}

/// Runs a call with a time limit.
async fn with_timeout<T>(
    time_limit: Duration,
    call: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    match compio::time::timeout(time_limit, call).await {
        Ok(result) => result,
        Err(_) => TimedOutSnafu.fail(),
    }
}
