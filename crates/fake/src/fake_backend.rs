//! The HTTP server of the fake backend server.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use compio::net::TcpListener;
use hyper::{
    Method,
    StatusCode, //
};
use roseridge_http::{
    HttpReply,
    HttpRequest,
    ProblemDetails,
    ServerLimits,
    json_response,
    read_json,
    serve_http, //
};
use roseridge_model::{
    TaskId,
    WorkerShape, //
    backend_api::{
        BackendAnnouncement,
        BackendCall,
        BackendUsage, //
    },
};
use roseridge_shutdown::{
    StopHandle,
    StopSignal,
    stop_pair, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    AnswerFault,
    TestHooks, //
    fake_state::{
        ActionResult,
        FakeState, //
    },
};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1_048_576;
/// The interval at which a pending listing checks for changes.
const LIST_POLL: Duration = Duration::from_millis(5);
/// The interval at which the lease is checked for expiry.
const LEASE_POLL: Duration = Duration::from_millis(50);
/// The maximum time for which a listing waits for a change.
const MAX_LIST_WAIT: Duration = Duration::from_secs(5);
/// The delay after a failed announcement, and the interval at which a server between two
/// announcements checks whether it has begun to leave.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The interval between successful announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// The reason why a fake backend server could not be started.
#[derive(Debug, Snafu)]
pub enum FakeError {
    /// No listener could be opened.
    #[snafu(display("the fake backend server could not open a listener: {source}"))]
    ListenFailed {
        /// The I/O error.
        source: io::Error,
    },
}

/// A running fake backend server; it stops when this value is dropped.
#[derive(Debug)]
pub struct FakeBackend {
    address: SocketAddr,
    state: Rc<RefCell<FakeState>>,
    /// Whether the announcements say that the server is leaving.
    leaving: Rc<RefCell<bool>>,
    stop: StopHandle,
}

impl FakeBackend {
    /// Starts a server on a free loopback port that announces itself to the agent.
    ///
    /// # Errors
    ///
    /// Returns a [`FakeError`] if no listener can be opened.
    pub async fn start(shape: WorkerShape, agent: SocketAddr) -> Result<Self, FakeError> {
        Self::start_with_hooks(shape, agent, TestHooks::default()).await
    }

