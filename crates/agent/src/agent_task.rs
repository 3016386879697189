//! The task that owns the agent's state.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use async_channel::Sender;
use compio::net::TcpListener;
use futures::{
    FutureExt,
    select_biased, //
};
use log::{
    info,
    warn, //
};
use roseridge_events as events;
use roseridge_http::{
    ServerLimits,
    serve_http, //
};
use roseridge_model::{
    AnswerBody,
    IncarnationId,
    WorkerShape, //
    backend_api::{
        BackendAnnouncement,
        BackendList, //
    },
};
use roseridge_shutdown::StopSignal;
use roseridge_wire::AgentReport;

use crate::{
    AgentConfig,
    AgentError,
    BackendLimits,
    CallBreaker,
    LeaseState,
    TaskAction,
    TaskTable, //
    agent_config::NoRelaySnafu,
    announce::answer_backend,
    backend_client::{
        BackendClient,
        BackendError, //
    },
    backend_watch::{
        LeaseEnd,
        watch_backend, //
    },
    known_revision::KnownRevision,
    lease_clock::LeaseClock,
    relay_session::{
        ExchangeDone,
        RelaySession, //
    },
};

/// The time between two looks at the leases when nothing happens.
const TICK: Duration = Duration::from_millis(200);
/// Exchanges that may be open at once: one that waits for orders and one with news.
const MAX_EXCHANGES: usize = 2;
/// Events that may wait for the agent.
const EVENT_QUEUE: usize = 256;
/// Calls to the backend server that may be open at once, besides the watch of its list.
const MAX_CALLS: usize = 16;
/// How long an agent that was restarted keeps what runs when the backend server names no lease.
const RESTART_GRACE: Duration = Duration::from_secs(3);
/// How long a stopping agent without tasks tries to tell the leader that it leaves.
const FAREWELL_LIMIT: Duration = Duration::from_secs(5);
/// How long an agent whose stop limit has passed waits for its tasks to be stopped and reported.
const CUT_LIMIT: Duration = Duration::from_secs(3);
/// The pause before an action that had no answer is tried again.
const ACTION_PAUSE: Duration = Duration::from_millis(100);

/// Something that happened to the agent.
#[derive(Debug)]
pub(crate) enum AgentEvent {
    Announced(BackendAnnouncement),
    Listed(SocketAddr, BackendList),
    Exchanged(ExchangeDone),
    Acted(
        SocketAddr,
        TaskAction,
        Result<Option<AnswerBody>, BackendError>,
    ),
}

struct AgentTask {
    config: AgentConfig,
    incarnation: IncarnationId,
    book: TaskTable,
    session: RelaySession,
    events_out: Sender<AgentEvent>,
    backend: Option<BackendClient>,
    shape: Option<WorkerShape>,
    listed: bool,
    known: bool,
    leaving: bool,
    sequence: u64,
    open: BTreeMap<u64, Instant>,
    lease: LeaseClock,
    lease_end: LeaseEnd,
    lease_warned: bool,
    revision: KnownRevision,
    breaker: CallBreaker,
    /// The first report that said that the agent leaves.
    leave_told: Option<u64>,
    /// The newest report that the leader has committed.
    acknowledged: u64,
    cutting: bool,
}

/// Runs an agent until the stop; it then takes no new work and waits for its tasks to end.
///
/// # Errors
///
/// Returns an [`AgentError`] when the agent can't work with its configuration.
pub async fn run_agent(
    config: AgentConfig,
    listener: TcpListener,
    stop: StopSignal,
) -> Result<(), AgentError> {
    if config.relays.is_empty() {
        return NoRelaySnafu.fail();
    }
    let (events_out, events_in) = async_channel::bounded(EVENT_QUEUE);
    let announced = events_out.clone();
    let (serve_stop, serve_signal) = roseridge_shutdown::stop_pair();
    let handler = move |request| answer_backend(announced.clone(), request);
    let serving = serve_http(listener, ServerLimits::default(), serve_signal, handler);
    compio::runtime::spawn(serving).detach();
    let mut task = AgentTask::new(config, events_out);
    let mut stop_by = None;
    let mut farewell_by = None;
    loop {
        select_biased! {
            event = events_in.recv().fuse() => {
                if let Ok(event) = event {
                    task.take_event(event);
                }
            }
            () = compio::time::sleep(TICK).fuse() => {}
        }
        if stop.is_stopping() && stop_by.is_none() {
            task.leaving = true;
            stop_by = Some(Instant::now() + task.config.stop_limit);
            farewell_by = Some(Instant::now() + FAREWELL_LIMIT);
        }
        task.work();
        match stop_by {
            Some(_) if task.is_done() => break,
            // Without tasks there is only a farewell left, which a lapse of the lease stands for.
            Some(_) if task.book.is_empty() && farewell_by < Some(Instant::now()) => break,
            Some(by) if Instant::now() >= by + CUT_LIMIT => break,
            Some(by) if Instant::now() >= by => task.cutting = true,
            _ => {}
        }
    }
    serve_stop.stop();
    events_in.close();
    Ok(())
}

