//! The server.

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

/// The largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 1_048_576;
/// The time between two looks at the state while a listing is held back.
const LIST_POLL: Duration = Duration::from_millis(5);
/// The time between two looks at the lease.
const EXPIRE_POLL: Duration = Duration::from_millis(50);
/// The longest time that a listing is held back.
const MAX_LIST_HOLD: Duration = Duration::from_secs(5);
/// The pause after an announcement that the agent did not take.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(100);
/// The time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Why the fake could not be started.
#[derive(Debug, Snafu)]
pub enum FakeError {
    /// The address can't be listened on.
    #[snafu(display("the fake backend server can't listen: {source}"))]
    ListenFailed {
        /// The cause.
        source: io::Error,
    },
}

/// A running fake backend server; it stops when this value is dropped.
#[derive(Debug)]
pub struct FakeBackend {
    address: SocketAddr,
    state: Rc<RefCell<FakeState>>,
    leaving: Rc<RefCell<bool>>,
    stop: StopHandle,
}

impl FakeBackend {
    /// Starts a server on a free loopback port, which announces itself to an agent.
    ///
    /// # Errors
    ///
    /// Returns a [`FakeError`] when no port can be listened on.
    pub async fn start(shape: WorkerShape, agent: SocketAddr) -> Result<Self, FakeError> {
        Self::start_with_hooks(shape, agent, TestHooks::default()).await
    }

    /// Starts a server like [`Self::start`] that is watched and disturbed through a probe.
    ///
    /// # Errors
    ///
    /// Returns a [`FakeError`] when no port can be listened on.
    pub async fn start_with_hooks(
        shape: WorkerShape,
        agent: SocketAddr,
        probe: TestHooks,
    ) -> Result<Self, FakeError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .context(ListenFailedSnafu)?;
        let address = listener.local_addr().context(ListenFailedSnafu)?;
        let (handle, stop) = stop_pair();
        let state = Rc::new(RefCell::new(FakeState::new(shape.clone(), probe)));
        let leaving = Rc::new(RefCell::new(false));
        let served = Rc::clone(&state);
        let handler = move |request| answer(Rc::clone(&served), request);
        let serving = serve_http(listener, ServerLimits::default(), stop.clone(), handler);
        compio::runtime::spawn(serving).detach();
        let expiring = expire(Rc::clone(&state), stop.clone());
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

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often each task was started.
    pub fn start_counts(&self) -> Vec<(TaskId, u32)> {
        let state = self.state.borrow();
        state.start_counts.iter().map(|(id, n)| (*id, *n)).collect()
    }

    /// Returns how often each task was asked for a checkpoint.
    pub fn checkpoint_counts(&self) -> Vec<(TaskId, u32)> {
        let state = self.state.borrow();
        state
            .checkpoint_counts
            .iter()
            .map(|(id, n)| (*id, *n))
            .collect()
    }

    /// Returns how many tasks run.
    pub fn running_count(&self) -> usize {
        self.state.borrow().running_count()
    }

    /// Returns the most slots that were taken at once.
    pub fn peak_slots(&self) -> usize {
        self.state.borrow().peak_slots
    }

    /// Tells the agent from now on that the backend server is leaving.
    pub fn leave(&self) {
        *self.leaving.borrow_mut() = true;
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

/// Stops the tasks of an agent that is not heard any more.
async fn expire(state: Rc<RefCell<FakeState>>, stop: StopSignal) {
    while !stop.sleep(EXPIRE_POLL).await {
        state.borrow_mut().expire();
    }
}

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
            false => ANNOUNCE_PAUSE,
        };
        let until = Instant::now() + pause;
        let was_leaving = announcement.leaving;
        while Instant::now() < until && *leaving.borrow() == was_leaving {
            if stop.sleep(ANNOUNCE_PAUSE).await {
                return;
            }
        }
    }
}

async fn answer(state: Rc<RefCell<FakeState>>, request: HttpRequest) -> HttpReply {
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
            let fault = state.borrow().fault();
            if let AnswerFault::Delayed(span) = fault {
                compio::time::sleep(span).await;
            }
            let found = task.and_then(|t| state.borrow_mut().answer(t, fault));
            match found {
                Some(answer) => json_response(StatusCode::OK, &answer),
                None => refusal(StatusCode::NOT_FOUND, "there is no such answer"),
            }
        }
        _ => refusal(StatusCode::NOT_FOUND, "there is no such path"),
    }
}

async fn act(state: Rc<RefCell<FakeState>>, request: HttpRequest) -> HttpReply {
    let call: BackendCall = match read_json(request, MAX_BODY_BYTES).await {
        Ok(call) => call,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let result = state.borrow_mut().act(call.task, call.epoch, call.action);
    match result {
        ActionResult::Refused(reason) => refusal(StatusCode::CONFLICT, reason),
        ActionResult::Took(task, run_ms) => {
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

async fn list(state: Rc<RefCell<FakeState>>, query: &str) -> HttpReply {
    let after = query_number(query, "after");
    let hold = Duration::from_millis(query_number(query, "wait_ms")).min(MAX_LIST_HOLD);
    match query_number(query, "lease_ms") {
        0 => {}
        lease_ms => state.borrow_mut().renew(Duration::from_millis(lease_ms)),
    }
    let until = Instant::now() + hold;
    while state.borrow().sequence() <= after && Instant::now() < until {
        compio::time::sleep(LIST_POLL).await;
    }
    json_response(StatusCode::OK, &state.borrow().list())
}

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