    /// Starts a server like [`Self::start`], with hooks to observe it and to inject faults.
    ///
    /// # Errors
    ///
    /// Returns a [`FakeError`] if no listener can be opened.
    pub async fn start_with_hooks(
        shape: WorkerShape,
        agent: SocketAddr,
        hooks: TestHooks,
    ) -> Result<Self, FakeError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .context(ListenFailedSnafu)?;
        let address = listener.local_addr().context(ListenFailedSnafu)?;
        let (handle, stop) = stop_pair();
        let state = Rc::new(RefCell::new(FakeState::new(shape.clone(), hooks)));
        let leaving = Rc::new(RefCell::new(false));
        let handler_state = Rc::clone(&state);
        let handler = move |request| handle_request(Rc::clone(&handler_state), request);
        let serving = serve_http(listener, ServerLimits::default(), stop.clone(), handler);
        compio::runtime::spawn(serving).detach();
        let expiring = expire_leases(Rc::clone(&state), stop.clone());
        compio::runtime::spawn(expiring).detach();
        let announcing = announce(agent, address, shape, Rc::clone(&leaving), stop);
        compio::runtime::spawn(announcing).detach();
        Ok(Self {
            address,
            state,
            leaving,
            stop: handle,
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of starts of each task.
    pub fn start_counts(&self) -> Vec<(TaskId, u32)> {
        let state = self.state.borrow();
        state.start_counts.iter().map(|(id, n)| (*id, *n)).collect()
    }

    /// Returns the number of checkpoint requests for each task.
    pub fn checkpoint_counts(&self) -> Vec<(TaskId, u32)> {
        let state = self.state.borrow();
        state
            .checkpoint_counts
            .iter()
            .map(|(id, n)| (*id, *n))
            .collect()
    }

    /// Returns the number of running tasks.
    pub fn running_count(&self) -> usize {
        self.state.borrow().running_count()
    }

    /// Returns the maximum number of slots that were in use at once.
    pub fn peak_slots(&self) -> usize {
        self.state.borrow().peak_slots
    }

    /// Announces to the agent from now on that the backend server is leaving.
    pub fn leave(&self) {
        *self.leaving.borrow_mut() = true;
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

/// Stops all tasks whenever the agent has not renewed its lease in time.
async fn expire_leases(state: Rc<RefCell<FakeState>>, stop: StopSignal) {
    while !stop.sleep(LEASE_POLL).await {
        state.borrow_mut().expire_lease();
    }
}

/// Announces the server to its agent periodically, and without waiting for the next interval when
/// it begins to leave.
async fn announce(
    agent: SocketAddr,
    address: SocketAddr,
    shape: WorkerShape,
    leaving: Rc<RefCell<bool>>,
    stop: StopSignal,
) {
    let Ok(client) = cyper::Client::new() else {
        return;
    };
    let url = format!("http://{agent}/v1/announce");
    while !stop.is_stopping() {
        let announcement = BackendAnnouncement {
            address,
            shape: shape.clone(),
            leaving: *leaving.borrow(),
        };
        let request = client.post(&url).and_then(|r| r.json(&announcement));
        let sent = match request {
            Ok(request) => request.send().await.is_ok_and(|r| r.status().is_success()),
            Err(_) => false,
        };
        let pause = match sent {
            true => ANNOUNCE_INTERVAL,
            false => ANNOUNCE_RETRY_DELAY,
        };
        let deadline = Instant::now() + pause;
        let was_leaving = announcement.leaving;
        while Instant::now() < deadline && *leaving.borrow() == was_leaving {
            if stop.sleep(ANNOUNCE_RETRY_DELAY).await {
                return;
            }
        }
    }
}

async fn handle_request(state: Rc<RefCell<FakeState>>, request: HttpRequest) -> HttpReply {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/tasks") => act(state, request).await,
        (&Method::GET, "/v1/tasks") => list(state, &query).await,
        (&Method::GET, "/v1/usage") => {
            let used = state.borrow().used();
            json_response(StatusCode::OK, &BackendUsage { lag_ms: 0, used })
        }
        (&Method::GET, path) => {
            let task = path.strip_prefix("/v1/tasks/");
            let task = task.and_then(|p| p.strip_suffix("/answer"));
            let task = task.and_then(|t| t.parse().ok());
            let fault = state.borrow().answer_fault();
            if let AnswerFault::Delayed(delay) = fault {
                compio::time::sleep(delay).await;
            }
            let fetched = task.and_then(|t| state.borrow_mut().answer(t, fault));
            match fetched {
                Some(answer) => json_response(StatusCode::OK, &answer),
                None => refusal(
                    StatusCode::NOT_FOUND,
                    "the task has no answer or does not exist",
                ),
            }
        }
        _ => refusal(StatusCode::NOT_FOUND, "the path does not exist"),
    }
}

/// Applies the call in a request, and schedules the end of a task that it starts.
async fn act(state: Rc<RefCell<FakeState>>, request: HttpRequest) -> HttpReply {
    let call: BackendCall = match read_json(request, MAX_BODY_BYTES).await {
        Ok(call) => call,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let result = state.borrow_mut().act(call.task, call.epoch, call.action);
    match result {
        ActionResult::Refused(reason) => refusal(StatusCode::CONFLICT, reason),
        ActionResult::Accepted(task, run_ms) => {
            if let Some(run_ms) = run_ms {
                compio::runtime::spawn(async move {
                    compio::time::sleep(Duration::from_millis(run_ms)).await;
                    state.borrow_mut().finish(call.task);
                })
                .detach();
            }
            json_response(StatusCode::OK, &task)
        }
    }
}

/// Renews the lease and returns the listing once it is newer than the sequence number in the
/// query, or after the wait time in the query.
async fn list(state: Rc<RefCell<FakeState>>, query: &str) -> HttpReply {
    let after = query_number(query, "after");
    let wait = Duration::from_millis(query_number(query, "wait_ms")).min(MAX_LIST_WAIT);
    match query_number(query, "lease_ms") {
        0 => {}
        lease_ms => state
            .borrow_mut()
            .renew_lease(Duration::from_millis(lease_ms)),
    }
    let deadline = Instant::now() + wait;
    while state.borrow().sequence() <= after && Instant::now() < deadline {
        compio::time::sleep(LIST_POLL).await;
    }
    json_response(StatusCode::OK, &state.borrow().list())
}

/// Returns a number of a query string, or zero if it is missing or malformed.
fn query_number(query: &str, name: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}

fn refusal(status: StatusCode, detail: &str) -> HttpReply {
    ProblemDetails::not_run(status, "backend", detail).response()
}
