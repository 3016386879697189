//! What an adapter fills in: the interfaces towards callers, operators and backend servers.

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

type GateHandler = Rc<dyn Fn(FlowClient, HttpRequest) -> ReplyFuture>;
type HealthHandler = Rc<dyn Fn(bool, &HttpRequest) -> HttpReply>;
type BackendHandler = Rc<dyn Fn(InstanceName, Sender<RunnerEvent>, HttpRequest) -> ReplyFuture>;
type CallNamer = Rc<dyn Fn(&HttpRequest) -> &'static str>;
type PortMaker = Rc<dyn Fn(SocketAddr) -> io::Result<BackendPort>>;

/// The interfaces of an installation; each closure translates and decides nothing.
#[derive(Clone)]
pub struct SiteAdapter {
    /// Answers a caller.
    pub answer_caller: GateHandler,
    /// Answers an operator.
    pub answer_operator: GateHandler,
    /// Answers the balancer, which asks whether the process is ready.
    pub answer_readiness: HealthHandler,
    /// Answers the backend server of the own instance.
    pub answer_backend: BackendHandler,
    /// Names the kind of a request for metrics; there are only a few kinds.
    pub classify_request: CallNamer,
    /// Makes the port to the backend server at an address.
    pub make_backend_port: PortMaker,
}

impl fmt::Debug for SiteAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SiteAdapter").finish_non_exhaustive()
    }
}