impl AgentTask {
    fn new(config: AgentConfig, events_out: Sender<AgentEvent>) -> Self {
        let incarnation = IncarnationId(rand::random());
        let session = RelaySession::new(&config.relays, &config.cluster);
        Self {
            config,
            incarnation,
            book: TaskTable::new(incarnation),
            session,
            events_out,
            backend: None,
            shape: None,
            listed: false,
            known: false,
            leaving: false,
            sequence: 0,
            open: BTreeMap::new(),
            lease: LeaseClock::default(),
            lease_end: LeaseEnd::default(),
            lease_warned: false,
            revision: KnownRevision::default(),
            breaker: CallBreaker::default(),
            leave_told: None,
            acknowledged: 0,
            cutting: false,
        }
    }

    /// Returns whether nothing is left to end and the leader knows that the agent leaves.
    fn is_done(&self) -> bool {
        let is_told = self
            .leave_told
            .is_some_and(|told| self.acknowledged >= told);
        self.shape.is_none() || (self.book.is_empty() && is_told)
    }

    fn take_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Announced(announcement) => self.take_announcement(announcement),
            AgentEvent::Listed(address, list) => self.take_list(address, &list),
            AgentEvent::Exchanged(done) => self.take_exchange(done),
            AgentEvent::Acted(address, action, result) if self.is_backend(address) => {
                self.take_acted(&action, result);
            }
            // It was asked of a backend server that is gone.
            AgentEvent::Acted(_, action, _) => self.book.action_failed(&action),
        }
    }

    fn take_announcement(&mut self, announcement: BackendAnnouncement) {
        self.leaving |= announcement.leaving;
        self.shape = Some(announcement.shape);
        let address = announcement.address;
        if self.is_backend(address) {
            return;
        }
        match BackendClient::new(address) {
            Ok(client) => {
                info!("{}", events::BACKEND_ANNOUNCED.line(address));
                let watch = watch_backend(
                    client.clone(),
                    LeaseEnd::clone(&self.lease_end),
                    self.events_out.clone(),
                );
                compio::runtime::spawn(watch).detach();
                self.backend = Some(client);
            }
            Err(error) => warn!("{}", events::BACKEND_FAILED.line(error)),
        }
    }

    fn take_list(&mut self, address: SocketAddr, list: &BackendList) {
        if !self.is_backend(address) {
            return;
        }
        self.book.take_list(list);
        if !std::mem::replace(&mut self.listed, true) {
            // What an earlier life left running goes on for as long as that life had allowed.
            let left = list.lease_left_ms.map(Duration::from_millis);
            self.lease
                .keep(Instant::now() + left.unwrap_or(RESTART_GRACE));
        }
    }

    fn is_backend(&self, address: SocketAddr) -> bool {
        let backend = self.backend.as_ref();
        backend.is_some_and(|b| b.address() == address)
    }

    fn take_exchange(&mut self, done: ExchangeDone) {
        self.open.remove(&done.sequence);
        let orders = match done.result {
            Ok(orders) => orders,
            Err(_) => {
                self.session.turn(done.relay);
                return;
            }
        };
        if orders.incarnation != self.incarnation {
            return;
        }
        if orders.known && orders.renewed >= done.sequence {
            self.lease.renew(done.sent_at, self.config.lease);
            self.lease_warned = false;
        }
        if orders.fenced {
            self.start_life();
            return;
        }
        if self.known && !orders.known && orders.renewed >= done.sequence {
            self.book.forget_acknowledgements();
        }
        if orders.renewed > 0 {
            self.revision.hear(orders.revision, Instant::now());
            self.known = orders.known;
            self.acknowledged = self.acknowledged.max(orders.renewed);
            self.book.acknowledge(orders.renewed);
        }
        if let Some(list) = orders.orders {
            self.book.take_orders(orders.orders_index, list);
        }
    }

    /// Starts another life, because this one was taken for an earlier one.
    fn start_life(&mut self) {
        self.incarnation = IncarnationId(rand::random());
        self.known = false;
        self.lease.start_life();
        self.book.start_life(self.incarnation);
    }

    fn take_acted(
        &mut self,
        action: &TaskAction,
        result: Result<Option<AnswerBody>, BackendError>,
    ) {
        match result {
            Ok(Some(body)) => self.book.take_answer(action.task(), body),
            Ok(None) => self.book.action_done(action),
            Err(BackendError::Refused { .. }) => self.book.action_refused(action),
            Err(BackendError::LongAnswer { task }) => self.book.take_long_answer(task),
            Err(error) => {
                warn!("{}", events::BACKEND_FAILED.line(&error));
                match error {
                    BackendError::BadAnswer { task } => self.book.take_bad_answer(task),
                    _ => {
                        self.breaker.unanswered(Instant::now());
                        self.book.action_failed(action);
                        return;
                    }
                }
            }
        }
        self.breaker.answered();
    }

    fn work(&mut self) {
        let now = Instant::now();
        self.lease_end.set(self.lease.end());
        if self.lease.has_run_out(now) && !self.lease_warned {
            let details = format_args!("{}, {}", self.config.worker, self.revision);
            warn!("{}", events::LEASE_EXPIRED.line(details));
            self.lease_warned = true;
        }
        let lease = match self.cutting {
            true => LeaseState::Gone,
            false => self.lease.state(now),
        };
        if let Some(backend) = self.backend.clone().filter(|_| self.listed) {
            for action in self.book.next_actions(lease, self.limits(now)) {
                self.start_action(backend.clone(), action);
            }
        }
        self.send_reports();
    }

    /// Returns what the backend server takes now; the watch of its list has a connection of its own.
    fn limits(&self, now: Instant) -> BackendLimits {
        let shape = self.shape.as_ref();
        let connections = shape.map_or(0, |s| usize::from(s.connections));
        let most = connections.saturating_sub(1).min(MAX_CALLS);
        BackendLimits {
            slots: shape.map_or(0, |s| usize::from(s.slots)),
            calls: self.breaker.allowance(now, most),
        }
    }

    fn start_action(&self, backend: BackendClient, action: TaskAction) {
        let orders_index = self.book.orders_index();
        let address = backend.address();
        let events_out = self.events_out.clone();
        compio::runtime::spawn(async move {
            let result = backend.act(&action, orders_index).await;
            match result {
                Ok(_) => {}
                Err(_) => compio::time::sleep(ACTION_PAUSE).await,
            }
            // The agent is gone when nobody receives this.
            let _ = events_out
                .send(AgentEvent::Acted(address, action, result))
                .await;
        })
        .detach();
    }

    /// Keeps one exchange open, and sends news at once beside it.
    fn send_reports(&mut self) {
        let Some(shape) = self.shape.clone().filter(|_| self.listed) else {
            return;
        };
        let is_due =
            self.open.is_empty() || (self.book.has_news() && self.open.len() < MAX_EXCHANGES);
        if !is_due {
            return;
        }
        self.sequence += 1;
        if self.leaving {
            self.leave_told.get_or_insert(self.sequence);
        }
        let report = AgentReport {
            worker: self.config.worker.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            known_orders: self.book.orders_index(),
            known_revision: self.revision.revision(),
            announce: (!self.known).then_some(shape),
            statuses: self.book.report(self.sequence),
            leaving: self.leaving,
        };
        self.open.insert(self.sequence, Instant::now());
        self.session.send(report, self.events_out.clone());
    }
}
