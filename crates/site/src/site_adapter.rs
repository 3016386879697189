//! The functions that an adapter provides to serve callers, operators and backend servers.

use std::{
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc, //
};

use async_channel::Sender;
use roseridge_entry::FlowClient;
use roseridge_http::{
    HttpReply,
    HttpRequest, //
};
use roseridge_model::InstanceName;
use roseridge_runner::{
    BackendPort,
    RunnerEvent, //
};

/// The future of a response.
pub type ReplyFuture = Pin<Box<dyn Future<Output = HttpReply>>>;

type RequestHandler = Rc<dyn Fn(FlowClient, HttpRequest) -> ReplyFuture>;
type ReadinessHandler = Rc<dyn Fn(bool, &HttpRequest) -> HttpReply>;
type BackendHandler = Rc<dyn Fn(InstanceName, Sender<RunnerEvent>, HttpRequest) -> ReplyFuture>;
type RequestClassifier = Rc<dyn Fn(&HttpRequest) -> &'static str>;
type BackendPortFactory = Rc<dyn Fn(SocketAddr) -> io::Result<BackendPort>>;

/// The external interfaces of an installation. Each closure only translates and makes no decisions.
#[derive(Clone)]
pub struct SiteAdapter {
    /// Answers a caller's request.
    pub answer_caller: RequestHandler,
    /// Answers an operator's request.
    pub answer_operator: RequestHandler,
    /// Answers the load balancer's readiness check; the flag is whether the process is ready.
    pub answer_readiness: ReadinessHandler,
    /// Answers a request of the backend server on the named instance and passes its events to the
    /// runner.
    pub answer_backend: BackendHandler,
    /// Returns the kind of a request, a label of metrics. The number of kinds must be small.
    pub classify_request: RequestClassifier,
    /// Returns a port to the backend server at an address.
    pub make_backend_port: BackendPortFactory,
}

impl fmt::Debug for SiteAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SiteAdapter").finish_non_exhaustive()
    }
}
